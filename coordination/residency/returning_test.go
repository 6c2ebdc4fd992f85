package residency

import (
	"fmt"
	"testing"
	"time"
)

// Load: a caller is refused for lack of room and retries at the time that it was told. The
// entry of its model in the schedule was dropped 9 s after the request, so that a caller who
// was told a later time started again behind all others.
func TestRefusedModelKeepsItsEntryUntilTheToldTime(t *testing.T) {
	w := newSimCluster(4, 1)
	w.run(time.Second)
	d := Demand{Active: map[string]int{}, Running: map[Place]int{}}
	for _, m := range []string{"m00", "m01", "m02"} {
		d.Active[m], d.Running[Place{incarnation("e0"), m}] = 30, 30
	}
	w.p.ReceiveDemand(w.now, "d", d)
	w.p.engines["e0"].noOrderBefore = w.now.Add(20 * time.Second)
	a := w.p.Want(w.now, Want{Model: "m03"})
	if a.Refused != RefusedNoRoom || a.ReadyIn < 15*time.Second {
		t.Fatalf("%+v, want a refusal for more than 15 s", a)
	}
	for _, c := range []struct {
		after time.Duration
		kept  bool
	}{{a.ReadyIn, true}, {a.ReadyIn + 2*keepForReturning, false}} {
		now := w.now.Add(c.after)
		w.p.schedule(w.p.newDraft(now))
		_, kept := w.p.wants[anywhere("m03")]
		t.Logf("entry %v after the refusal: formerly false, now %v", c.after, kept)
		if kept != c.kept {
			t.Errorf("entry %v after the refusal: %v, want %v", c.after, kept, c.kept)
		}
	}
}

// Callers that were refused before come before others of their rank, and after more urgent ones.
func TestReturningRequestWeighsMore(t *testing.T) {
	w := newSimCluster(4, 1)
	value := func(model string, want Want) float64 {
		want.Model = model
		w.p.addValue(w.now, want)
		return w.p.value(w.now, model)
	}
	for rank := 1; rank < ranks; rank++ {
		plain := value(fmt.Sprint("plain", rank), Want{Rank: rank})
		back := value(fmt.Sprint("back", rank), Want{Rank: rank, Returning: true})
		urgent := value(fmt.Sprint("urgent", rank), Want{Rank: rank - 1})
		if !(plain < back && back < urgent) {
			t.Errorf("rank %d: weights %v, returning %v, more urgent %v, want ascending ones", rank, plain, back, urgent)
		}
	}
}
