// Package leaserelay reads and writes leases in the platform's store, and goes
// viaPeer other daemons if the store does not answer this one. The store may
// reject single hosts for many seconds. Without another path, a lease holder on
// such a host would lose its lease, and its service would be without orders for
// the rest of the term and the gap between two holders.
package leaserelay

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"github.com/doorvalve/doorvalve/coordination/lease"
	"github.com/doorvalve/doorvalve/driver/coordinator"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/driver/generations"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/protocol/fleetpb"
	"github.com/doorvalve/doorvalve/state/storeversion"
)

const (
	// hedgeAfter is how long to wait for one path before the next is tried in
	// parallel: many times the usual response time of the store, and short enough
	// to try all paths within the timeout of one lease call.
	hedgeAfter = 120 * time.Millisecond
	// maxPeers bounds the peers that are tried: the store seldom rejects more than
	// a third of the daemons, so it is unlikely to reject three in a row.
	maxPeers = 3
)

// Peer is the part of another daemon's interface that Relay uses.
type Peer interface {
	ReadLease(context.Context, *fleetpb.ReadLeaseRequest) (*fleetpb.ReadLeaseResponse, error)
	WriteLease(context.Context, *fleetpb.WriteLeaseRequest) (*fleetpb.WriteLeaseResponse, error)
}

// Relay implements coordinator.LeaseStore. It is safe for concurrent use.
type Relay struct {
	store          coordinator.LeaseStore
	peers          func(limit int) []Peer
	generations    *generations.Tracker
	log            *decisions.Log
	answeredByPeer atomic.Bool // whether the last answer came through a peer
}

// New returns a relay to the store. peers returns at most limit other daemons, in
// the order in which they are tried. tracker may be nil.
func New(store coordinator.LeaseStore, peers func(limit int) []Peer, tracker *generations.Tracker, log *decisions.Log) *Relay {
	return &Relay{store: store, peers: peers, generations: tracker, log: log}
}

// readAnswer is the store's answer to a read.
type readAnswer struct {
	found   bool
	version storeversion.Version
	record  json.RawMessage
}

// writeAnswer is the store's answer to a conditional write.
type writeAnswer struct {
	outcome protocol.WriteOutcome
	version storeversion.Version
}

// path is one path to the store.
type path interface {
	read(ctx context.Context, name string) (readAnswer, error)
	write(ctx context.Context, name string, expected storeversion.Version, record json.RawMessage) (writeAnswer, error)
}

// ReadLease implements coordinator.LeaseStore.
func (r *Relay) ReadLease(ctx context.Context, name string, v any) (storeversion.Version, error) {
	a, _, err := race(ctx, r, name, func(ctx context.Context, p path) (readAnswer, error) { return p.read(ctx, name) })
	switch {
	case err != nil:
		return storeversion.Version{}, err
	case !a.found:
		return a.version, lease.ErrNotFound
	}
	return a.version, json.Unmarshal(a.record, v)
}

// WriteLease implements coordinator.LeaseStore. The write may reach the store
// more than once, and its condition lets it take effect at most once. So a conflict
// after more than one try does not mean that nothing was written, and WriteLease
// then returns protocol.WriteUnknown.
func (r *Relay) WriteLease(ctx context.Context, name string, expected storeversion.Version, record any) (storeversion.Version, protocol.WriteOutcome, error) {
	encoded, err := json.Marshal(record)
	if err != nil {
		return storeversion.Version{}, protocol.WriteUnknown, err
	}
	a, tries, err := race(ctx, r, name, func(ctx context.Context, p path) (writeAnswer, error) {
		return p.write(ctx, name, expected, encoded)
	})
	switch {
	case err != nil:
		return storeversion.Version{}, protocol.WriteUnknown, err
	case a.outcome == protocol.WriteConflict && tries > 1:
		return a.version, protocol.WriteUnknown, nil
	}
	return a.version, a.outcome, nil
}

// paths returns the paths to the store, the preferred first.
func (r *Relay) paths() []path {
	list := []path{direct{r.store, r.generations}}
	for _, p := range r.peers(maxPeers) {
		list = append(list, viaPeer{p, r.generations})
	}
	return list
}

// result is the outcome of a call on one path.
type result[T any] struct {
	answer T
	err    error
	peer   bool
}

