// Package streams drives coordination/continuation, which decides where a stream that has begun may
// continue. It copies the records of begun streams to other daemons and asks them for records that
// this daemon lacks, so that a stream can be resumed at any daemon.
//
// While all endpoints of a service run one version of the software, new streams cost no messages.
// Otherwise each costs copies of them before its first event. A stream that is resumed at a daemon
// without its record costs askedFirst, and one for each of up to maxAsked daemons if more than one
// version may have begun it and none of the first has the record: a daemon that has not seen a new
// version yet must not take the version that it knows for the only one.
package streams

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/doorvalve/doorvalve/coordination/continuation"
	"github.com/doorvalve/doorvalve/coordination/membership"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/driver/generations"
	"github.com/doorvalve/doorvalve/driver/record"
	"github.com/doorvalve/doorvalve/internal/clock"
	"github.com/doorvalve/doorvalve/internal/pause"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/protocol/streampb"
	"github.com/doorvalve/doorvalve/state/fleet"
)

const (
	// copies is the number of other daemons that get the record of a stream. Two daemons may fail at
	// the same time as the one that began the stream.
	copies = 3
	// askedFirst is the number of daemons asked for a record at first: one more than hold copies,
	// since daemons may differ in whom they take to be alive.
	askedFirst = copies + 1
	// maxAsked bounds the daemons that are asked for a record which those asked first do not have.
	maxAsked = 64
	// placeTimeout bounds how long the first event of a stream waits until another daemon has its
	// record. Daemons answer from memory, a millisecond or two away.
	placeTimeout = 60 * time.Millisecond
	// callTimeout bounds a call to another daemon.
	callTimeout = 150 * time.Millisecond
	// maxViewAge is the age of the endpoint view up to which this daemon relies on having seen all
	// software of a service: somewhat more than the interval at which a sound view is confirmed.
	maxViewAge = 1500 * time.Millisecond
	// batch bounds the records of one message, at some 100 bytes each.
	batch = 256
	// recordEvery is the interval at which the record in the store is compared with what this daemon
	// has seen.
	recordEvery = time.Second
	// expireEvery is the interval at which old records are dropped.
	expireEvery = 10 * time.Second
)

// Reasons of refusals of attempts to continue a stream.
const (
	ReasonUnknownOrigin = "stream-origin-unknown"
	ReasonVersionGone   = "stream-version-gone"
)

// retryUnknown is the retry delay of a stream whose origin is not known: other daemons may answer
// again by then.
const retryUnknown = 500 * time.Millisecond

// Options are the dependencies of a Controller. Functions must be safe for concurrent use.
type Options struct {
	Self string // id of this daemon
	// Members returns the daemons that are alive, this one among them.
	Members func() []membership.Member
	// Peer returns the client of another daemon.
	Peer func(address string) streampb.Streams
	// ViewAge returns a bound on the age of the endpoint view.
	ViewAge func() time.Duration
	// Store keeps the software that was seen, for the case that all daemons restart; nil: it is not
	// kept.
	Store record.Store
	// Generations tracks the highest generation of the store; nil: the store reports none.
	Generations *generations.Tracker
	// FirstStart reports that the system has never run before.
	FirstStart bool
	Clock      clock.Clock
	Log        *decisions.Log
	Metrics    tally.Scope
}

// Controller holds one daemon's records of begun streams. It is safe for concurrent use.
type Controller struct {
	opt     Options
	metrics metrics
	mixed   chan string // services in which a second version has appeared

	// record and recorded, the signature of its content, belong to whom has sent to recordBusy.
	recordBusy chan struct{}
	record     record.Record
	recorded   string

	mu sync.Mutex
	t  *continuation.Table
}

type metrics struct {
	placed, unplaced, asked, unknown tally.Counter
	records                          tally.Gauge
}

// New returns a controller without records.
func New(opt Options) *Controller {
	if opt.Clock == nil {
		opt.Clock = clock.Now
	}
	since := opt.Clock()
	if opt.FirstStart {
		since = time.Time{}
	}
	s := opt.Metrics.SubScope("streams")
	return &Controller{opt: opt, t: continuation.New(since), record: record.New(opt.Store, opt.Generations, recordName), mixed: make(chan string, 16), recordBusy: make(chan struct{}, 1), metrics: metrics{
		placed: s.Counter("records_placed_total"), unplaced: s.Counter("records_not_placed_total"), asked: s.Counter("records_asked_total"),
		unknown: s.Counter("origins_unknown_total"), records: s.Gauge("records"),
	}}
}

