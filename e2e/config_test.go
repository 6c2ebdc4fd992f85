package e2e_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/coordination/rollout"
	"github.com/doorvalve/doorvalve/standin/engine"
	standin "github.com/doorvalve/doorvalve/standin/platform"

	"github.com/doorvalve/doorvalve/standin/fault"
	"github.com/doorvalve/doorvalve/state/bundle"
)

// pointer returns the configuration pointer as a daemon reports it.
func (w *testbed) pointer(p *proc) rollout.Pointer {
	w.t.Helper()
	var pt rollout.Pointer
	if _, err := p.callOperators("anna", "GET", "/v1/history", nil, &pt); err != nil {
		w.t.Fatal(err)
	}
	return pt
}

// withWorth returns a copy of b that differs from it in the worth n of a class.
func withWorth(b bundle.Bundle, n int) bundle.Bundle {
	b.Classes = append([]bundle.Class(nil), b.Classes...)
	b.Classes[1].Worth = int64(n)
	return b
}

// Operators roll out different bundles at all daemons at once, with the same
// expected generation. Exactly one rollout must succeed, the others must get a
// conflict, and all daemons must run the bundle of the one that succeeded.
func TestConfigRacingOperators(t *testing.T) {
	w := newTestbed(t, defaults())
	digests := make([]string, 6)
	for i := range digests {
		digests[i] = w.daemons[i%3].propose(withWorth(w.bundle, 20+i))
	}
	var mu sync.Mutex
	won, lost := 0, 0
	var wg sync.WaitGroup
	for i, digest := range digests {
		wg.Go(func() {
			status, err := w.daemons[i%3].advance(digest, 1)
			mu.Lock()
			defer mu.Unlock()
			switch status {
			case http.StatusOK:
				won++
			case http.StatusConflict:
				lost++
			default:
				t.Errorf("status %d: %v", status, err)
			}
		})
	}
	wg.Wait()
	if won != 1 || lost != 5 {
		t.Errorf("%d won and %d lost", won, lost)
	}
	w.inForce(2)
	p := w.pointer(w.daemons[0])
	for _, d := range w.daemons {
		if dump, err := d.dump(); err != nil || dump.Generation != 2 || dump.Digest != p.Digest {
			t.Errorf("%s runs generation %d %s, accepted is 2 %s", d.name, dump.Generation, rollout.Short(dump.Digest), rollout.Short(p.Digest))
		}
	}
}

// The answer to the write of the pointer is lost. The daemon must find out that
// the write took effect and report the rollout as done.
func TestConfigAnswerLost(t *testing.T) {
	w := newTestbed(t, defaults())
	digest := w.daemons[0].propose(withWorth(w.bundle, 20))
	w.platform.Faults.Set(fault.Settings{LoseAnswers: 1, Path: "/objects/config/", Method: "PUT"})
	if status, err := w.daemons[0].advance(digest, 1); status != http.StatusOK {
		t.Errorf("status %d: %v", status, err)
	}
	w.inForce(2)
}

// The author of a bundle must not be able to sign it off, and a bundle that is not
// signed off must not be rolled out.
func TestConfigSignOff(t *testing.T) {
	w := newTestbed(t, defaults())
	p := w.daemons[0]
	content, _ := json.Marshal(withWorth(w.bundle, 20))
	digest := bundle.Digest(content)
	if _, err := p.callOperators("anna", "POST", "/v1/bundles", content, nil); err != nil {
		t.Fatal(err)
	}
	if status, _ := p.callOperators("anna", "POST", "/v1/bundles/"+digest+"/signoff", nil, nil); status != http.StatusForbidden {
		t.Errorf("own sign-off: status %d", status)
	}
	if status, _ := p.advance(digest, 1); status != http.StatusForbidden {
		t.Errorf("unsigned rollout: status %d", status)
	}
	if status, _ := p.callOperators("eve", "GET", "/v1/status", nil, nil); status != http.StatusUnauthorized {
		t.Errorf("unknown operator: status %d", status)
	}
}

