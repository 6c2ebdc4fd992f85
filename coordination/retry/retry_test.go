package retry

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

// spendAll spends all retries at a service and returns their number.
func spendAll(b *Budgets, now time.Time, service string) (spent int) {
	for b.Spend(now, service) {
		spent++
	}
	return spent
}

// Guards against daemons that start again and again and have a retry each time: what all daemons may send
// together must not grow with the number of starts.
func TestNewBudgetIsEarned(t *testing.T) {
	s := NewSharing(Limit{0.25, 52, 10 * time.Second}, start, false)
	s.Inform(0)
	b := NewBudgets(10*time.Second, s.Share(start, 7))
	if n := spendAll(b, start, "app"); n != 0 {
		t.Fatalf("a daemon that has just started has %d retries", n)
	}
	for range 100 {
		b.Earn(start, "app")
	}
	if n := spendAll(b, start, "app"); n != 1 {
		t.Errorf("%d retries were saved before the share was known, want 1", n)
	}
	now := start.Add(14 * time.Second)
	b.Update(now, s.Share(now, 7))
	if n := spendAll(b, now, "app"); n != 6 {
		t.Errorf("%d retries that need not be earned, want 6", n)
	}
}

// Guards against a first start in which a daemon serves for seconds and may then repeat no more than two of the requests
// that are lost at once, as on open connections that have become silent.
func TestRetriesEarnedSinceTheFirstStartAreSaved(t *testing.T) {
	s := NewSharing(Limit{0.2, 52, 10 * time.Second}, start, true)
	b := NewBudgets(10*time.Second, s.Share(start, 1))
	for range 100 {
		b.Earn(start, "app")
	}
	now := start.Add(time.Second)
	b.Update(now, s.Share(now, 3))
	if n := spendAll(b, now, "app"); n != 11 {
		t.Errorf("%d retries after a hundred requests, want half of their ratio and one more", n)
	}
}

func TestSmallerShareCutsWhatIsSaved(t *testing.T) {
	b := NewBudgets(10*time.Second, Share{Ratio: 1, Saved: 10, Unearned: 5})
	for range 20 {
		b.Earn(start, "app")
	}
	b.Update(start, Share{Ratio: 1, Saved: 1, Unearned: 2})
	if n := spendAll(b, start, "app"); n != 3 {
		t.Errorf("%d retries after the share was cut to 1 saved and 2 unearned", n)
	}
}

// A retry that need not be earned is available again when it is out of the window of the limit.
func TestUnearnedRetriesReturnAfterAWindow(t *testing.T) {
	b := NewBudgets(10*time.Second, Share{Unearned: 3})
	for i, c := range []struct {
		at   time.Duration
		want int
	}{{0, 3}, {5 * time.Second, 0}, {10 * time.Second, 0}, {10*time.Second + arrivalSlack + 1, 3}} {
		if n := spendAll(b, start.Add(c.at), "app"); n != c.want {
			t.Errorf("%d: %d retries after %v, want %d", i, n, c.at, c.want)
		}
	}
}

// Guards against retries that the requests for one service have earned and that are spent at another,
// which then gets more of them than its own requests allow.
func TestRetriesAreSpentWhereTheyWereEarned(t *testing.T) {
	b := NewBudgets(10*time.Second, Share{Ratio: 0.25, Saved: 10})
	for range 1000 {
		b.Earn(start, "busy")
	}
	for range 4 {
		b.Earn(start, "quiet")
	}
	if n := spendAll(b, start, "quiet"); n != 1 {
		t.Errorf("%d retries at a service with four requests, want 1", n)
	}
	if n := spendAll(b, start, "busy"); n != 10 {
		t.Errorf("%d retries at the other service, want those that it may save", n)
	}
}

// The share holds for services of which the first request comes later, too. A service that is not configured any
// more holds no memory, but gets nothing twice if it comes back within the window.
func TestBudgetsFollowTheConfiguration(t *testing.T) {
	b := NewBudgets(10*time.Second, Share{})
	b.Update(start, Share{Unearned: 3})
	var all sync.WaitGroup
	for i := range 200 {
		all.Go(func() { b.Earn(start, fmt.Sprint("s", i%20)) })
	}
	all.Wait()
	if n := spendAll(b, start, "s7"); n != 3 {
		t.Errorf("%d retries, want the share", n)
	}
	b.Retain(start, func(string) bool { return false })
	if n := len(*b.byService.Load()); n != 1 {
		t.Errorf("%d budgets are held, want one", n)
	}
	if b.Spend(start, "s7") {
		t.Error("a service that comes back has its share again within the window")
	}
	b.Retain(start.Add(time.Minute), func(string) bool { return false })
	if n := len(*b.byService.Load()); n != 0 {
		t.Errorf("%d budgets are held, want none", n)
	}
}

