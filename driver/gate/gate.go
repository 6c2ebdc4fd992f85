// Package gate admits the requests for one unit. While the daemon has credit at
// an endpoint, a request takes it with atomic operations alone; otherwise the
// request waits in order of worth.
package gate

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/doorvalve/doorvalve/coordination/admission"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/bundle"
)

// Slot is the credit at one endpoint.
type Slot struct {
	Endpoint bundle.Endpoint
	limit    atomic.Int64
	used     atomic.Int64
	// avoidUntil is when new requests may use the slot after an error, in Unix nanoseconds.
	avoidUntil atomic.Int64
	closed     func(bundle.Endpoint) bool // by the endpoint's backpressure signals
}

// Used returns the number of requests that use the credit.
func (s *Slot) Used() int64 { return s.used.Load() }

// Limit returns the credit.
func (s *Slot) Limit() int64 { return s.limit.Load() }

// take takes one unit of credit, if there is one, and reports whether it did.
func (s *Slot) take(now int64) bool {
	if s.avoided(now) {
		return false
	}
	for {
		used := s.used.Load()
		if used >= s.limit.Load() {
			return false
		}
		if s.used.CompareAndSwap(used, used+1) {
			return true
		}
	}
}

func (s *Slot) avoided(now int64) bool { return s.avoidUntil.Load() > now || s.closed(s.Endpoint) }

// Credit is the number of requests that the coordinator allows at an endpoint.
type Credit struct {
	Endpoint bundle.Endpoint
	Limit    int
}

type outcome struct {
	slot    *Slot
	refusal *protocol.Refusal
}

// Gate admits the requests for one unit. It is safe for concurrent use.
type Gate struct {
	unit   string
	kick   func() // requests credit from the coordinator at once
	closed func(bundle.Endpoint) bool
	slots  atomic.Pointer[[]*Slot]

	queued           atomic.Int64
	inFlight         atomic.Int64
	arrivals         atomic.Int64
	unavailable      atomic.Int64 // requests refused because all endpoints are unavailable, since the last report
	unavailableWorth atomic.Int64 // of the last of them
	lastUse          atomic.Int64 // Unix nanoseconds
	service          atomic.Int64 // moving average of the time of a request, in nanoseconds

	mu      sync.Mutex // guards queue, waiters and estimate; not taken while there is credit
	queue   *admission.Queue
	waiters map[uint64]chan outcome
	nextID  uint64
	est     admission.Estimate
	estAt   time.Time // when est was received
}

// New returns a gate without credit. kick is called when a request waits; closed reports whether
// an endpoint takes no requests now, by its backpressure signals.
func New(unit string, queueLength int, kick func(), closed func(bundle.Endpoint) bool) *Gate {
	g := &Gate{unit: unit, kick: kick, closed: closed, queue: admission.NewQueue(queueLength), waiters: map[uint64]chan outcome{}}
	g.slots.Store(&[]*Slot{})
	return g
}

// Request describes a request that needs a slot.
type Request struct {
	Worth    int64
	Deadline time.Time
	Affinity uint64 // hash of the prompt's prefix; 0 for none
}

// Acquire takes a slot, and waits for one in order of worth if need be. It
// returns either a slot, which the caller must release, or a refusal as soon as
// that is decided.
func (g *Gate) Acquire(ctx context.Context, r Request) (*Slot, *protocol.Refusal) {
	now := time.Now()
	g.arrivals.Add(1)
	g.lastUse.Store(now.UnixNano())
	if g.queued.Load() == 0 {
		if s := g.tryTake(r.Affinity, now); s != nil {
			return s, nil
		}
	}
	return g.wait(ctx, now, r)
}

// tryTake takes a slot without waiting, or returns nil. It prefers the endpoint
// that the prefix hashes to, then the one with the most credit left. Affinity
// never exceeds an endpoint's credit.
func (g *Gate) tryTake(affinity uint64, now time.Time) *Slot {
	slots := *g.slots.Load()
	if len(slots) == 0 {
		return nil
	}
	nanos := now.UnixNano()
	if affinity != 0 {
		if s := slots[affinity%uint64(len(slots))]; s.take(nanos) {
			g.inFlight.Add(1)
			return s
		}
	}
	for range len(slots) {
		best := mostLeft(slots, nanos)
		if best == nil {
			return nil
		}
		if best.take(nanos) {
			g.inFlight.Add(1)
			return best
		}
	}
	return nil
}

func mostLeft(slots []*Slot, now int64) *Slot {
	var best *Slot
	bestLeft := int64(0)
	for _, s := range slots {
		left := s.limit.Load() - s.used.Load()
		if left > bestLeft && !s.avoided(now) {
			best, bestLeft = s, left
		}
	}
	return best
}

