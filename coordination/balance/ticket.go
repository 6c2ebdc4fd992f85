package balance

import (
	"time"

	"github.com/doorvalve/doorvalve/coordination/workcost"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/fleet"
)

// Ticket identifies an attempt between Started and Ended. The zero value is that of no attempt.
type Ticket struct {
	endpoint *fleet.Endpoint
	unit     string
	parts    []protocol.PromptPart
	work     workcost.Work // to process at the endpoint; zero if not known
	held     int           // cache tokens that the request occupies
	load     workcost.Load // the endpoint's load at the start
	awaiting bool          // no first event yet
}

// Awaiting reports whether the attempt waits for its first event.
func (t *Ticket) Awaiting() bool { return t.awaiting }

// Started counts a request that is sent to an endpoint. The ticket is for FirstEvent and Ended.
func (b *Balancer) Started(now time.Time, e *fleet.Endpoint, q Query) Ticket {
	b.mu.Lock()
	defer b.mu.Unlock()
	id := e.Incarnation()
	l, s := b.load(id), b.service(e.Service)
	t := Ticket{endpoint: e, unit: q.Unit, parts: q.Parts, awaiting: true}
	if r := b.requestWork(now, s, q); r.known {
		t.work = workcost.Work{Prompt: r.uncached(id), Output: q.Work.Output}
		t.held = q.Work.Held()
		tokenTime := r.tokenTime(now, id)
		t.load = workcost.Load{Running: l.running(), PendingPrompt: int(l.pendingPrompt(now.Sub(s.reportedAt), tokenTime))}
		s.observeWork(max(0, float64(t.work.Prompt)*tokenTime-r.pause))
	}
	if l.own.Running == 0 {
		l.silence.heardAt = now
	}
	l.own.Running++
	l.own.PendingPrompt += t.work.Prompt
	l.own.Held += t.held
	return t
}

// observeWork adds a request's prompt time beyond a pause to the mean.
func (s *service) observeWork(seconds float64) {
	s.promptTime += longPromptStep * (seconds - s.promptTime)
}

// FirstEvent records the first event of an attempt, which took the given time since its start. Further
// calls for the same attempt have no effect.
func (b *Balancer) FirstEvent(now time.Time, t *Ticket, took time.Duration) {
	if !t.awaiting {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if t.held > 0 {
		q := Query{Unit: t.unit}
		b.service(t.endpoint.Service).estimator.ObserveFirstEvent(now, t.endpoint.Incarnation(), q.model(), t.work, t.load, took)
	}
	b.processed(now, t)
}

// processed records that the endpoint has processed the attempt's prompt.
func (b *Balancer) processed(now time.Time, t *Ticket) {
	b.prefixes.Observe(now, t.unit, t.parts, t.endpoint.Incarnation())
	b.notPending(t)
}

func (b *Balancer) notPending(t *Ticket) {
	b.load(t.endpoint.Incarnation()).own.PendingPrompt -= t.work.Prompt
	t.awaiting = false
}

// Ended counts a request that has ended. ok says that the endpoint answered as it should; only then
// are its failures reset and took is added to the service's mean run time.
func (b *Balancer) Ended(now time.Time, t *Ticket, took time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case t.awaiting && ok: // an answer that is not a stream
		b.processed(now, t)
	case t.awaiting:
		b.notPending(t)
	}
	l := b.load(t.endpoint.Incarnation())
	l.own.Running--
	l.own.Held -= t.held
	if !ok {
		return
	}
	l.failures, l.refusedConnections = 0, 0
	l.avoidUntil, l.unreachableUntil = time.Time{}, time.Time{}
	l.used[t.unit] = now
	s := b.service(t.endpoint.Service)
	s.runTime += time.Duration(runTimeStep * float64(took-s.runTime))
}
