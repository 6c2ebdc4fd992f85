package quotas

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/doorvalve/doorvalve/coordination/membership"
	"github.com/doorvalve/doorvalve/coordination/quota"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/internal/pause"
	"github.com/doorvalve/doorvalve/protocol/quotapb"
)

// sharer shares the rates of all subjects of one kind among the daemons: it draws from their owners
// for the requests of this daemon, and answers draws as an owner. It is safe for concurrent use.
type sharer struct {
	kind    quotapb.Kind
	name    string // of the kind, in logs and in the keys by which owners are ranked
	opt     *Options
	roster  *roster
	metrics *metrics
	bounds  quota.Bounds
	// latestLimits returns the newer limits of a subject: those that a draw carries, which have
	// the given version, or those that this daemon holds. none reports that there is no limit
	// any more.
	latestLimits func(subject string, version uint64, received quota.Limits) (limits quota.Limits, none bool)
	// isolatedGrant returns the grant that this daemon uses while it reaches no owner.
	isolatedGrant func(now time.Time, d quota.Draw) quota.Grant

	mu      sync.Mutex
	client  *quota.Client
	flights map[string]*flight

	ownMu sync.Mutex
	owner *quota.Owner
}

// flight is a draw on behalf of several requests. Requests join it until it is sent; later ones
// wait for the next flight of the subject.
type flight struct {
	need       float64
	waiters    []*waiter
	mostUrgent claim // by claim.before
	sent       bool  // the draw has been sent; no more requests may join
	done       chan struct{}
	next       *flight
}

// waiter is a request that waits for a flight. What the flight brings is given to its waiters in the
// order of claim.before before any other request can take it.
type waiter struct {
	claim   claim
	settled bool
	verdict quota.Verdict // once settled
	left    bool          // its caller has gone
}

// claim asks for units of a subject's rate on behalf of one request.
type claim struct {
	subject string
	limits  quota.Limits
	version uint64 // of the endpoint's report or of the desired state that states the limits
	cost    float64
	rank    int  // 0 is most urgent
	late    bool // the request has missed its latency objective already
	// selection is set if requests are selected by rank while the subject is over its limits. Their
	// draws carry no rank, since an owner grants nothing to a rank while more urgent ones find no
	// room.
	selection *selection
	// queued says that the request asks again until it is admitted, and that its cost was counted
	// as offered before; timeLeft is the time until its caller gives up.
	queued   bool
	timeLeft time.Duration
}

// selection is what requests are selected by.
type selection struct {
	rank     int
	returned bool // the caller was refused before
}

// before reports whether c is served before o, a claim on the same subject: by rank, then by the
// time left.
func (c claim) before(o claim) bool {
	return c.rank < o.rank || c.rank == o.rank && c.timeLeft < o.timeLeft
}

func newSharer(k *Controller, kind quotapb.Kind, name string, bounds quota.Bounds) *sharer {
	return &sharer{
		kind: kind, name: name, opt: &k.opt, roster: &k.roster, metrics: &k.metrics, bounds: bounds,
		client: quota.NewClient(k.opt.Self, bounds), owner: quota.NewOwner(k.opt.Self, bounds, k.opt.Clock()), flights: map[string]*flight{},
	}
}

// take reports whether a request is admitted. It draws from the subject's owner if this daemon
// holds too few units, and returns early if ctx ends.
func (s *sharer) take(ctx context.Context, c claim) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opt.Clock()
	if !c.queued {
		s.client.Offer(now, c.subject, c.cost)
	}
	if c.selection != nil && !s.client.Select(now, c.subject, c.cost, c.selection.rank, c.selection.returned) {
		return false
	}
	if s.takeOrDraw(ctx, c) {
		return true
	}
	return c.selection != nil && c.selection.returned && s.awaitPromised(ctx, c)
}

// awaitPromised draws again for a returning request until it has the units that were promised to it,
// or quota.PromiseWait has passed. The caller holds the mutex.
func (s *sharer) awaitPromised(ctx context.Context, c claim) bool {
	deadline := s.opt.Clock().Add(quota.PromiseWait)
	for ctx.Err() == nil {
		now := s.opt.Clock()
		wait, promised := s.client.PromisedIn(now, c.subject)
		if !promised || now.Add(wait).After(deadline) {
			return false
		}
		s.mu.Unlock()
		pause.For(ctx, wait)
		s.mu.Lock()
		if s.takeOrDraw(ctx, c) {
			return true
		}
	}
	return false
}

