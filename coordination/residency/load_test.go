package residency

import (
	"testing"
	"time"
)

// Load: more rare models than places, one short request each. The place of a
// request that has ended is free for the next model as soon as a daemon has
// said so.
func TestEndedRequestFreesItsPlaceSoon(t *testing.T) {
	w := newWorld(4, 1)
	w.engines[0].onDisk["m03"] = true
	w.run(time.Second)
	d := Demand{Active: map[string]int{}, Running: map[Place]int{}}
	for _, m := range []string{"m00", "m01", "m02"} {
		w.p.Want(w.now, Want{Model: m})
		d.Active[m], d.Running[Place{"e0", m}] = 1, 1
	}
	w.p.Demand(w.now, "d", d)
	w.p.Want(w.now, Want{Model: "m03"})
	w.run(250 * time.Millisecond)
	w.p.Demand(w.now, "d", Demand{})
	w.run(150 * time.Millisecond)
	if !w.engines[0].busy || w.engines[0].during.Model != "m03" {
		t.Fatal("the place is not taken 150 ms after its request has ended")
	}
}
