package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/fleet"
)

var (
	start = time.Unix(1_000_000, 0)
	v1    = SoftwareOf("llm", "m1", "1")
	v2    = SoftwareOf("llm", "m1", "2")
)

func fingerprintOf(name string) protocol.Fingerprint {
	return protocol.FingerprintOf("POST", "/x", "", "caller", []byte(name))
}

// attempt is an attempt during which its endpoint crashed; times are in seconds.
type attempt struct {
	request, incarnation string
	sent, at             float64
	began                bool
}

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func (a attempt) observed() CrashedAttempt {
	return CrashedAttempt{Fingerprint: fingerprintOf(a.request), Software: v1, Crash: Crash{Incarnation: fleet.Incarnation{ID: a.incarnation}, Sent: at(a.sent), At: at(a.at), Order: at(a.at).UnixMilli(), Doubtful: a.began, Attempts: a.tags()}}
}

// tags tags the attempt by the time it was sent, so that a repeated report names the same attempt.
func (a attempt) tags() []uint32 {
	if a.began {
		return nil
	}
	return []uint32{AttemptTag(fmt.Sprint(a.request, a.sent))}
}

func machineAfter(list ...attempt) *Machine {
	m := New()
	for _, a := range list {
		m.ObserveCrash(at(a.at), a.observed())
	}
	return m
}

// crasher is a request that crashed three engines, each 0.1 s after it was sent there.
var crasher = []attempt{{"bad", "e1", 1, 1.1, false}, {"bad", "e2", 1.1, 1.2, false}, {"bad", "e3", 3, 3.1, false}}

func TestWhoIsHeldBack(t *testing.T) {
	for _, c := range []struct {
		name     string
		attempts []attempt
		held     []string
	}{
		{"two crashes may be chance", crasher[:2], nil},
		{"three crashes", crasher, []string{"bad"}},
		{"one incarnation, reported three times", []attempt{{"bad", "e1", 1, 1.1, false}, {"bad", "e1", 1, 1.1, false}, {"bad", "e1", 1.05, 1.15, false}}, nil},
		{"three incarnations of an endpoint without start times", []attempt{{"bad", "e1", 1, 1.1, false}, {"bad", "e1", 4, 4.1, false}, {"bad", "e1", 7, 7.1, false}}, []string{"bad"}},
		{"five crashes in the middle of its answers", []attempt{{"long", "e1", 1, 2, true}, {"long", "e2", 2, 3, true}, {"long", "e3", 3, 4, true}, {"long", "e4", 4, 5, true}, {"long", "e5", 5, 6, true}}, nil},
		{"six crashes in the middle of its answers", []attempt{{"long", "e1", 1, 2, true}, {"long", "e2", 2, 3, true}, {"long", "e3", 3, 4, true}, {"long", "e4", 4, 5, true}, {"long", "e5", 5, 6, true}, {"long", "e6", 6, 7, true}}, []string{"long"}},
		{"a popular request on engines that are lost together", []attempt{{"popular", "e1", 0.2, 1, false}, {"popular", "e2", 0.3, 1, false}, {"popular", "e3", 0.4, 1.01, false}}, nil},
		{"three concurrent copies of a request that crashes engines", []attempt{{"bad", "e1", 1, 1.1, false}, {"bad", "e2", 1.01, 1.11, false}, {"bad", "e3", 1.02, 1.12, false}}, []string{"bad"}},
		{"running beside a request that crashes engines, and resumed with it", append([]attempt{{"beside", "e1", 0.2, 1.1, true}, {"beside", "e2", 1.1, 1.2, false}}, crasher...), []string{"bad"}},
		{"three attempts of three daemons when one engine crashed", []attempt{{"bad", "e1", 1, 1.1, false}, {"bad", "e1", 1.01, 1.1, false}, {"bad", "e1", 1.02, 1.1, false}}, []string{"bad"}},
		{"one attempt at a crash, then two at another", []attempt{{"bad", "e1", 1, 1.1, false}, {"bad", "e2", 5, 5.1, false}, {"bad", "e2", 5.05, 5.1, false}}, []string{"bad"}},
		{"two attempts when one engine crashed", []attempt{{"bad", "e1", 1, 1.1, false}, {"bad", "e1", 1.01, 1.1, false}}, nil},
		{"many answers in progress when one engine crashed", []attempt{{"long", "e1", 1, 2, true}, {"long", "e1", 1.1, 2, true}, {"long", "e1", 1.2, 2, true}, {"long", "e1", 1.3, 2, true}}, nil},
		{
			"running beside two such requests, one after the other",
			append([]attempt{
				{"beside", "e2", 1.1, 1.2, false}, {"beside", "e3", 3, 3.1, false}, {"beside", "f1", 5, 5.1, false},
				{"worse", "f1", 5, 5.1, false}, {"worse", "f2", 6, 6.1, false}, {"worse", "f3", 7, 7.1, false}, {"worse", "f4", 7, 7.1, false},
				{"bad", "e4", 3, 3.2, false},
			}, crasher...),
			[]string{"bad", "worse"},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := machineAfter(c.attempts...)
			want := map[protocol.Fingerprint]bool{}
			for _, name := range c.held {
				want[fingerprintOf(name)] = true
			}
			held := m.Held()
			for _, a := range c.attempts {
				if _, is := held[fingerprintOf(a.request)]; is != want[fingerprintOf(a.request)] {
					t.Errorf("%s: held back %v, suspicion %d", a.request, is, m.assess(m.records[fingerprintOf(a.request)]).Suspicion)
				}
			}
		})
	}
}