// takeOrDraw admits a request from what this daemon holds, or draws for it once. The caller holds
// the mutex.
func (s *sharer) takeOrDraw(ctx context.Context, c claim) bool {
	verdict := s.client.Take(s.opt.Clock(), c.subject, c.cost, c.late)
	if verdict == quota.AskOwner {
		f, w := s.joinFlight(c)
		s.mu.Unlock()
		select {
		case <-f.done:
		case <-ctx.Done():
		}
		s.mu.Lock()
		w.left = true
		if verdict = w.verdict; !w.settled {
			verdict = s.client.Take(s.opt.Clock(), c.subject, c.cost, c.late)
		}
	}
	return verdict == quota.Admit
}

// addRefusal records a refusal, and returns the time until a retry is worthwhile for its caller.
func (s *sharer) addRefusal(subject string, r Request) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.TimeLeft <= 0 {
		return s.client.AddRefusal(s.opt.Clock(), subject, r.Cost)
	}
	return s.client.AddPatientRefusal(s.opt.Clock(), subject, r.Cost, r.TimeLeft)
}

// retryAfter returns the time until there is room for one more request.
func (s *sharer) retryAfter(subject string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.client.RetryAfter(s.opt.Clock(), subject)
}

// rateShare returns the part of a subject's rate that this daemon may count on, in units a second.
func (s *sharer) rateShare(subject string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.client.RateShare(subject)
}

// refundShare is the share of a window within which the units of a request can be refunded.
const refundShare = 1.0 / 16

// refund takes back the units of an admitted request that has not run. Units that were held for
// longer than refundShare of a window count as used: the owner counted them in the window in which
// the request was admitted, and other requests would use them in a later window that does not
// include them.
func (s *sharer) refund(t Ticket) {
	if t.cost <= 0 {
		return
	}
	now := s.opt.Clock()
	if s.bounds.Window > 0 && now.Sub(t.at) > time.Duration(refundShare*float64(s.bounds.Window)) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.client.Refund(now, t.subject, t.cost)
	if t.selection != nil {
		s.client.Deselect(t.subject, t.selection.rank, t.selection.returned)
	}
}

// joinFlight adds a claim to the next draw for its subject, and starts that draw if none is under
// way. The caller holds the mutex.
func (s *sharer) joinFlight(c claim) (*flight, *waiter) {
	f := s.flights[c.subject]
	switch {
	case f == nil:
		f = &flight{done: make(chan struct{})}
		s.flights[c.subject] = f
		go s.runFlights(c, f)
	case f.sent:
		if f.next == nil {
			f.next = &flight{done: make(chan struct{})}
		}
		f = f.next
	}
	if len(f.waiters) == 0 || c.before(f.mostUrgent) {
		f.mostUrgent = c
	}
	f.need += c.cost
	w := &waiter{claim: c}
	f.waiters = append(f.waiters, w)
	return f, w
}

// settle decides on the requests that wait for a flight, once its grant has come. The caller holds the
// mutex.
func (s *sharer) settle(f *flight) {
	slices.SortStableFunc(f.waiters, func(a, b *waiter) int {
		switch {
		case a.claim.before(b.claim):
			return -1
		case b.claim.before(a.claim):
			return 1
		}
		return 0
	})
	now := s.opt.Clock()
	for _, w := range f.waiters {
		if !w.left {
			w.settled, w.verdict = true, s.client.Take(now, w.claim.subject, w.claim.cost, w.claim.late)
		}
	}
}

// runFlights draws for the requests of a flight, and for those that arrive meanwhile, until none
// wait.
func (s *sharer) runFlights(c claim, f *flight) {
	for f != nil {
		s.drawFor(c, f)
		s.mu.Lock()
		close(f.done)
		f = f.next
		if f == nil {
			delete(s.flights, c.subject)
		} else {
			s.flights[c.subject] = f
		}
		s.mu.Unlock()
	}
}

