// Package gossip drives the membership machine: it passes time, sends its
// messages over the peers' transport and publishes the view.
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

// tick is how often the machine is asked for work.
const tick = 50 * time.Millisecond

// Seeds returns peer addresses to join by; the platform's host list and the
// settings.
type Seeds func(ctx context.Context) []string

// Gossip is safe for concurrent use.
type Gossip struct {
	log    hclog.Logger
	client *peers.Client
	seeds  Seeds

	mu       sync.Mutex
	m        *membership.Machine
	seen     uint64
	onChange []func()
	onFact   []func(membership.Entry)
	members  atomic.Pointer[[]membership.Member]
	messages atomic.Int64
	revision atomic.Uint64
}

// Options are the settings of a daemon's membership; stale says which facts are too old.
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

// OnChange adds a function that is called after the view has changed. It must
// be called before Run.
func (g *Gossip) OnChange(f func()) { g.onChange = append(g.onChange, f) }

// OnFact adds a function that is called with each fact that is learned. It must be called
// before Run.
func (g *Gossip) OnFact(f func(membership.Entry)) { g.onFact = append(g.onFact, f) }

// Members returns the present view; the caller must not change it.
func (g *Gossip) Members() []membership.Member { return *g.members.Load() }

// Revision rises with each change of the view.
func (g *Gossip) Revision() uint64 { return g.revision.Load() }

// Messages returns the number of messages sent.
func (g *Gossip) Messages() int64 { return g.messages.Load() }

// Self returns this daemon's record.
func (g *Gossip) Self() membership.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.m.Self()
}

// Get returns a fact.
func (g *Gossip) Get(key string) (membership.Entry, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.m.Get(key)
}

// Facts returns the facts whose keys begin with a prefix.
func (g *Gossip) Facts(prefix string) []membership.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.m.Facts(prefix)
}

// Set offers a fact to all daemons.
func (g *Gossip) Set(e membership.Entry) {
	g.do(func(now time.Time) { g.m.Set(now, e) })
}

// Update changes this daemon's own record.
func (g *Gossip) Update(change func(*membership.Member)) {
	g.do(func(now time.Time) { g.m.Update(now, change) })
}

// do runs f on the machine, then sends what is due and tells of changes.
func (g *Gossip) do(f func(now time.Time)) {
	g.mu.Lock()
	now := time.Now()
	f(now)
	ready := g.m.Ready(now)
	changed := g.publish()
	g.mu.Unlock()
	for _, fact := range ready.Facts {
		for _, tell := range g.onFact {
			tell(fact)
		}
	}
	for _, msg := range ready.Messages {
		go g.send(msg)
	}
	for _, ind := range ready.IndirectProbes {
		go g.probe(ind)
	}
	if changed {
		for _, tell := range g.onChange {
			tell()
		}
	}
}

func (g *Gossip) publish() bool {
	if r := g.m.Revision(); r != g.seen || g.members.Load() == nil {
		g.seen = r
		list := g.m.Members()
		g.members.Store(&list)
		g.revision.Store(r)
		return true
	}
	return false
}

// Run passes time on until ctx ends.
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

// join asks seeds for their state. It is repeated while this daemon is alone.
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

// HandleGossip serves the Gossip call.
func (g *Gossip) HandleGossip(req *peerpb.GossipRequest) *peerpb.GossipResponse {
	resp := &peerpb.GossipResponse{}
	g.do(func(now time.Time) {
		resp.Entries = toWire(g.m.Receive(now, req.From, req.Digest, fromWire(req.Entries), req.Full))
		resp.Digest = g.m.Digest()
	})
	return resp
}

// HandleProbe serves the Probe call.
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
