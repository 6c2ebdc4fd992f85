package quotas

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/doorvalve/doorvalve/coordination/backpressure"
	"github.com/doorvalve/doorvalve/coordination/limit"
	"github.com/doorvalve/doorvalve/coordination/membership"
	"github.com/doorvalve/doorvalve/coordination/quota"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/driver/generations"
	"github.com/doorvalve/doorvalve/protocol/quotapb"
	"github.com/doorvalve/doorvalve/standin/record"
	"github.com/doorvalve/doorvalve/state/fleet"
	"github.com/doorvalve/doorvalve/state/workspace"
)

// installation is a fleet of daemons in virtual time, with workspaces and their load.
type installation struct {
	log    *decisions.Log
	bounds quota.Bounds

	mu          sync.Mutex
	rng         *rand.Rand
	hosts       []*host
	directory   *workspace.Directory
	version     uint64
	draws       int
	passed      map[string][]passed
	refused     map[string]int
	offered     map[string][]passed
	store       *record.Store
	generations *generations.Tracker // of the store, shared by all daemons
	// alterGrants changes the answers to draws, as owners of another version would give them; nil: it
	// does not.
	alterGrants func(*quotapb.DrawResponse)
}

// storeLatency is the time that a call to the store takes.
const storeLatency = 5 * time.Millisecond

// passed is a request that was admitted, or offered.
type passed struct {
	at   time.Time
	cost float64
}

// host runs one daemon at a time, with a new id after each start.
type host struct {
	in    *installation
	name  string
	index int

	mu               sync.Mutex
	id               string
	starts           int
	controller       *Controller
	stop             context.CancelFunc
	partitioned      bool      // from all other daemons
	frozen           time.Time // until when the daemon is frozen
	unreachableSince time.Time // since when other daemons do not reach this one; zero while they do
	startedAt        time.Time // when this daemon started
	// syncedAt is when the daemon had received the facts of the others, and signals are those by which
	// it skips endpoints without room.
	syncedAt time.Time
	signals  *backpressure.Tracker
}

// deadAfter is how long other daemons list an unreachable daemon as alive, and joinFor is how long a
// new daemon is unknown to them.
const (
	deadAfter = 4 * time.Second
	joinDelay = 200 * time.Millisecond
)

func newInstallation(hosts int, seed uint64, list ...workspace.Declaration) *installation {
	in := &installation{
		log: decisions.New(io.Discard, "test", hclog.Off), rng: rand.New(rand.NewPCG(seed, 0)),
		bounds:    quota.Bounds{Window: 8 * time.Second, Overage: 0.1, Slack: 17000, NewOwnerShare: quota.DefaultNewOwnerShare},
		directory: workspace.NewDirectory(list), version: 1, passed: map[string][]passed{}, refused: map[string]int{}, offered: map[string][]passed{}, store: &record.Store{Latency: storeLatency},
	}
	in.generations = generations.New(in.log, tally.NoopScope)
	for i := range hosts {
		in.hosts = append(in.hosts, &host{in: in, name: fmt.Sprintf("h%d", i), index: i})
	}
	for _, h := range in.hosts {
		h.start()
	}
	return in
}

func (in *installation) stop() {
	for _, h := range in.hosts {
		h.stop()
	}
	time.Sleep(time.Minute) // for calls that are still in progress
	in.log.Close()
}

func (h *host) start() {
	ctx, cancel := context.WithCancel(context.Background())
	h.mu.Lock()
	h.starts++
	h.id = fmt.Sprintf("%s-%d", h.name, h.starts)
	h.unreachableSince, h.startedAt = time.Time{}, time.Now()
	h.mu.Unlock()
	signals := backpressure.New(backpressure.Options{})
	k := New(Options{
		OnLimitChange: func(i fleet.Incarnation, r limit.Report) { signals.SetLimit(time.Now(), i, r) },
		Self:          h.id, Bounds: h.in.bounds, Members: h.members, Revision: func() uint64 { return uint64(time.Now().UnixNano() / int64(100*time.Millisecond)) },
		Directory: h.in.workspaces, Publish: h.publishFact, Store: h.in.store, Generations: h.in.generations, Peer: func(address string) quotapb.Quotas { return link{h, address} }, Clock: time.Now, Log: h.in.log, Metrics: tally.NoopScope,
	})
	h.mu.Lock()
	if h.stop != nil {
		h.stop()
	}
	h.controller, h.stop = k, cancel
	h.signals = signals
	h.mu.Unlock()
	go func() { _ = k.Run(ctx) }()
	go h.receiveFacts(k)
}

// factDelay bounds the time until a fact reaches most daemons, and factLate the additional time until
// it reaches the few that the first round of gossip has missed: with the real membership, the last of
// 375 daemons receives a fact after half a second.
const (
	factDelay = 50 * time.Millisecond
	factLate  = 450 * time.Millisecond
)

