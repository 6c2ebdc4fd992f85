// Package quotas drives the sharing of workspaces' quotas: it finds the owner of
// each, asks it when requests wait for an answer, goes on without one that does not answer,
// and answers as an owner.
package quotas

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/doorvalve/doorvalve/coordination/membership"
	"github.com/doorvalve/doorvalve/coordination/quota"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/internal/clock"
	"github.com/doorvalve/doorvalve/internal/pause"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/protocol/quotapb"
	"github.com/doorvalve/doorvalve/state/workspace"
)

const (
	// drawTimeout bounds a question to an owner, which answers from memory: many times a
	// way between failure domains, and a part of the shortest latency objective.
	drawTimeout = 120 * time.Millisecond
	// forwardTimeout bounds the one that a daemon asks which was asked in an owner's place.
	forwardTimeout = 60 * time.Millisecond
	// silentFor is how long a daemon that has not answered is passed over.
	silentFor = 400 * time.Millisecond
	// tick is how often this daemon looks who is there.
	tick = 500 * time.Millisecond
	// restTick is the pause between two looks whether there are workspaces.
	restTick = time.Second
	// ownersAsked bounds the daemons that are asked one after the other.
	ownersAsked = 2
)

// ReasonOver is the reason of a refusal of what is beyond a workspace's quota.
const ReasonOver = "quota-exceeded"

// Options are what a Keeper needs of the rest of the daemon.
type Options struct {
	Self   string
	Bounds quota.Bounds
	// Members returns the daemons that are known, this one among them; Revision changes
	// whenever they do.
	Members  func() []membership.Member
	Revision func() uint64
	// Directory returns the newest workspaces, and the version of the desired state that
	// they are of.
	Directory func() (*workspace.Directory, uint64)
	Peer      func(address string) quotapb.Quotas
	Clock     clock.Clock
	Log       *decisions.Log
	Metrics   tally.Scope
}

// Keeper is safe for concurrent use.
type Keeper struct {
	opt     Options
	metrics metrics
	fleet   roster

	mu     sync.Mutex
	client *quota.Client
	flight map[string]*flight
	over   map[string]time.Time // workspaces that were refused something, and when last
	counts map[string]counts
	// refusals counts what was refused, by workspace: see tagged.
	refusals map[string]tally.Counter

	ownMu sync.Mutex
	owner *quota.Owner
}

type metrics struct {
	draws, failed, forwarded, refused tally.Counter
}

// flight is a question on its way, for the requests that came before it left; those that
// come later wait for the next.
type flight struct {
	need    float64
	waiting int
	left    bool
	done    chan struct{}
	next    *flight
}

// New returns a keeper.
func New(opt Options) *Keeper {
	if opt.Clock == nil {
		opt.Clock = clock.Now
	}
	m := opt.Metrics.SubScope("quota")
	k := &Keeper{
		opt: opt, client: quota.NewClient(opt.Self, opt.Bounds), owner: quota.NewOwner(opt.Self, opt.Bounds, opt.Clock()), flight: map[string]*flight{}, over: map[string]time.Time{}, counts: map[string]counts{}, refusals: map[string]tally.Counter{},
		metrics: metrics{draws: m.Counter("draws_total"), failed: m.Counter("draws_failed_total"), forwarded: m.Counter("draws_forwarded_total"), refused: m.Counter("requests_refused_total")},
	}
	k.fleet.opt, k.fleet.started = &k.opt, opt.Clock()
	k.fleet.silent, k.fleet.seen, k.fleet.ranked = map[string]time.Time{}, map[string]time.Time{}, map[string][]membership.Member{}
	return k
}

// Ticket is what a request was let through with; zero where nothing was counted.
type Ticket struct {
	workspace string
	cost      float64
}

