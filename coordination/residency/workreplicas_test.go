package residency

import (
	"math"
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/coordination/workcost"
)

// A model with long prompts got a second replica only when its answers were slow.
func TestReplicasForWork(t *testing.T) {
	for _, c := range []struct {
		name   string
		prompt int
		rate   float64 // first events a second
		want   int
	}{
		{"no tokens stated", 0, 20, 0},
		{"short prompts", 826, 10, 1},
		{"long prompts", 9190, 10, 11}, // 0.36 s each, with the time for attention
		{"long prompts of a rare model", 9190, 0.7, 0},
		{"negative count", -5, 20, 0},
	} {
		w := newSimCluster(90, 30)
		w.run(time.Second)
		w.p.Want(w.now, Want{Model: "m00", Work: workcost.Work{Prompt: c.prompt}})
		span := pressureHalfLife.Seconds() / math.Ln2
		s := &pressure{at: w.now, seconds: span, count: c.rate * span}
		if got := w.p.replicasForWork(w.now, "m00", s); got != c.want {
			t.Errorf("%s: %d replicas, want %d", c.name, got, c.want)
		}
	}
	w := newSimCluster(90, 30)
	w.p.Want(w.now, Want{Model: "m00", Work: workcost.Work{Prompt: math.MaxInt}})
	w.serve(2*time.Second, "e0", "m00", 10, 50, 0)
	if n := w.p.newDraft(w.now).needed("m00"); n < 1 || n > len(w.engines)/2 {
		t.Errorf("%d replicas needed for an absurd count of tokens, want at most half of the engines", n)
	}
}

// Load: a burst of rare requests takes placements from busy models. Where their prompts are
// known, busy models keep the replicas that their work needs; otherwise only those that
// slow answers show.
func TestBusyModelsKeepTheReplicasForTheirWork(t *testing.T) {
	run := func(known bool) contendedStats {
		var sum contendedStats
		for seed := range uint64(1) {
			l := newContendedLoad(60, 0.6, seed)
			for i := range contendedBusy {
				w := Want{Model: busyName(i), Rank: 3}
				if known {
					w.Work = workcost.Work{Prompt: (shortPrompt + longPrompt) / 2}
				}
				l.p.Want(l.now, w)
			}
			_, burst := l.burst()
			sum.add(burst)
		}
		return sum
	}
	before, now := run(false), run(true)
	t.Logf("formerly, by numbers of requests: %v", before)
	t.Logf("now, by prompt work: %v", now)
	if now.urgentInTime*before.urgentArrived < before.urgentInTime*now.urgentArrived {
		t.Errorf("%d of %d urgent requests in time, %d of %d without known work", now.urgentInTime, now.urgentArrived, before.urgentInTime, before.urgentArrived)
	}
	if float64(now.inTime) < 0.97*float64(now.inTime+now.late+now.lost) {
		t.Errorf("%d of %d rare requests in time, want 0.97", now.inTime, now.arrived)
	}
}
