package residency

import (
	"fmt"
	"testing"
	"time"
)

// A daemon reports within minDemandDelay that a model can be replaced, while such reports
// are few, and all daemons together send no more of them than a coordinator should receive.
func TestDemandTimer(t *testing.T) {
	for _, c := range []struct {
		daemons                    int
		sinceSent                  time.Duration
		changed, freed, wantWithin time.Duration // after now; negative: did not happen
	}{
		{6, time.Second, -1, -1, 400 * time.Millisecond},
		{6, time.Second, 0, -1, 40 * time.Millisecond},
		{6, time.Second, -1, 0, 40 * time.Millisecond},
		{195, time.Second, 0, -1, 650 * time.Millisecond},
		{195, 400 * time.Millisecond, -1, 0, 40 * time.Millisecond},
		{195, 100 * time.Millisecond, -1, 0, 225 * time.Millisecond},
		{375, 0, -1, 0, 625 * time.Millisecond},
	} {
		var p DemandTimer
		p.ObserveSent(start, c.daemons)
		now := start.Add(c.sinceSent)
		if c.wantWithin == 400*time.Millisecond {
			now = start
		}
		if c.changed >= 0 {
			p.ObserveChange(now, c.daemons)
		}
		if c.freed >= 0 {
			p.ObserveFreed(now, c.daemons)
		}
		if got := p.Due().Sub(now); got > c.wantWithin {
			t.Errorf("%+v: due in %v, later than wanted", c, got)
		}
	}
	var p DemandTimer
	sent := 0
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(5 * time.Millisecond) {
		p.ObserveFreed(now, 195)
		if !now.Before(p.Due()) {
			sent++
			p.ObserveSent(now, 195)
		}
	}
	if maxSent := 10 * maxFreedRate / 195; sent > maxSent+1 {
		t.Errorf("one of 195 daemons sent %d reports in 10 s, want at most %d", sent, maxSent)
	}
}

// Load: hundreds of daemons and more rare models than there is room for, each requested by
// a single request of two seconds. A model is replaced by the next one as soon as its
// daemon has reported the end of the request. When the daemon waited for the regular
// report, whose interval grows with the number of daemons, the model stood idle for 0.8 s
// more, a third of the time that its request had run.
func TestPlaceIsFreeAtOnceAmongManyDaemons(t *testing.T) {
	w := newSimCluster(4, 1)
	w.engines[0].onDisk["m03"] = true
	for i := range 195 {
		w.p.ReceiveDemand(w.now, fmt.Sprint("d", i), Demand{})
	}
	w.run(time.Second)
	var d Demand
	for _, m := range []string{"m00", "m01", "m02"} {
		w.p.Want(w.now, Want{Model: m})
	}
	for range 4 { // two seconds of running requests, reported at the interval of 195 daemons
		for i := range 195 {
			w.p.ReceiveDemand(w.now, fmt.Sprint("d", i), Demand{})
		}
		d = Demand{Active: map[string]int{}, Running: map[Place]int{}}
		for _, m := range []string{"m00", "m01", "m02"} {
			d.Active[m], d.Running[Place{incarnation("e0"), m}] = 1, 1
		}
		w.p.ReceiveDemand(w.now, "d0", d)
		w.run(DemandDelay(195) - 50*time.Millisecond)
	}
	w.p.Want(w.now, Want{Model: "m03"})
	w.p.ReceiveDemand(w.now, "d0", Demand{})
	w.run(100 * time.Millisecond)
	if !w.engines[0].busy || w.engines[0].during.Model != "m03" {
		t.Fatal("m03 is not being loaded 100 ms after its daemon has reported the end of the request")
	}
}
