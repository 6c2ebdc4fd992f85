package retry

import (
	"fmt"
	"sync"
	"testing"
)

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

// spendAll spends all retries of a budget and returns their number.
func spendAll(b *Budget) (spent int) {
	for b.Spend() {
		spent++
	}
	return spent
}

// Guards against retries that the requests for one service have earned and that are spent at another,
// which then gets more of them than its own requests allow.
func TestRetriesAreSpentWhereTheyWereEarned(t *testing.T) {
	b := NewBudgets(func() *Budget { return NewEarnedBudget(0.25) })
	b.SetBurst(10)
	for range 1000 {
		b.Of("busy").Earn()
	}
	b.Of("quiet").Earn()
	if n := spendAll(b.Of("quiet")); n != 1 {
		t.Errorf("%d retries at a service with one request, want the one that it starts with", n)
	}
	if n := spendAll(b.Of("busy")); n != 10 {
		t.Errorf("%d retries at the other service, want its burst", n)
	}
}

// The burst holds for services of which the first request comes later, too, and a service that is not
// configured any more holds no memory.
func TestBudgetsFollowTheConfiguration(t *testing.T) {
	b := NewBudgets(func() *Budget { return NewBudgetOf(0.25, 100) })
	b.SetBurst(3)
	var all sync.WaitGroup
	for i := range 200 {
		all.Go(func() { b.Of(fmt.Sprint("s", i%20)).Earn() })
	}
	all.Wait()
	if n := spendAll(b.Of("s7")); n != 3 {
		t.Errorf("%d retries, want the burst", n)
	}
	b.Retain(func(service string) bool { return service == "s7" })
	if n := len(*b.byService.Load()); n != 1 {
		t.Errorf("%d budgets are held, want one", n)
	}
	if b.Of("s7").Spend() {
		t.Error("a budget that was kept is full again")
	}
}

func BenchmarkBudgetOfAService(b *testing.B) {
	budgets := NewBudgets(NewBudget)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			budgets.Of("llm").Earn()
		}
	})
}
