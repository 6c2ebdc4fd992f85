package residency

import (
	"testing"
	"time"
)

// Guards against streams that are bound to a version and wait again and again for room that only an engine of another version will have: the
// time that a refusal for lack of room names is that of the first engine of any version.
func TestNoRoomNamesTheTimeOfTheVersion(t *testing.T) {
	w := newSimCluster(7, 2) // e0 holds m00 to m02, e1 the next three
	w.engines[0].endpoint.Software, w.engines[1].endpoint.Software = "v1", "v2"
	w.entries()
	w.run(time.Second)
	d := Demand{Active: map[string]int{}, Running: map[Place]int{}}
	for _, m := range []string{"m00", "m01", "m02"} {
		d.Active[m], d.Running[Place{incarnation("e0"), m}] = 30, 30
	}
	w.p.ReceiveDemand(w.now, "d", d)
	w.p.engines["e0"].noOrderBefore = w.now.Add(20 * time.Second)
	want := Want{Model: "m06", TimeLeft: 7 * time.Second, Slack: 2 * time.Second, Returning: true}
	if a := w.p.Want(w.now, want); a.Refused != "" {
		t.Fatalf("%+v, want a place at e1 for a request of any version", a)
	}
	want.Only = SoftwareFilter{Bound: true, Software: "v1"}
	if a := w.p.Want(w.now, want); a.Refused != RefusedNoRoom || a.ReadyIn < 15*time.Second {
		t.Errorf("%+v, want a refusal for more than 15 s", a)
	}
}