// race tries the paths to the store, each as soon as the one before has failed or
// has not answered within hedgeAfter. It returns the first answer and the number of
// paths tried.
func race[T any](ctx context.Context, r *Relay, name string, call func(context.Context, path) (T, error)) (answer T, tries int, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	paths := r.paths()
	results := make(chan result[T], len(paths))
	begin := func() {
		p, peer := paths[tries], tries > 0
		tries++
		go func() {
			a, err := call(ctx, p)
			results <- result[T]{a, err, peer}
		}()
	}
	hedge := time.NewTimer(hedgeAfter)
	defer hedge.Stop()
	begin()
	var failures []error
	for {
		select {
		case <-hedge.C:
		case got := <-results:
			if got.err == nil {
				r.answered(name, got.peer, errors.Join(failures...))
				return got.answer, tries, nil
			}
			failures = append(failures, got.err)
		}
		switch {
		case tries < len(paths):
			begin()
			hedge.Reset(hedgeAfter)
		case len(failures) == len(paths):
			return answer, tries, errors.Join(failures...)
		}
	}
}

// answered logs when answers change between the direct path and peers.
func (r *Relay) answered(name string, peer bool, err error) {
	if r.answeredByPeer.Swap(peer) == peer {
		return
	}
	if peer {
		r.log.Warn(decisions.EventDependencyLost, "dependency", "store", "of", "lease", "service", name, "through", "peer", "error", err)
		return
	}
	r.log.Info(decisions.EventDependencyRegained, "dependency", "store", "of", "lease", "service", name)
}

// direct is the path from this daemon to the store.
type direct struct {
	store       coordinator.LeaseStore
	generations *generations.Tracker
}

func (d direct) read(ctx context.Context, name string) (readAnswer, error) {
	var a readAnswer
	version, err := d.store.ReadLease(ctx, name, &a.record)
	a.version = version
	if errors.Is(err, lease.ErrNotFound) {
		return a, nil
	}
	a.found = true
	return a, err
}

// write does not send a condition with a version of an older generation than the store's, as its
// revision may by now be that of other content.
func (d direct) write(ctx context.Context, name string, expected storeversion.Version, record json.RawMessage) (writeAnswer, error) {
	if d.generations.Outdated(expected) {
		return writeAnswer{protocol.WriteConflict, storeversion.Version{Generation: d.generations.Highest()}}, nil
	}
	version, outcome, err := d.store.WriteLease(ctx, name, expected, record)
	if err == nil && outcome == protocol.WriteUnknown {
		err = errNoAnswer
	}
	return writeAnswer{outcome, version}, err
}

// errNoAnswer is returned when the store gave no usable answer to a write.
var errNoAnswer = errors.New("the store gave no usable answer")

// viaPeer is the path to the store through another daemon.
type viaPeer struct {
	peer        Peer
	generations *generations.Tracker
}

// observe records the generation that a peer has reported and returns the version.
func (t viaPeer) observe(generation, revision uint64) storeversion.Version {
	t.generations.Observe(generation, "peer")
	return storeversion.Version{Generation: generation, Revision: revision}
}

func (t viaPeer) read(ctx context.Context, name string) (readAnswer, error) {
	resp, err := t.peer.ReadLease(ctx, &fleetpb.ReadLeaseRequest{Name: name})
	if err != nil {
		return readAnswer{}, err
	}
	return readAnswer{resp.Found, t.observe(resp.Generation, resp.Version), resp.Record}, nil
}

func (t viaPeer) write(ctx context.Context, name string, expected storeversion.Version, record json.RawMessage) (writeAnswer, error) {
	resp, err := t.peer.WriteLease(ctx, &fleetpb.WriteLeaseRequest{Name: name, Expected: expected.Revision, Generation: expected.Generation, Record: record})
	if err != nil {
		return writeAnswer{}, err
	}
	a := writeAnswer{protocol.WriteConflict, t.observe(resp.Generation, resp.Version)}
	if resp.Written {
		a.outcome = protocol.WriteOK
	}
	return a, nil
}

// Server serves lease calls of other daemons over this daemon's direct path to the
// store. Generations may be nil.
type Server struct {
	Store       coordinator.LeaseStore
	Generations *generations.Tracker
}

// ReadLease serves fleetpb.Fleet.
func (s Server) ReadLease(ctx context.Context, req *fleetpb.ReadLeaseRequest) (*fleetpb.ReadLeaseResponse, error) {
	a, err := direct{s.Store, s.Generations}.read(ctx, req.Name)
	if err != nil {
		return nil, err
	}
	return &fleetpb.ReadLeaseResponse{Found: a.found, Version: a.version.Revision, Generation: a.version.Generation, Record: a.record}, nil
}

// WriteLease serves fleetpb.Fleet.
func (s Server) WriteLease(ctx context.Context, req *fleetpb.WriteLeaseRequest) (*fleetpb.WriteLeaseResponse, error) {
	expected := storeversion.Version{Generation: req.Generation, Revision: req.Expected}
	a, err := direct{s.Store, s.Generations}.write(ctx, req.Name, expected, req.Record)
	if err != nil {
		return nil, err
	}
	return &fleetpb.WriteLeaseResponse{Written: a.outcome == protocol.WriteOK, Version: a.version.Revision, Generation: a.version.Generation}, nil
}
