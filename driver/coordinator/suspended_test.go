package coordinator

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/doorvalve/doorvalve/coordination/residency"
	"github.com/doorvalve/doorvalve/driver/decisions"
)

// countingEngines accepts and counts orders.
type countingEngines struct {
	noEngines
	orders atomic.Int64
}

func (e *countingEngines) Order(context.Context, residency.Order) (residency.Outcome, error) {
	e.orders.Add(1)
	return residency.Accepted, nil
}

// Guards against an order that is sent under an expired lease: a host is suspended for ten
// seconds right before it sends the order, and meanwhile its lease expires by the clock of
// all other hosts. After it resumes, none of its timers has run yet.
func TestSuspendedHolderSendsNoOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var suspended atomic.Int64
		engines, f := &countingEngines{}, &fakeLease{}
		log := decisions.New(io.Discard, "test", hclog.Off)
		c := New(Options{
			Service: "llm", Self: "h1", Lease: f, Engines: engines, OrderGap: orderGap, Planner: residency.Options{InitialStoreConcurrency: 1},
			Candidate: func(string, bool) bool { return true }, OnLeaseChange: func(string, uint64, bool) {}, StoreConcurrency: func(string) int { return 0 },
			OnStoreConcurrency: func(string, uint64, int) {}, Log: log, Metrics: tally.NoopScope,
			Clock: func() time.Time { return time.Now().Add(time.Duration(suspended.Load())) },
		})
		ctx, cancel := context.WithCancel(t.Context())
		go c.Run(ctx)
		time.Sleep(10 * time.Second)
		cancel()
		synctest.Wait()
		o := residency.Order{Fence: f.record.Fence}
		c.order(t.Context(), o)
		if n := engines.orders.Load(); n != 1 {
			t.Fatalf("%d orders sent while the lease was held, want 1", n)
		}
		suspended.Store(int64(10 * time.Second))
		c.order(t.Context(), o)
		if n := engines.orders.Load(); n != 1 {
			t.Fatal("an order was sent under an expired lease")
		}
		log.Close()
	})
}