// Guards against probes that cost too many endpoints: in the ten minutes after the third crash
// there are two, and each lets a single request of all daemons through.
func TestTrialsGrowRare(t *testing.T) {
	m := machineAfter(crasher...)
	print, probes := fingerprintOf("bad"), []float64{}
	for s := 3.2; s < 3600; s += 0.25 {
		if !m.GrantProbe(at(s), print, v1, false) {
			continue
		}
		if m.GrantProbe(at(s), print, v1, false) {
			t.Fatal("a second request was sent beside the probe")
		}
		probes = append(probes, s)
		m.ObserveCrash(at(s+0.1), attempt{"bad", fmt.Sprint("t", s), s, s + 0.1, false}.observed())
	}
	if len(probes) < 4 || probes[0] < 60 || probes[1] > 600 || probes[2] < 600 {
		t.Fatalf("probes at %v s", probes)
	}
}

func TestNewSoftwareIsProbedAtOnce(t *testing.T) {
	m := machineAfter(crasher...)
	print := fingerprintOf("bad")
	switch {
	case m.GrantProbe(at(4), print, v1, false):
		t.Fatal("a probe on the same software was granted at once")
	case !m.GrantProbe(at(4), print, v2, false):
		t.Fatal("no probe was granted on a new version")
	case m.GrantProbe(at(5), print, v2, false):
		t.Fatal("a second probe was granted on the new version")
	case !m.GrantProbe(at(6), print, SoftwareOf("next"), false) || !m.GrantProbe(at(6), print, SoftwareOf("last"), false):
		t.Fatal("no probe was granted on a new service")
	case m.GrantProbe(at(7), print, SoftwareOf("one more"), false):
		t.Fatal("a probe was granted on each new software without bound")
	}
}

func TestAnswersClearCrashes(t *testing.T) {
	m := machineAfter(crasher...)
	print := fingerprintOf("bad")
	m.ObserveSuccess(at(4), print, at(2.5)) // sent before the last crash
	if len(m.Held()) != 0 {
		t.Fatal("an answer did not clear a crash")
	}
	m.ObserveCrash(at(5.1), attempt{"bad", "e4", 5, 5.1, false}.observed())
	if len(m.Held()) != 1 {
		t.Fatal("an answer cleared more than one crash")
	}
	if !m.GrantProbe(at(70), print, v1, false) {
		t.Fatal("no probe was granted")
	}
	m.ObserveSuccess(at(71), print, at(70))
	if len(m.Held()) != 0 || m.records[print].uncleared() != 0 {
		t.Fatal("the request passed its probe and is still held back")
	}
	m.Merge(at(42), []Record{{Fingerprint: print, Crashes: []Crash{crasher[0].observed().Crash}}})
	if m.records[print].uncleared() != 0 {
		t.Fatal("an older record of another daemon restored a cleared crash")
	}
}

// Guards against a request that crashes every second engine and is never held back because its
// answers clear its crashes.
func TestSometimesCrashing(t *testing.T) {
	m := New()
	for i := range 40 {
		s := float64(i)
		m.ObserveCrash(at(s+0.1), attempt{"bad", fmt.Sprint("a", i), s, s + 0.1, false}.observed())
		m.ObserveCrash(at(s+0.3), attempt{"bad", fmt.Sprint("b", i), s + 0.2, s + 0.3, false}.observed())
		if len(m.Held()) == 1 {
			return
		}
		m.ObserveSuccess(at(s+0.5), fingerprintOf("bad"), at(s+0.4))
	}
	t.Fatal("the request is never held back")
}

// Guards against a flood of requests that each crash one endpoint: the memory stays bounded and
// requests that are held back keep their records.
func TestFloodIsBounded(t *testing.T) {
	m := machineAfter(crasher...)
	for i := range 5 * maxRecords {
		s := 4 + float64(i)/100
		m.ObserveCrash(at(s), attempt{fmt.Sprint("flood", i), fmt.Sprint("f", i), s - 0.1, s, false}.observed())
	}
	if m.Len() > maxRecords || len(m.byIncarnation) > maxRecords*maxCrashes {
		t.Fatalf("%d records, %d incarnations", m.Len(), len(m.byIncarnation))
	}
	if !m.held[fingerprintOf("bad")].Held() {
		t.Fatal("the record of the request that is held back was removed")
	}
	if list, more := m.TakePending(); len(list) != MaxPerMessage || !more {
		t.Fatalf("%d records in one message, more: %v", len(list), more)
	}
	if top := m.Top(); len(top) != MaxPerMessage || top[0].Fingerprint != fingerprintOf("bad") {
		t.Fatalf("a starting daemon receives %d records, and the request that is held back is not the first", len(top))
	}
}

func TestRecordsExpire(t *testing.T) {
	m := machineAfter(crasher...)
	m.Expire(at(3.2).Add(Retention))
	if m.Len() != 0 || len(m.Held()) != 0 || len(m.byIncarnation) != 0 {
		t.Fatal("expired records are left")
	}
	m.Merge(at(3.2).Add(Retention), []Record{{Fingerprint: fingerprintOf("bad"), Crashes: []Crash{crasher[0].observed().Crash}}})
	if m.Len() != 0 {
		t.Fatal("an expired record was merged again")
	}
}
