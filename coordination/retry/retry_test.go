package retry

import "testing"

// A restarted daemon does not start with a burst of retries: the limit is shared by all
// daemons, and a rolling restart must not multiply it.
func TestNewBudgetIsEarned(t *testing.T) {
	b := NewEarnedBudget(0.25)
	b.SetBurst(2)
	if !b.Spend() || b.Spend() {
		t.Fatal("new budget does not hold exactly one retry")
	}
	for range 100 {
		b.Earn()
	}
	spent := 0
	for b.Spend() {
		spent++
	}
	if spent != 2 {
		t.Fatalf("spent %d retries with a burst of 2", spent)
	}
}

func TestSetBurstCutsWhatIsInStore(t *testing.T) {
	b := NewBudgetOf(0.2, 10)
	b.SetBurst(1)
	if !b.Spend() || b.Spend() {
		t.Fatal("want exactly one retry after the burst was cut to one")
	}
}