// publishFact delivers a fact to all other daemons that can be reached, to one in twenty of them late.
func (h *host) publishFact(f membership.Entry) {
	for _, o := range h.in.hosts {
		if o == h {
			continue
		}
		d := time.Duration(h.in.chance(int(factDelay)))
		if h.in.chance(20) == 0 {
			d += time.Duration(h.in.chance(int(factLate)))
		}
		time.AfterFunc(d, func() {
			if k := o.current(); k != nil && !h.isPartitioned() && !o.isPartitioned() {
				k.Endpoints().ReceiveFact(f)
			}
		})
	}
}

// receiveFacts delivers the facts that the other daemons hold to a daemon that has just joined.
func (h *host) receiveFacts(k *Controller) {
	time.Sleep(joinDelay)
	for _, o := range h.in.hosts {
		other := o.current()
		if o == h || other == nil || o.isPartitioned() || h.isPartitioned() {
			continue
		}
		for incarnation, report := range other.Endpoints().Limited() {
			k.Endpoints().ReceiveFact(factOf(limit.Change{Incarnation: incarnation, Now: report}))
		}
	}
	h.mu.Lock()
	h.syncedAt = time.Now()
	h.mu.Unlock()
}

func (h *host) isPartitioned() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.partitioned
}

// kill stops the daemon without notice, and starts the next one after a pause.
func (h *host) kill(down time.Duration) {
	h.mu.Lock()
	h.controller, h.unreachableSince = nil, time.Now()
	h.mu.Unlock()
	time.Sleep(down)
	h.start()
}

// partition separates the daemon from all others for a while.
func (h *host) partition(d time.Duration) {
	h.mu.Lock()
	h.partitioned, h.unreachableSince = true, time.Now()
	h.mu.Unlock()
	time.Sleep(d)
	h.mu.Lock()
	h.partitioned, h.unreachableSince = false, time.Time{}
	h.mu.Unlock()
}

// freeze suspends the daemon for a while: it answers no peers, and takes no requests.
func (h *host) freeze(d time.Duration) {
	h.mu.Lock()
	h.frozen, h.unreachableSince = time.Now().Add(d), time.Now()
	h.mu.Unlock()
	time.Sleep(d)
	h.mu.Lock()
	h.unreachableSince = time.Time{}
	h.mu.Unlock()
}

func (h *host) current() *Controller {
	h.mu.Lock()
	defer h.mu.Unlock()
	if time.Now().Before(h.frozen) {
		return nil
	}
	return h.controller
}

// members returns the membership as this host's daemon sees it.
func (h *host) members() []membership.Member {
	now := time.Now()
	h.mu.Lock()
	partitionedSince := time.Time{}
	if h.partitioned {
		partitionedSince = h.unreachableSince
	}
	h.mu.Unlock()
	list := make([]membership.Member, 0, len(h.in.hosts))
	for _, o := range h.in.hosts {
		o.mu.Lock()
		m := membership.Member{ID: o.id, Host: o.name, PeerAddress: fmt.Sprint(o.index), Status: membership.Alive}
		unreachableSince, startedAt := o.unreachableSince, o.startedAt
		o.mu.Unlock()
		if o != h && (!unreachableSince.IsZero() && now.Sub(unreachableSince) > deadAfter || !partitionedSince.IsZero() && now.Sub(partitionedSince) > deadAfter) {
			m.Status = membership.Dead
		}
		if o == h || now.Sub(startedAt) > joinDelay {
			list = append(list, m)
		}
	}
	return list
}

func (in *installation) workspaces() (*workspace.Directory, uint64) {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.directory, in.version
}

func (in *installation) declare(list ...workspace.Declaration) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.directory = workspace.NewDirectory(list)
	in.version++
}

func (in *installation) chance(n int) int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.rng.IntN(n)
}

// link carries calls from one daemon to another.
type link struct {
	from *host
	to   string
}

var (
	errPartitioned = errors.New("partitioned")
	errDaemonDown  = errors.New("daemon is down")
)

// Draw implements quotapb.Quotas.
func (l link) Draw(ctx context.Context, req *quotapb.DrawRequest) (*quotapb.DrawResponse, error) {
	in := l.from.in
	in.mu.Lock()
	in.draws++
	in.mu.Unlock()
	var i int
	_, _ = fmt.Sscan(l.to, &i) // written by members
	to := in.hosts[i]
	time.Sleep(time.Duration(1+in.chance(3)) * time.Millisecond)
	for _, h := range []*host{l.from, to} {
		h.mu.Lock()
		unreachable := h.partitioned || time.Now().Before(h.frozen)
		h.mu.Unlock()
		if unreachable {
			<-ctx.Done()
			return nil, errPartitioned
		}
	}
	k := to.current()
	if k == nil {
		return nil, errDaemonDown
	}
	resp, err := k.Draw(ctx, req)
	if err == nil && in.alterGrants != nil {
		in.alterGrants(resp)
	}
	return resp, err
}

