package quotas

import (
	"context"
	"sync"
	"time"

	"github.com/doorvalve/doorvalve/coordination/membership"
	"github.com/doorvalve/doorvalve/coordination/quota"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/protocol/quotapb"
)

// sharer shares the rates of all subjects of one kind out: it draws from their owners for the
// requests of this daemon, and answers as an owner.
type sharer struct {
	kind    quotapb.Kind
	name    string // of the kind, in logs and in the keys by which daemons are ranked
	opt     *Options
	fleet   *roster
	metrics *metrics
	bounds  quota.Bounds
	// newest returns the limits of the newer word on a subject, the asking daemon's or this
	// one's; none says that there is no limit any more.
	newest func(subject string, version uint64, told quota.Limits) (limits quota.Limits, none bool)
	// unreached returns what this daemon goes by while it reaches no owner.
	unreached func(now time.Time, d quota.Draw) quota.Grant

	mu     sync.Mutex
	client *quota.Client
	flight map[string]*flight

	ownMu sync.Mutex
	owner *quota.Owner
}

// flight is a question on its way, for the requests that came before it left; those that
// come later wait for the next.
type flight struct {
	need    float64
	waiting int
	first   claim // the one that comes before the others
	left    bool
	done    chan struct{}
	next    *flight
}

// claim is what a request takes of a subject's rate.
type claim struct {
	subject string
	limits  quota.Limits
	version uint64 // of the word that the limits are of
	cost    float64
	rank    int  // 0 is first
	late    bool // the request has missed its latency objective already
	// waits says that the request asks again until it is let through, and was counted before as
	// one that callers ask for; timeLeft is the time until its caller leaves.
	waits    bool
	timeLeft time.Duration
}

// before reports whether a claim on the same subject comes first.
func (c claim) before(o claim) bool {
	return c.rank < o.rank || c.rank == o.rank && c.timeLeft < o.timeLeft
}

func newSharer(k *Controller, kind quotapb.Kind, name string, bounds quota.Bounds) *sharer {
	return &sharer{
		kind: kind, name: name, opt: &k.opt, fleet: &k.fleet, metrics: &k.metrics, bounds: bounds,
		client: quota.NewClient(k.opt.Self, bounds), owner: quota.NewOwner(k.opt.Self, bounds, k.opt.Clock()), flight: map[string]*flight{},
	}
}

// take reports whether a request is let through, asking the subject's owner where this daemon
// has nothing at hand.
func (s *sharer) take(ctx context.Context, c claim) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opt.Clock()
	if !c.waits {
		s.client.Offer(now, c.subject, c.cost)
	}
	verdict := s.client.Take(now, c.subject, c.cost, c.late)
	if verdict == quota.AskOwner {
		f := s.join(c)
		s.mu.Unlock()
		select {
		case <-f.done:
		case <-ctx.Done():
		}
		s.mu.Lock()
		verdict = s.client.Take(s.opt.Clock(), c.subject, c.cost, c.late)
	}
	return verdict == quota.Admit
}

// refused notes a refusal, and returns when its caller is to come back.
func (s *sharer) refused(subject string, cost float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.client.AddRefusal(s.opt.Clock(), subject, cost)
}

// roomIn returns the time until there is room for one more request.
func (s *sharer) roomIn(subject string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.client.RetryAfter(s.opt.Clock(), subject)
}

// part returns the part of a subject's rate that this daemon may count on.
func (s *sharer) part(subject string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.client.RateShare(subject)
}

// returnPart is the part of a window within which what was let through can be given back.
const returnPart = 1.0 / 16

// giveBack takes back what a request was let through with that has not run. What was held for longer
// counts as used: its owner has counted it at the time when it was let through, and others would run
// with it in a window that does not hold it.
func (s *sharer) giveBack(t Ticket) {
	if t.cost <= 0 {
		return
	}
	now := s.opt.Clock()
	if s.bounds.Window > 0 && now.Sub(t.at) > time.Duration(returnPart*float64(s.bounds.Window)) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.client.Refund(now, t.subject, t.cost)
}

