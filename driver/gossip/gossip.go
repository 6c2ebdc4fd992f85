// Package gossip drives the state machine of package membership: it passes the
// time, sends messages over the peer transport and publishes the view.
package gossip

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/doorvalve/doorvalve/coordination/membership"
	"github.com/doorvalve/doorvalve/protocol/peerpb"
	"github.com/doorvalve/doorvalve/transport/peers"
)

// tick is the interval at which the machine is polled for actions.
const tick = 50 * time.Millisecond

// Seeds returns the peer addresses to join through, from the platform's host list
// and the settings.
type Seeds func(ctx context.Context) []string

// Gossip runs the membership of one daemon. It is safe for concurrent use, except
// for OnChange and OnFact.
type Gossip struct {
	log    hclog.Logger
	client *peers.Client
	seeds  Seeds

	mu        sync.Mutex
	m         *membership.Machine
	published uint64 // revision of the published view
	onChange  []func()
	onFact    []func(membership.Entry)
	members   atomic.Pointer[[]membership.Member]
	messages  atomic.Int64
	revision  atomic.Uint64
}

// Options returns the settings of a daemon's membership. stale reports whether a fact is too old.
func Options(stale func(now time.Time, f membership.Entry) bool) membership.Options {
	opt := membership.DefaultOptions(uint64(time.Now().UnixNano()))
	opt.Stale = stale
	return opt
}

// New returns a driver for one daemon.
func New(log hclog.Logger, client *peers.Client, seeds Seeds, opt membership.Options, self membership.Member) *Gossip {
	g := &Gossip{log: log, client: client, seeds: seeds, m: membership.New(opt, self, time.Now())}
	g.publish()
	return g
}

// OnChange adds a function that is called after each change of the view. OnChange
// must be called before Run.
func (g *Gossip) OnChange(f func()) { g.onChange = append(g.onChange, f) }

// OnFact adds a function that is called with each newly learned fact. OnFact must be called
// before Run.
func (g *Gossip) OnFact(f func(membership.Entry)) { g.onFact = append(g.onFact, f) }

// Members returns the current view; the caller must not change it.
func (g *Gossip) Members() []membership.Member { return *g.members.Load() }

// Revision returns a number that increases with each change of the view.
func (g *Gossip) Revision() uint64 { return g.revision.Load() }

// Messages returns the number of messages sent.
func (g *Gossip) Messages() int64 { return g.messages.Load() }

// Self returns this daemon's record.
func (g *Gossip) Self() membership.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.m.Self()
}

// Get returns the fact with a key.
func (g *Gossip) Get(key string) (membership.Entry, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.m.Get(key)
}

// Facts returns the facts whose keys begin with a prefix, sorted by key.
func (g *Gossip) Facts(prefix string) []membership.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.m.Facts(prefix)
}

// Set publishes a fact to all daemons.
func (g *Gossip) Set(e membership.Entry) {
	g.do(func(now time.Time) { g.m.Set(now, e) })
}

// Update changes this daemon's own record.
func (g *Gossip) Update(change func(*membership.Member)) {
	g.do(func(now time.Time) { g.m.Update(now, change) })
}

// do runs f on the machine, then sends the messages that are due and calls the
// functions of OnFact and OnChange.
func (g *Gossip) do(f func(now time.Time)) {
	g.mu.Lock()
	now := time.Now()
	f(now)
	ready := g.m.Ready(now)
	changed := g.publish()
	g.mu.Unlock()
	for _, fact := range ready.Facts {
		for _, notify := range g.onFact {
			notify(fact)
		}
	}
	for _, msg := range ready.Messages {
		go g.send(msg)
	}
	for _, ind := range ready.IndirectProbes {
		go g.probe(ind)
	}
	if changed {
		for _, notify := range g.onChange {
			notify()
		}
	}
}

func (g *Gossip) publish() bool {
	if r := g.m.Revision(); r != g.published || g.members.Load() == nil {
		g.published = r
		list := g.m.Members()
		g.members.Store(&list)
		g.revision.Store(r)
		return true
	}
	return false
}

// Run polls the machine and joins other daemons until ctx ends. It returns nil.
func (g *Gossip) Run(ctx context.Context) error {
	t := time.NewTicker(tick)
	defer t.Stop()
	lastJoin := time.Time{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			if len(g.Members()) <= 1 && now.Sub(lastJoin) >= time.Second {
				lastJoin = now
				go g.join(ctx)
			}
			g.do(func(time.Time) {})
		}
	}
}

// join asks the seeds for their state. Run repeats it while this daemon knows no
// other.
func (g *Gossip) join(ctx context.Context) {
	self := g.Self().PeerAddress
	for _, address := range g.seeds(ctx) {
		if address == self {
			continue
		}
		g.mu.Lock()
		msg := g.m.Join(address)
		g.mu.Unlock()
		g.send(msg)
	}
}

func (g *Gossip) send(msg membership.Message) {
	ctx, cancel := context.WithTimeout(context.Background(), peers.CallTimeout)
	defer cancel()
	g.messages.Add(1)
	resp, err := g.client.To(msg.To.PeerAddress).Gossip(ctx, &peerpb.GossipRequest{
		From: g.Self().ID, Digest: msg.Digest, Entries: toWire(msg.Entries), Full: msg.Full,
	})
	if err != nil {
		g.log.Trace("gossip failed", "to", msg.To.PeerAddress, "error", err)
		return
	}
	g.do(func(now time.Time) { g.m.Answer(now, msg.To.ID, true, resp.Digest, fromWire(resp.Entries), msg.Full) })
}

func (g *Gossip) probe(ind membership.IndirectProbe) {
	ctx, cancel := context.WithTimeout(context.Background(), peers.CallTimeout)
	defer cancel()
	g.messages.Add(1)
	resp, err := g.client.To(ind.Via.PeerAddress).Probe(ctx, &peerpb.ProbeRequest{Target: ind.Target.PeerAddress})
	if err != nil {
		return
	}
	g.do(func(time.Time) { g.m.IndirectAnswer(ind.Target.ID, resp.Alive) })
}

// HandleGossip serves the Gossip call of peers.
func (g *Gossip) HandleGossip(req *peerpb.GossipRequest) *peerpb.GossipResponse {
	resp := &peerpb.GossipResponse{}
	g.do(func(now time.Time) {
		resp.Entries = toWire(g.m.Receive(now, req.From, req.Digest, fromWire(req.Entries), req.Full))
		resp.Digest = g.m.Digest()
	})
	return resp
}

// HandleProbe serves the Probe call of peers: it reports whether the target answers.
func (g *Gossip) HandleProbe(ctx context.Context, req *peerpb.ProbeRequest) *peerpb.ProbeResponse {
	ctx, cancel := context.WithTimeout(ctx, peers.CallTimeout/4)
	defer cancel()
	_, err := g.client.To(req.Target).Gossip(ctx, &peerpb.GossipRequest{From: g.Self().ID})
	return &peerpb.ProbeResponse{Alive: err == nil}
}

func toWire(list []membership.Entry) []*peerpb.Entry {
	out := make([]*peerpb.Entry, len(list))
	for i, e := range list {
		out[i] = &peerpb.Entry{Key: e.Key, Version: e.Version, Value: e.Value}
	}
	return out
}

func fromWire(list []*peerpb.Entry) []membership.Entry {
	out := make([]membership.Entry, len(list))
	for i, e := range list {
		out[i] = membership.Entry{Key: e.Key, Version: e.Version, Value: e.Value}
	}
	return out
}