// During an outage of the platform one daemon starts, and another resumes that was
// frozen during two rollouts. Both must get the newest generation from their
// peers, and no daemon may return to an older one, even if the platform repeats
// an old event afterwards.
func TestConfigStartAndWakeInOutage(t *testing.T) {
	o := defaults()
	w := newTestbed(t, o)
	frozen := w.daemons[2]
	frozen.freeze()
	for g := range 2 {
		digest := w.daemons[0].propose(withWorth(w.bundle, 30+g))
		if status, err := w.daemons[0].advance(digest, uint64(g+1)); status != http.StatusOK {
			t.Fatalf("status %d: %v", status, err)
		}
	}
	w.eventually("in force on the daemons that are not frozen", func() bool {
		for _, p := range w.daemons[:2] {
			if d, err := p.dump(); err != nil || d.Generation != 3 {
				return false
			}
		}
		return true
	})
	w.platform.Faults.Set(fault.Settings{Fail: true, Path: "/objects"}) // the host list still answers
	frozen.unfreeze()
	w.startDaemon("late", "hall-b", o)
	w.inForce(3)
	text, r := w.daemons[3].complete("m0", "x", 2)
	t.Logf("the daemon that started in the outage answers %d %v %q", r.status, r.refusal.Reason, text)
	w.platform.Faults.Set(fault.Settings{})
	// The platform repeats an old event: the pointer to generation 1.
	w.platform.Replay("config", "current")
	time.Sleep(300 * time.Millisecond)
	for _, p := range w.daemons {
		if d, err := p.dump(); err != nil || d.Generation != 3 {
			t.Errorf("%s went to generation %d", p.name, d.Generation)
		}
	}
}

// An endpoint leaves: it announces that in its answers while the host list lags, the
// host list marks it as leaving, or an operator drains it. It must get no new calls after a few
// seconds, and no caller may be refused meanwhile.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	ways := map[string]func(*testbed, int){
		"announced": func(w *testbed, i int) { w.services[fmt.Sprintf("app%d", i)].SetLeaving(true) },
		"host list": func(w *testbed, i int) { w.leaveInHostList(fmt.Sprintf("app%d", i)) },
		"operator": func(w *testbed, i int) {
			if _, err := w.daemons[1].callOperators("anna", "POST", fmt.Sprintf("/v1/endpoints/app%d/drain", i), nil, nil); err != nil {
				w.t.Error(err)
			}
		},
	}
	for name, leave := range ways {
		t.Run(name, func(t *testing.T) {
			o := defaults()
			o.hostLag = time.Second
			w := newTestbed(t, o)
			var wg sync.WaitGroup
			done := make(chan struct{})
			for i := range 6 {
				wg.Go(func() {
					for {
						select {
						case <-done:
							return
						default:
						}
						if r := w.daemons[i%3].call("GET", "/services/app/x", ""); !r.ok() {
							t.Errorf("status %d %v %v", r.status, r.refusal, r.err)
						}
					}
				})
			}
			busy := func(i int) bool { n, _ := w.services[fmt.Sprintf("app%d", i)].Calls(); return n > 20 }
			w.eventually("both endpoints are used", func() bool { return busy(0) && busy(1) })
			leave(w, 0)
			left := time.Now()
			w.eventually("no new work for a second", func() bool {
				_, last := w.services["app0"].Calls()
				return time.Since(last) > time.Second
			})
			_, last := w.services["app0"].Calls()
			t.Logf("last new work %s after the leave", last.Sub(left))
			close(done)
			wg.Wait()
		})
	}
}

func (w *testbed) leaveInHostList(name string) {
	list := append([]standin.Host(nil), w.hosts...)
	for i := range list {
		list[i].Leaving = list[i].Leaving || list[i].Name == name
	}
	w.platform.SetHosts(list)
}

// A drained engine must finish its streams, and its models must move to another engine.
func TestLeavingEngineFinishesStreams(t *testing.T) {
	o := defaults()
	o.tokenTime = 20 * time.Millisecond
	w := newTestbed(t, o)
	if _, r := w.daemons[0].complete("m0", "warm", 1); !r.ok() {
		t.Fatalf("warm-up: %d %v", r.status, r.refusal)
	}
	from := ""
	for name, e := range w.engines {
		if len(e.Units()) > 0 {
			from = name
		}
	}
	check := w.watchReplicas("m0", 1)
	var wg sync.WaitGroup
	for i := range 3 {
		wg.Go(func() {
			prompt := fmt.Sprint("stream ", i)
			text, whole, r := w.daemons[i].stream("m0", prompt, 100)
			if !r.ok() || !whole || text != engine.Answer(prompt, 100) {
				t.Errorf("cut off: %d %v whole %v", r.status, r.refusal, whole)
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	if _, err := w.daemons[0].callOperators("anna", "POST", "/v1/endpoints/"+from+"/drain", nil, nil); err != nil {
		t.Fatal(err)
	}
	wg.Wait()
	w.eventually("m0 is served elsewhere", func() bool {
		text, r := w.daemons[1].complete("m0", "after", 2)
		return r.ok() && text == engine.Answer("after", 2) && len(w.engines[from].Units()) == 0
	})
	check()
	w.checkMemory()
}