func (g *Gate) wait(ctx context.Context, now time.Time, r Request) (*Slot, *protocol.Refusal) {
	g.mu.Lock()
	g.nextID++
	id := g.nextID
	ch := make(chan outcome, 1)
	g.waiters[id] = ch
	refused := g.queue.Push(now, admission.Item{ID: id, Worth: r.Worth, Deadline: r.Deadline}, g.estimate(now))
	g.refuse(refused)
	g.dispatch(now)
	waiting := g.queue.Len()
	g.mu.Unlock()
	if waiting > 0 {
		g.kick()
	}
	select {
	case out := <-ch:
		return out.slot, out.refusal
	case <-ctx.Done():
		return nil, g.abandon(id, ch)
	}
}

// abandon removes a request whose caller has disconnected or whose deadline has
// passed.
func (g *Gate) abandon(id uint64, ch chan outcome) *protocol.Refusal {
	g.mu.Lock()
	if g.queue.Remove(id) {
		delete(g.waiters, id)
		g.queued.Store(int64(g.queue.Len()))
		g.mu.Unlock()
		return protocol.Refuse(http.StatusServiceUnavailable, admission.ReasonDeadline, "the request's time ended in the queue", time.Second)
	}
	g.mu.Unlock()
	out := <-ch // answered in the meantime
	if out.slot != nil {
		g.Release(out.slot, 0)
		return protocol.Refuse(http.StatusServiceUnavailable, admission.ReasonDeadline, "the request's time ended in the queue", time.Second)
	}
	return out.refusal
}

// estimateTTL is how long an estimate counts. While requests wait, reports are
// more frequent than that; an older estimate is of no use for a new request.
const estimateTTL = time.Second

// estimate returns the coordinator's estimate, if it is recent, completed with
// local data. The caller holds the mutex.
func (g *Gate) estimate(now time.Time) admission.Estimate {
	var est admission.Estimate
	if age := now.Sub(g.estAt); age <= estimateTTL {
		est = g.est
		est.Ready = max(0, est.Ready-age)
	}
	est.Service = time.Duration(g.service.Load())
	if est.Slots == 0 {
		for _, s := range *g.slots.Load() {
			est.Slots += float64(s.limit.Load())
		}
	}
	return est
}

// refuse answers refused requests. The caller holds the mutex.
func (g *Gate) refuse(refused []admission.Refused) {
	for _, r := range refused {
		status := http.StatusServiceUnavailable
		if r.Reason == admission.ReasonQueueFull || r.Reason == admission.ReasonOutranked {
			status = http.StatusTooManyRequests
		}
		g.finish(r.ID, outcome{refusal: protocol.Refuse(status, r.Reason, g.unit+" cannot be served in time", max(r.RetryAfter, protocol.MinRetryAfter))})
	}
	g.queued.Store(int64(g.queue.Len()))
}

func (g *Gate) finish(id uint64, out outcome) {
	if ch := g.waiters[id]; ch != nil {
		delete(g.waiters, id)
		ch <- out
	}
}

// dispatch gives free credit to the waiting requests of the highest worth. The
// caller holds the mutex.
func (g *Gate) dispatch(now time.Time) {
	for g.queue.Len() > 0 {
		s := g.tryTake(0, now)
		if s == nil {
			break
		}
		it, ok, refused := g.queue.Pop(now, g.estimate(now))
		g.refuse(refused)
		if !ok {
			s.used.Add(-1)
			g.inFlight.Add(-1)
			break
		}
		g.finish(it.ID, outcome{slot: s})
	}
	g.queued.Store(int64(g.queue.Len()))
}

// serviceWeight is the inverse weight of the newest request's time in the moving
// average: the weight is 1/8.
const serviceWeight = 8

// Release returns a slot. took is the time of the request if it ran, or 0.
func (g *Gate) Release(s *Slot, took time.Duration) {
	if took > 0 {
		old := g.service.Load()
		g.service.Store(old + (int64(took)-old)/serviceWeight)
	}
	s.used.Add(-1)
	g.inFlight.Add(-1)
	g.lastUse.Store(time.Now().UnixNano())
	if g.queued.Load() > 0 {
		g.mu.Lock()
		g.dispatch(time.Now())
		g.mu.Unlock()
	}
}

// Avoid keeps new requests away from a slot's endpoint for a time.
func (g *Gate) Avoid(s *Slot, d time.Duration) {
	s.avoidUntil.Store(time.Now().Add(d).UnixNano())
}

// Unavailable returns the endpoints at which this daemon has credit if none of them takes requests
// now, by their backpressure signals; otherwise nil.
func (g *Gate) Unavailable() []bundle.Endpoint {
	var list []bundle.Endpoint
	for _, s := range *g.slots.Load() {
		switch {
		case s.limit.Load() == 0:
		case !g.closed(s.Endpoint):
			return nil
		default:
			list = append(list, s.Endpoint)
		}
	}
	return list
}