// drawFor draws from the owner of a subject, or from the next daemons in rank if it does not
// answer. If none answers it uses isolatedGrant.
func (s *sharer) drawFor(c claim, f *flight) {
	s.roster.waitForPeers()
	key := s.key(c.subject)
	for _, m := range s.roster.drawTargets(key) {
		d := s.beginDraw(c, m.ID, f)
		if m.ID == s.opt.Self {
			s.receiveGrant(c.subject, m.ID, s.ownerDraw(d, s.roster.ownerShare()), f)
			return
		}
		s.metrics.draws.Inc(1)
		g, owner, err := s.draw(m, d, c.version, drawTimeout, false)
		if err == nil {
			s.roster.notePeerContact()
			s.receiveGrant(c.subject, owner, g, f)
			return
		}
		s.drawFailed(c.subject, m, err)
	}
	d := s.beginDraw(c, s.opt.Self, f)
	s.receiveGrant(c.subject, s.opt.Self, s.isolatedGrant(s.opt.Clock(), d), f)
}

// stopWaiting notifies the owner that a queued claim does not wait any more, so that the owner does
// not hold back later claims for it. The notice is a draw that needs nothing; a draw that is about to
// be sent serves as well.
func (s *sharer) stopWaiting(c claim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.flights[c.subject]
	switch {
	case f == nil:
		f = &flight{mostUrgent: c, done: make(chan struct{})}
		s.flights[c.subject] = f
		go s.runFlights(c, f)
	case f.sent && f.next == nil:
		f.next = &flight{mostUrgent: c, done: make(chan struct{})}
	}
}

// key returns the key by which the owners of a subject are ranked.
func (s *sharer) key(subject string) string { return s.name + "/" + subject }

// beginDraw marks a flight as sent and returns its draw.
func (s *sharer) beginDraw(c claim, owner string, f *flight) quota.Draw {
	s.mu.Lock()
	defer s.mu.Unlock()
	f.sent = true
	d := s.client.BeginDraw(s.opt.Clock(), c.subject, owner, c.limits, f.need, len(f.waiters))
	d.Rank, d.TimeLeft, d.Queued = f.mostUrgent.rank, f.mostUrgent.timeLeft, f.mostUrgent.queued
	return d
}

// receiveGrant applies the grant of a flight, and gives it to those that wait for it.
func (s *sharer) receiveGrant(subject, owner string, g quota.Grant, f *flight) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.client.ReceiveGrant(s.opt.Clock(), subject, owner, g)
	s.settle(f)
}

func (s *sharer) drawFailed(subject string, m membership.Member, err error) {
	s.metrics.failed.Inc(1)
	if s.roster.markUnresponsive(m.ID) {
		s.opt.Log.Info(decisions.EventDependencyLost, "dependency", "quota owner", "kind", s.name, "subject", subject, "owner", m.ID, "error", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.client.DrawFailed(subject)
}

// ownerDraw answers a draw as the owner; share is the share of the limits that this daemon may give
// out.
func (s *sharer) ownerDraw(d quota.Draw, share float64) quota.Grant {
	s.ownMu.Lock()
	defer s.ownMu.Unlock()
	return s.owner.Draw(s.opt.Clock(), d, share)
}

// recentShare returns the share of a subject's limits that this daemon was granted recently,
// between 0 and 1.
func (s *sharer) recentShare(now time.Time, subject string, limits quota.Limits) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.client.RecentShare(now, subject, s.bounds.Sustained(limits))
}

// view returns the state of a subject's bucket, if this daemon is the owner by its own view.
func (s *sharer) view(subject string) (quota.View, bool) {
	owners := s.roster.owners(s.key(subject), 1)
	if len(owners) == 0 || owners[0].ID != s.opt.Self {
		return quota.View{}, false
	}
	s.ownMu.Lock()
	defer s.ownMu.Unlock()
	return s.owner.View(s.opt.Clock(), subject)
}

// expire drops the state of subjects for which no requests have arrived for a long time.
func (s *sharer) expire() {
	now := s.opt.Clock()
	s.mu.Lock()
	s.client.Expire(now)
	s.mu.Unlock()
	s.ownMu.Lock()
	s.owner.Expire(now)
	s.ownMu.Unlock()
}