// drawCount returns the number of draws so far.
func (in *installation) drawCount() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.draws
}

// serve offers a request to a host's daemon; the request is not counted if the daemon is down.
func (in *installation) serve(h *host, name string, cost float64) {
	k := h.current()
	if k == nil {
		return
	}
	directory, _ := in.workspaces()
	arrivedAt := time.Now()
	_, refusal := k.Admit(context.Background(), directory.ByName(name), cost, false)
	in.mu.Lock()
	defer in.mu.Unlock()
	in.offered[name] = append(in.offered[name], passed{arrivedAt, cost})
	if refusal != nil {
		in.refused[name]++
		return
	}
	in.passed[name] = append(in.passed[name], passed{time.Now(), cost})
}

// load describes the requests that callers of a workspace send.
type load struct {
	name string
	rate func(at time.Duration) float64 // units a second
	// hosts are those that callers send to; nil: all.
	hosts []*host
}

// requestCost is the mean cost of a request in units: half of the requests cost 0.5 times as much, the
// others 1.5 times.
const requestCost = 1000

// send generates the requests of a load for a while.
func (in *installation) send(l load, d time.Duration) {
	hosts := l.hosts
	if hosts == nil {
		hosts = in.hosts
	}
	start := time.Now()
	for time.Since(start) < d {
		rate := l.rate(time.Since(start))
		// A Poisson process with the mean rate of the load.
		in.mu.Lock()
		gap := time.Duration(in.rng.ExpFloat64() * requestCost / rate * float64(time.Second))
		cost := requestCost/2 + float64(in.rng.IntN(2)*requestCost)
		in.mu.Unlock()
		time.Sleep(min(gap, time.Second))
		if gap > time.Second {
			continue
		}
		h := hosts[in.chance(len(hosts))]
		go in.serve(h, l.name, cost)
	}
	time.Sleep(time.Second)
}

// maxExcess returns by how many units the admitted ones exceed the bound, in the window with the
// largest excess; negative if no window reaches the bound.
func (in *installation) maxExcess(name string, l quota.Limits) float64 {
	in.mu.Lock()
	defer in.mu.Unlock()
	list := in.passed[name]
	slices.SortFunc(list, func(a, b passed) int { return a.at.Compare(b.at) })
	allowed := in.bounds.Slack + (1+in.bounds.Overage)*(l.Rate*in.bounds.Window.Seconds()+l.Burst)
	worst, sum, from := -allowed, 0.0, 0
	for _, p := range list {
		sum += p.cost
		for p.at.Sub(list[from].at) > in.bounds.Window {
			sum -= list[from].cost
			from++
		}
		worst = max(worst, sum-allowed)
	}
	return worst
}

// admittedBetween returns the units that were admitted in a period.
func (in *installation) admittedBetween(name string, from, to time.Time) float64 {
	in.mu.Lock()
	defer in.mu.Unlock()
	return unitsBetween(in.passed[name], from, to)
}

// offeredBetween returns the units that callers sent in a period.
func (in *installation) offeredBetween(name string, from, to time.Time) float64 {
	in.mu.Lock()
	defer in.mu.Unlock()
	return unitsBetween(in.offered[name], from, to)
}

func unitsBetween(list []passed, from, to time.Time) float64 {
	sum := 0.0
	for _, p := range list {
		if p.at.After(from) && p.at.Before(to) {
			sum += p.cost
		}
	}
	return sum
}

// bucket is the result of the offered requests at one central token bucket.
type bucket struct {
	units   float64 // admitted
	refused int     // requests
}

// central returns the result of the offered requests at one central token bucket, and the units that
// were admitted in fact.
func (in *installation) central(name string, l quota.Limits) (central bucket, through float64) {
	in.mu.Lock()
	defer in.mu.Unlock()
	level, at := l.Burst, time.Time{}
	slices.SortStableFunc(in.offered[name], func(a, b passed) int { return a.at.Compare(b.at) })
	for _, p := range in.offered[name] {
		if !at.IsZero() {
			level = min(l.Burst, level+l.Rate*p.at.Sub(at).Seconds())
		}
		at = p.at
		if level < min(p.cost, l.Burst) {
			central.refused++
			continue
		}
		level -= p.cost
		central.units += p.cost
	}
	for _, p := range in.passed[name] {
		through += p.cost
	}
	return central, through
}
