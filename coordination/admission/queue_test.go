package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Each request leaves the queue exactly once. Pop returns the request of the
// highest worth that can still be answered in time. A request that cannot be
// answered in time is refused at the next review, with a retry delay.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 8
		q := NewQueue(limit)
		now := time.Unix(1_000_000, 0)
		waiting := map[uint64]Item{}
		est := Estimate{Service: 100 * time.Millisecond, Slots: 2}
		leave := func(id uint64) Item {
			it, ok := waiting[id]
			if !ok {
				t.Fatalf("request %d left twice", id)
			}
			delete(waiting, id)
			return it
		}
		refused := func(list []Refused) {
			for _, r := range list {
				leave(r.ID)
				if r.RetryAfter < 0 {
					t.Fatalf("refused with a negative retry delay of %s", r.RetryAfter)
				}
			}
		}
		for id := range uint64(rapid.IntRange(1, 100).Draw(t, "steps")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			est.Ready = time.Duration(rapid.IntRange(0, 500).Draw(t, "ready")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0, 1:
				it := Item{ID: id, Worth: int64(rapid.IntRange(0, 3).Draw(t, "worth")), Deadline: now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "deadline")) * time.Millisecond)}
				waiting[id] = it
				refused(q.Push(now, it, est))
			case 2:
				it, ok, list := q.Pop(now, est)
				refused(list)
				if !ok {
					break
				}
				leave(it.ID)
				if now.Add(est.Service).After(it.Deadline) {
					t.Fatal("popped a request that cannot be answered in time")
				}
				for _, other := range waiting {
					if other.Worth > it.Worth {
						t.Fatalf("popped a request of worth %d before one of worth %d", it.Worth, other.Worth)
					}
				}
			case 3:
				refused(q.Review(now, est))
				for _, it := range waiting {
					if now.Add(est.Ready + est.Service).After(it.Deadline) {
						t.Fatal("a request that cannot be answered in time was kept")
					}
				}
			}
			if q.Len() != len(waiting) || q.Len() > limit {
				t.Fatalf("%d in the queue, %d waiting", q.Len(), len(waiting))
			}
		}
	})
}