// SetLongestStream sets how long a stream may last, by the timeouts of the routes.
func (c *Controller) SetLongestStream(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.t.SetLongestStream(d)
}

// ObserveView processes a new view of the endpoints.
func (c *Controller) ObserveView(view *fleet.View) {
	c.mu.Lock()
	mixed := c.t.ObserveView(c.opt.Clock(), view)
	c.mu.Unlock()
	for _, service := range mixed {
		select {
		case c.mixed <- service:
		default: // streams that began before are then known to this daemon only
		}
	}
}

// Begin records that a stream has begun, and returns once another daemon has the record, if the
// stream may begin at more than one version. It must be called before the first event is forwarded.
func (c *Controller) Begin(ctx context.Context, requestID string, o continuation.Origin) {
	key, now := continuation.KeyOf(requestID), c.opt.Clock()
	c.mu.Lock()
	r := c.t.Begin(now, key, o)
	mixed := c.t.Mixed(now, o.Service)
	c.mu.Unlock()
	if mixed {
		c.place(ctx, key, r)
	}
}

// place copies a record to other daemons, and returns once the first of them has it.
func (c *Controller) place(ctx context.Context, key continuation.Key, r continuation.Record) {
	targets := c.ranked(key)
	targets = targets[:min(copies, len(targets))]
	if len(targets) == 0 {
		return
	}
	req := &streampb.PlaceRequest{Streams: []*streampb.Stream{toWire(c.opt.Clock(), r)}}
	done := make(chan error, len(targets))
	background := context.WithoutCancel(ctx)
	for _, m := range targets {
		go func() { done <- c.sendPlace(background, m, req) }()
	}
	timeout := time.NewTimer(placeTimeout)
	defer timeout.Stop()
	for range targets {
		select {
		case err := <-done:
			if err == nil {
				c.metrics.placed.Inc(1)
				return
			}
		case <-timeout.C:
			c.metrics.unplaced.Inc(1)
			return
		case <-ctx.Done():
			return
		}
	}
	c.metrics.unplaced.Inc(1)
}

func (c *Controller) sendPlace(ctx context.Context, m membership.Member, req *streampb.PlaceRequest) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := c.opt.Peer(m.PeerAddress).Place(ctx, req)
	return err
}

// ranked returns the other daemons in the order in which they hold copies of a record.
func (c *Controller) ranked(key continuation.Key) []membership.Member {
	return slices.DeleteFunc(membership.Rendezvous(string(key[:]), c.opt.Members()), func(m membership.Member) bool { return m.ID == c.opt.Self })
}

// Continue returns where a stream that has begun at this daemon may continue within its answer.
func (c *Controller) Continue(r continuation.Request) (continuation.Constraint, bool) {
	return c.decide(r, true)
}

// Resume returns where a stream may continue that a caller resumes, or the refusal if nobody knows
// which of several versions began it.
func (c *Controller) Resume(ctx context.Context, r continuation.Request) (continuation.Constraint, *protocol.Refusal) {
	if found, ok := c.decide(r, false); ok {
		return found, nil
	}
	members := c.ranked(r.Key)
	first := members[:min(askedFirst, len(members))]
	if found, ok := c.ask(ctx, r, first); ok {
		return found, nil
	}
	if rest := members[len(first):]; r.Named && len(rest) > 0 && len(members) <= maxAsked {
		if found, ok := c.ask(ctx, r, rest); ok {
			return found, nil
		}
	}
	if found, ok := c.decideByRecord(ctx, r); ok {
		return found, nil
	}
	c.metrics.unknown.Inc(1)
	return continuation.Constraint{}, protocol.Refuse(http.StatusServiceUnavailable, ReasonUnknownOrigin, "no daemon that could be asked knows which version of the service's software began this stream, and several serve", retryUnknown)
}

// decide decides by what this daemon knows. Without a record it decides only if its view counts.
func (c *Controller) decide(r continuation.Request, viewCounts bool) (continuation.Constraint, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.t.Lookup(r.Key); !viewCounts && !known {
		return continuation.Constraint{}, false
	}
	return c.t.Decide(c.opt.Clock(), r)
}

// viewIsFresh reports whether this daemon relies on having seen all software of a service.
func (c *Controller) viewIsFresh() bool { return c.opt.ViewAge() <= maxViewAge }