// CountUnavailable counts a request that was refused because all endpoints with credit are
// unavailable. The coordinator may have another endpoint that takes requests.
func (g *Gate) CountUnavailable(worth int64) {
	g.unavailable.Add(1)
	g.unavailableWorth.Store(worth)
	g.lastUse.Store(time.Now().UnixNano())
	g.kick()
}

// Update sets the credits and the estimate, starts the waiting requests that the
// credits allow, and refuses those that cannot be answered in time any more.
func (g *Gate) Update(now time.Time, credits []Credit, est admission.Estimate) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.est, g.estAt = est, now
	g.setCredits(credits)
	g.dispatch(now)
	g.refuse(g.queue.Review(now, g.estimate(now)))
}

// DropCredits takes all credits back and discards the estimate, as after the unit has moved to another service.
func (g *Gate) DropCredits() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setCredits(nil)
	g.estAt = time.Time{}
}

// ForgetEstimate discards the estimate, as after a change of the configuration.
func (g *Gate) ForgetEstimate() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.estAt = time.Time{}
}

// Fail keeps the credits, which remain valid as the last state received, and
// refuses waiting requests if the gate has no credits at any endpoint, since
// there is no coordinator to give any.
func (g *Gate) Fail(now time.Time, reason string, after time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.est, g.estAt = admission.Estimate{RefuseReason: reason, RetryAfter: after}, now
	g.dispatch(now)
	if len(*g.slots.Load()) > 0 {
		g.est.RefuseReason = ""
	}
	g.refuse(g.queue.Review(now, g.estimate(now)))
}

// Review starts waiting requests if credit is free, and refuses those that cannot
// be answered in time any more.
func (g *Gate) Review(now time.Time) {
	if g.queued.Load() == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatch(now)
	g.refuse(g.queue.Review(now, g.estimate(now)))
}

// setCredits builds a new list of slots. It keeps the slots of endpoints that
// remain, so that requests in progress still count.
func (g *Gate) setCredits(credits []Credit) {
	old := map[string]*Slot{}
	for _, s := range *g.slots.Load() {
		old[s.Endpoint.Name] = s
	}
	next := make([]*Slot, 0, len(credits))
	for _, c := range credits {
		s := old[c.Endpoint.Name]
		if s == nil || s.Endpoint.Address != c.Endpoint.Address {
			s = &Slot{Endpoint: c.Endpoint, closed: g.closed}
		}
		s.limit.Store(int64(c.Limit))
		delete(old, c.Endpoint.Name)
		next = append(next, s)
	}
	for _, s := range old {
		s.limit.Store(0)
	}
	g.slots.Store(&next)
}

// DropEndpoint sets the credit to 0 at an endpoint that is leaving.
func (g *Gate) DropEndpoint(name string) {
	for _, s := range *g.slots.Load() {
		if s.Endpoint.Name == name {
			s.limit.Store(0)
		}
	}
}

// Report is the demand that the daemon reports to the coordinator.
type Report struct {
	Waiting  []admission.Item
	InFlight int64
	Arrivals int64
	LastUse  time.Time
	Service  time.Duration
	// Unavailable counts the requests that were refused because all endpoints with credit were
	// unavailable, and UnavailableWorth is the worth of the last one.
	Unavailable, UnavailableWorth int64
}

// Report returns the current demand. Its arrivals and refusals are those since the
// previous call.
func (g *Gate) Report() Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Report{
		Waiting: append([]admission.Item(nil), g.queue.Items()...), InFlight: g.inFlight.Load(),
		Arrivals: g.arrivals.Swap(0), Unavailable: g.unavailable.Swap(0), UnavailableWorth: g.unavailableWorth.Load(), LastUse: time.Unix(0, g.lastUse.Load()), Service: time.Duration(g.service.Load()),
	}
}

// Busy reports whether requests wait or run.
func (g *Gate) Busy() (waiting, running bool) {
	return g.queued.Load() > 0, g.inFlight.Load() > 0
}

// LastUse returns when a request last arrived or ended.
func (g *Gate) LastUse() time.Time { return time.Unix(0, g.lastUse.Load()) }

// View is the gate's state for a dump.
type View struct {
	Unit     string     `json:"unit"`
	Queued   int64      `json:"queued"`
	InFlight int64      `json:"in_flight"`
	Slots    []SlotView `json:"slots,omitempty"`
}

// SlotView is one endpoint's credit for a dump.
type SlotView struct {
	Endpoint string `json:"endpoint"`
	Used     int64  `json:"used"`
	Limit    int64  `json:"limit"`
}

// View returns the gate's state.
func (g *Gate) View() View {
	v := View{Unit: g.unit, Queued: g.queued.Load(), InFlight: g.inFlight.Load()}
	for _, s := range *g.slots.Load() {
		v.Slots = append(v.Slots, SlotView{Endpoint: s.Endpoint.Name, Used: s.Used(), Limit: s.Limit()})
	}
	return v
}