// join adds a request to the next question for its subject, and sends it if none is on its
// way; the caller holds the mutex.
func (s *sharer) join(c claim) *flight {
	f := s.flight[c.subject]
	switch {
	case f == nil:
		f = &flight{done: make(chan struct{})}
		s.flight[c.subject] = f
		go s.fly(c, f)
	case f.left:
		if f.next == nil {
			f.next = &flight{done: make(chan struct{})}
		}
		f = f.next
	}
	if f.waiting == 0 || c.before(f.first) {
		f.first = c
	}
	f.need += c.cost
	f.waiting++
	return f
}

// fly asks for a flight's requests and for those that came meanwhile, until none wait.
func (s *sharer) fly(c claim, f *flight) {
	for f != nil {
		s.ask(c, f)
		s.mu.Lock()
		close(f.done)
		f = f.next
		if f == nil {
			delete(s.flight, c.subject)
		} else {
			s.flight[c.subject] = f
		}
		s.mu.Unlock()
	}
}

// ask asks the owner of a subject, and those after it where it does not answer.
func (s *sharer) ask(c claim, f *flight) {
	s.fleet.join()
	key := s.key(c.subject)
	for _, m := range s.fleet.toAsk(key) {
		d := s.begin(c, m.ID, f)
		if m.ID == s.opt.Self {
			s.granted(c.subject, m.ID, s.own(d, s.fleet.part()))
			return
		}
		s.metrics.draws.Inc(1)
		g, owner, err := s.draw(m, d, c.version, drawTimeout, false)
		if err == nil {
			s.fleet.heard()
			s.granted(c.subject, owner, g)
			return
		}
		s.fail(c.subject, m, err)
	}
	d := s.begin(c, s.opt.Self, f)
	s.granted(c.subject, s.opt.Self, s.unreached(s.opt.Clock(), d))
}

// stopWaiting tells the owner that a claim which waited does not any more: those that come after
// it need not be held back. A question that is about to leave tells it as well.
func (s *sharer) stopWaiting(c claim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.flight[c.subject]
	switch {
	case f == nil:
		f = &flight{first: c, done: make(chan struct{})}
		s.flight[c.subject] = f
		go s.fly(c, f)
	case f.left && f.next == nil:
		f.next = &flight{first: c, done: make(chan struct{})}
	}
}

// key is what daemons are ranked by for a subject.
func (s *sharer) key(subject string) string { return s.name + "/" + subject }

func (s *sharer) begin(c claim, owner string, f *flight) quota.Draw {
	s.mu.Lock()
	defer s.mu.Unlock()
	f.left = true
	d := s.client.BeginDraw(s.opt.Clock(), c.subject, owner, c.limits, f.need, f.waiting)
	d.Rank, d.TimeLeft, d.Queued = f.first.rank, f.first.timeLeft, f.first.waits
	return d
}

func (s *sharer) granted(subject, owner string, g quota.Grant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.client.ReceiveGrant(s.opt.Clock(), subject, owner, g)
}

func (s *sharer) fail(subject string, m membership.Member, err error) {
	s.metrics.failed.Inc(1)
	if s.fleet.failed(m.ID) {
		s.opt.Log.Info(decisions.EventDependencyLost, "dependency", "quota owner", "kind", s.name, "subject", subject, "owner", m.ID, "error", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.client.DrawFailed(subject)
}

// own answers as an owner.
func (s *sharer) own(d quota.Draw, part float64) quota.Grant {
	s.ownMu.Lock()
	defer s.ownMu.Unlock()
	return s.owner.Draw(s.opt.Clock(), d, part)
}

// share returns what part of a subject's limits this daemon has got lately.
func (s *sharer) share(now time.Time, subject string, limits quota.Limits) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.client.RecentShare(now, subject, s.bounds.Sustained(limits))
}

// view returns how a subject's bucket stands, if this daemon takes itself for its owner.
func (s *sharer) view(subject string) (quota.View, bool) {
	owners := s.fleet.owners(s.key(subject), 1)
	if len(owners) == 0 || owners[0].ID != s.opt.Self {
		return quota.View{}, false
	}
	s.ownMu.Lock()
	defer s.ownMu.Unlock()
	return s.owner.View(s.opt.Clock(), subject)
}

// forget drops what is known of subjects that nobody sends for any more.
func (s *sharer) forget() {
	now := s.opt.Clock()
	s.mu.Lock()
	s.client.Expire(now)
	s.mu.Unlock()
	s.ownMu.Lock()
	s.owner.Expire(now)
	s.ownMu.Unlock()
}
