package e2e_test

import (
	"fmt"
	"testing"
	"time"
)

// The platform is restored from a backup that is older than a rollout, a drain and an order. Guards
// against daemons that then return to the older generation, use the drained endpoint, run the order
// a second time, or don't adopt later rollouts.
func TestPlatformComesBackFromACopy(t *testing.T) {
	w := newTestbed(t, defaults())
	a := w.daemons[0]
	if _, r := a.complete("m0", "one", 5); !r.ok() {
		t.Fatalf("%+v", r)
	}
	backup := w.platform.Backup()
	w.rollout(withWorth(w.bundle, 33))
	w.inForce(2)
	if _, err := a.callOperators("anna", "POST", "/v1/endpoints/app0/drain", nil, nil); err != nil {
		t.Fatal(err)
	}
	if r := a.order("key-1"); !r.ok() {
		t.Fatalf("order: %+v", r)
	}
	drained := func() bool {
		_, last := w.services["app0"].Calls()
		for i := range 12 {
			w.daemons[i%3].order(fmt.Sprint("drained-", time.Now().UnixNano()))
		}
		_, now := w.services["app0"].Calls()
		return now.Equal(last)
	}
	w.eventually("the drained endpoint gets no calls", drained)

	w.platform.Restore(backup)
	w.eventually("the rollout is written again", func() bool { return w.pointer(a).Generation == 2 })
	for _, p := range w.daemons {
		if d, err := p.dump(); err != nil || d.Generation != 2 {
			t.Errorf("%s is at generation %d, want 2 (%v)", p.name, d.Generation, err)
		}
		if r := p.order("key-1"); r.ok() || r.refusal.Reason != "duplicate-key" {
			t.Errorf("a repeated order at %s: %+v", p.name, r)
		}
	}
	for i := range 60 {
		if r := w.daemons[i%3].order(fmt.Sprint("after-", i)); !r.ok() {
			t.Errorf("an order after the restore: %+v", r)
		}
	}
	if !drained() {
		t.Error("the drained endpoint gets calls after the restore")
	}
	w.rollout(withWorth(w.bundle, 34))
	w.inForce(3)
	w.eventually("a model is loaded", func() bool { _, r := w.daemons[2].complete("m1", "two", 5); return r.ok() })
	w.checkMemory()
	runs := 0
	for _, s := range w.services {
		runs += s.Runs()["key-1"]
	}
	if runs != 1 {
		t.Errorf("the order ran %d times", runs)
	}
	if !w.hasLogged("state written again after a restore") {
		t.Error("no daemon logged the state that it wrote again")
	}
}