// Admit counts a request for its workspace, and refuses it where that is over its quota. late
// says that the request has missed its latency objective already.
func (k *Keeper) Admit(ctx context.Context, w *workspace.Workspace, cost float64, late bool) (Ticket, *protocol.Refusal) {
	if w == nil || !w.Quota.Bounded() || cost <= 0 {
		return Ticket{}, nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.client.Offer(w.Name, cost)
	verdict := k.client.Take(k.opt.Clock(), w.Name, cost, late)
	if verdict == quota.Ask {
		f := k.join(w, cost)
		k.mu.Unlock()
		select {
		case <-f.done:
		case <-ctx.Done():
		}
		k.mu.Lock()
		verdict = k.client.Take(k.opt.Clock(), w.Name, cost, late)
	}
	n := k.counts[w.Name]
	defer func() { k.counts[w.Name] = n }()
	if verdict == quota.Admit {
		n.passed++
		return Ticket{w.Name, cost}, nil
	}
	n.refused++
	return Ticket{}, k.refuse(w, cost)
}

// refuse refuses a request; the caller holds the mutex.
func (k *Keeper) refuse(w *workspace.Workspace, cost float64) *protocol.Refusal {
	now := k.opt.Clock()
	after := k.client.Refused(now, w.Name, cost)
	k.metrics.refused.Inc(1)
	k.refusedOf(w.Name).Inc(1)
	if last, ok := k.over[w.Name]; !ok || now.Sub(last) > overAgain {
		k.opt.Log.Info(decisions.EventOverQuota, "workspace", w.Name, "rate", w.Quota.Rate, "burst", w.Quota.Burst, "cost", cost)
	}
	k.over[w.Name] = now
	detail := fmt.Sprintf("workspace %q is over its quota of %.0f a second; this request takes %.0f", w.Name, w.Quota.Rate, cost)
	return protocol.Refuse(http.StatusTooManyRequests, ReasonOver, detail, after)
}

// tagged bounds the workspaces with a counter of their own: the first that are refused
// something; the others share one, under the name of all others.
const (
	tagged = 32
	others = "others"
)

// refusedOf returns the counter of a workspace's refusals; the caller holds the mutex.
func (k *Keeper) refusedOf(name string) tally.Counter {
	if _, known := k.refusals[name]; !known && len(k.refusals) >= tagged {
		name = others
	}
	c := k.refusals[name]
	if c == nil {
		c = k.opt.Metrics.SubScope("quota").Tagged(map[string]string{"workspace": name}).Counter("workspace_refused_total")
		k.refusals[name] = c
	}
	return c
}

// overAgain is the time without a refusal after which the next one is logged as a change.
const overAgain = 5 * time.Second

// Return gives back what a request was let through with that has not run.
func (k *Keeper) Return(t Ticket) {
	if t.cost <= 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.client.Return(k.opt.Clock(), t.workspace, t.cost)
}

func limitsOf(w *workspace.Workspace) quota.Limits {
	return quota.Limits{Rate: w.Quota.Rate, Burst: max(w.Quota.Burst, 1)}
}

// join adds a request to the next question for its workspace, and sends it if none is on
// its way; the caller holds the mutex.
func (k *Keeper) join(w *workspace.Workspace, cost float64) *flight {
	f := k.flight[w.Name]
	switch {
	case f == nil:
		f = &flight{done: make(chan struct{})}
		k.flight[w.Name] = f
		go k.fly(w, f)
	case f.left:
		if f.next == nil {
			f.next = &flight{done: make(chan struct{})}
		}
		f = f.next
	}
	f.need += cost
	f.waiting++
	return f
}

// fly asks for a flight's requests and for those that came meanwhile, until none wait.
func (k *Keeper) fly(w *workspace.Workspace, f *flight) {
	for f != nil {
		k.ask(w, f)
		k.mu.Lock()
		close(f.done)
		f = f.next
		if f == nil {
			delete(k.flight, w.Name)
		} else {
			k.flight[w.Name] = f
		}
		k.mu.Unlock()
	}
}

// ask asks the owner of a workspace, and those after it where it does not answer. If nobody
// does, this daemon gives its own part of the quota.
func (k *Keeper) ask(w *workspace.Workspace, f *flight) {
	k.fleet.join()
	_, version := k.opt.Directory()
	limits := limitsOf(w)
	for _, m := range k.fleet.owners(w.Name, ownersAsked) {
		now := k.opt.Clock()
		d := k.begin(now, w, m.ID, limits, f)
		if m.ID == k.opt.Self && k.fleet.cutOff(w.Name) {
			break
		}
		if m.ID == k.opt.Self {
			k.granted(w, m.ID, k.own(d, k.fleet.part()))
			return
		}
		k.metrics.draws.Inc(1)
		g, owner, err := k.draw(m, d, version, drawTimeout, false)
		if err == nil {
			k.fleet.heard()
			k.granted(w, owner, g)
			return
		}
		k.fail(w, m, err)
	}
	d := k.begin(k.opt.Clock(), w, k.opt.Self, limits, f)
	k.granted(w, k.opt.Self, k.own(d, k.alone(w)))
}

// alone is what a daemon that reaches no owner goes by: of the slack, its part of what went
// through lately, with a little for the case that this is nothing. The others go on without it
// and take what it leaves, so what it lets through comes on top of the whole.
func (k *Keeper) alone(w *workspace.Workspace) float64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	limits := limitsOf(w)
	part := k.client.Share(k.opt.Clock(), w.Name, k.opt.Bounds.Sustained(limits))
	return min(1, part+k.fleet.aloneShare()) * k.opt.Bounds.AlonePart(limits)
}

func (k *Keeper) begin(now time.Time, w *workspace.Workspace, owner string, limits quota.Limits, f *flight) quota.Draw {
	k.mu.Lock()
	defer k.mu.Unlock()
	f.left = true
	return k.client.Begin(now, w.Name, owner, limits, f.need, f.waiting)
}

func (k *Keeper) granted(w *workspace.Workspace, owner string, g quota.Grant) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.client.Granted(k.opt.Clock(), w.Name, owner, g)
}

func (k *Keeper) fail(w *workspace.Workspace, m membership.Member, err error) {
	k.metrics.failed.Inc(1)
	if k.fleet.failed(m.ID) {
		k.opt.Log.Info(decisions.EventDependencyLost, "dependency", "quota owner", "workspace", w.Name, "owner", m.ID, "error", err)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.client.Failed(w.Name)
}

// own answers as an owner.
func (k *Keeper) own(d quota.Draw, part float64) quota.Grant {
	k.ownMu.Lock()
	defer k.ownMu.Unlock()
	return k.owner.Draw(k.opt.Clock(), d, part)
}

// Run looks after the daemons that are there until ctx ends. Where there are no workspaces it
// rests.
func (k *Keeper) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause.For(ctx, tick)
		if directory, _ := k.opt.Directory(); directory.Keyed() {
			k.fleet.look()
		} else {
			pause.For(ctx, restTick)
		}
	}
	return nil
}