// ask asks daemons for the record of a stream, and decides as soon as an answer allows it.
func (c *Controller) ask(ctx context.Context, r continuation.Request, members []membership.Member) (continuation.Constraint, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answers := make(chan *streampb.FindResponse, len(members))
	req := &streampb.FindRequest{Key: r.Key[:], Service: r.Service}
	for _, m := range members {
		c.metrics.asked.Inc(1)
		go func() {
			resp, err := c.opt.Peer(m.PeerAddress).Find(ctx, req)
			if err != nil {
				resp = nil // the daemon counts as one without a record
			}
			answers <- resp
		}()
	}
	for range members {
		resp := <-answers
		if resp == nil {
			continue
		}
		c.adopt(r.Service, resp)
		if resp.Stream != nil {
			return c.Continue(r)
		}
	}
	return c.decide(r, c.viewIsFresh())
}

// decideByRecord decides by the record in the store, where this daemon has not read it lately.
func (c *Controller) decideByRecord(ctx context.Context, r continuation.Request) (continuation.Constraint, bool) {
	select {
	case c.recordBusy <- struct{}{}:
	case <-ctx.Done():
		return continuation.Constraint{}, false
	}
	if now := c.opt.Clock(); c.record.Due(now) {
		if err := c.readRecord(ctx, now); err != nil {
			c.opt.Log.Info(decisions.EventSoftwareRecord, "error", err)
		}
	}
	<-c.recordBusy
	return c.decide(r, c.viewIsFresh())
}

// adopt merges the answer of another daemon.
func (c *Controller) adopt(service string, resp *streampb.FindResponse) {
	now := c.opt.Clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if r, ok := fromWire(now, resp.Stream); ok {
		c.t.Merge(now, []continuation.Record{r})
	}
	if resp.History != nil {
		since, seen := historyFromWire(now, resp.History)
		c.t.AdoptHistory(service, since, seen)
	}
}

// Run copies records when a second version appears in a service, and drops old ones, until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	go c.runExpire(ctx)
	go c.runRecord(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case service := <-c.mixed:
			c.placeOwn(ctx, service)
		}
	}
}

func (c *Controller) runExpire(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, expireEvery)
		c.mu.Lock()
		c.t.Expire(c.opt.Clock())
		n := c.t.Len()
		c.mu.Unlock()
		c.metrics.records.Update(float64(n))
	}
}

// placeOwn copies the records of a service's streams that began here while there was one version.
func (c *Controller) placeOwn(ctx context.Context, service string) {
	c.mu.Lock()
	own := c.t.Own(service)
	c.mu.Unlock()
	now := c.opt.Clock()
	byTarget := map[string][]*streampb.Stream{}
	targets := map[string]membership.Member{}
	for _, r := range own {
		ranked := c.ranked(r.Key)
		for _, m := range ranked[:min(copies, len(ranked))] {
			targets[m.ID] = m
			byTarget[m.ID] = append(byTarget[m.ID], toWire(now, r))
		}
	}
	for id, list := range byTarget {
		for part := range slices.Chunk(list, batch) {
			_ = c.sendPlace(ctx, targets[id], &streampb.PlaceRequest{Streams: part}) // other daemons have copies, and this one has the record
		}
	}
	c.opt.Log.Info(decisions.EventStreamsCopied, "service", service, "records", len(own), "daemons", len(byTarget))
}

// Place implements streampb.Streams.
func (c *Controller) Place(_ context.Context, req *streampb.PlaceRequest) (*streampb.PlaceResponse, error) {
	now := c.opt.Clock()
	var records []continuation.Record
	for _, s := range req.Streams {
		if r, ok := fromWire(now, s); ok {
			records = append(records, r)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.t.Merge(now, records)
	return &streampb.PlaceResponse{}, nil
}

// Find implements streampb.Streams.
func (c *Controller) Find(_ context.Context, req *streampb.FindRequest) (*streampb.FindResponse, error) {
	now, resp := c.opt.Clock(), &streampb.FindResponse{}
	fresh := c.viewIsFresh()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(req.Key) == len(continuation.Key{}) {
		if r, ok := c.t.Lookup(continuation.Key(req.Key)); ok {
			resp.Stream = toWire(now, r)
		}
	}
	if fresh {
		since, seen := c.t.History(now, req.Service)
		resp.History = historyToWire(now, since, seen)
	}
	return resp, nil
}