// Guards against requests that waited for a paused daemon and pay for retries in a window in which they do not
// count any more.
func TestRequestsOfAPauseEarnNothing(t *testing.T) {
	share := Share{Ratio: 1, Saved: 10}
	b := NewBudgets(10*time.Second, share)
	b.Update(start, share)
	woken := start.Add(20 * time.Second)
	b.Earn(woken, "app") // before the first update
	b.Update(woken, share)
	b.Earn(woken.Add(stallBacklog/2), "app")
	if n := spendAll(b, woken.Add(stallBacklog/2), "app"); n != 0 {
		t.Errorf("%d retries earned by requests that waited", n)
	}
	b.Earn(woken.Add(stallBacklog), "app")
	if n := spendAll(b, woken.Add(stallBacklog), "app"); n != 1 {
		t.Errorf("%d retries earned after the pause, want 1", n)
	}
}

// The shares of all daemons together stay within the limit, whatever their number.
func TestSharesAddUpToTheLimit(t *testing.T) {
	for _, daemons := range []int{1, 6, 7, 24, 49, 50, 52, 60, 195, 375} {
		for _, extra := range []float64{0, 3, 52, 1000} {
			s := NewSharing(Limit{0.2, extra, 10 * time.Second}, start, false)
			s.Inform(0)
			share := s.Share(start.Add(time.Minute), daemons)
			if all := (share.Saved + float64(share.Unearned)) * float64(daemons); !share.Volatile && all > extra {
				t.Errorf("%d daemons, %g extra: shares add up to %g", daemons, extra, all)
			}
			if share.Saved < 1 || share.Unearned < 0 {
				t.Errorf("%d daemons, %g extra: %+v allows no retry", daemons, extra, share)
			}
			if share.Volatile && share.Ratio > 0.1 {
				t.Errorf("%d daemons, %g extra: earned retries are saved beyond the extra ones at a ratio of %g", daemons, extra, share.Ratio)
			}
		}
	}
}

// Daemons that are cut off from each other, or whose neighbours have just been killed, keep their share.
func TestShareDoesNotGrowWhenDaemonsAreMissing(t *testing.T) {
	s := NewSharing(Limit{0.2, 1000, 10 * time.Second}, start, false)
	s.Inform(0)
	all := s.Share(start.Add(time.Minute), 100)
	if cut := s.Share(start.Add(time.Hour), 3); cut != all {
		t.Errorf("%+v while the others are missing, %+v before", cut, all)
	}
	s.Share(start.Add(2*time.Hour), 3)
	if later := s.Share(start.Add(4*time.Hour), 3); later.Unearned <= all.Unearned {
		t.Errorf("%+v long after the others have left", later)
	}
}

func BenchmarkEarnAtAService(b *testing.B) {
	budgets := NewBudgets(10*time.Second, Share{Ratio: 0.2, Saved: 10, Unearned: 5})
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			budgets.Earn(start, "llm")
		}
	})
}

// Guards against a daemon that starts while it is cut off from the others, and takes the share of a small fleet.
func TestDaemonThatStartsAloneKnowsHowManyThereWere(t *testing.T) {
	s := NewSharing(Limit{0.2, 1000, 10 * time.Second}, start, false)
	if share := s.Share(start.Add(time.Minute), 1); !share.Volatile {
		t.Errorf("%+v without knowing how many daemons there were", share)
	}
	s.Inform(100)
	if share := s.Share(start.Add(time.Minute), 1); share.Unearned != 8 {
		t.Errorf("%+v where a hundred daemons share", share)
	}
}

// Guards against a reserved retry that another request takes between its reservation and its use.
func TestReservedRetryIsKept(t *testing.T) {
	const reserved = 4
	b := NewBudgets(10*time.Second, Share{Unearned: reserved})
	for range reserved {
		if !b.Reserve(start, "app") {
			t.Fatal("no retry to reserve")
		}
	}
	var all sync.WaitGroup
	for range reserved {
		all.Go(func() {
			if !b.SpendReserved(start, "app") {
				t.Error("a reserved retry was taken")
			}
		})
		all.Go(func() {
			if b.Reserve(start, "app") {
				t.Error("a retry was reserved twice")
				b.Release("app")
			}
		})
	}
	all.Wait()
}

// Guards against a request that takes its retry and the one for its return in two steps: between them, others find no retry though
// one is left.
func TestTwoRetriesAreTakenTogetherOrNotAtAll(t *testing.T) {
	for left, want := range []bool{false, false, true, true} {
		b := NewBudgets(10*time.Second, Share{Unearned: left})
		if got := b.SpendAndReserve(start, "app"); got != want {
			t.Errorf("%d left: taken %v", left, got)
		}
		others := spendAll(b, start, "app")
		if want {
			others += 2
			if !b.SpendReserved(start, "app") {
				t.Errorf("%d left: the reserved one was not kept", left)
			}
		}
		if others != left {
			t.Errorf("%d left: %d taken", left, others)
		}
	}
	b := NewBudgets(10*time.Second, Share{Unearned: 1})
	var all sync.WaitGroup
	for range 8 {
		all.Go(func() {
			for range 1000 {
				if b.SpendAndReserve(start, "app") {
					t.Error("two of one")
				}
			}
		})
	}
	spent := false
	all.Go(func() { spent = b.Spend(start, "app") })
	all.Wait()
	if !spent {
		t.Error("another request found no retry though one was left")
	}
}
