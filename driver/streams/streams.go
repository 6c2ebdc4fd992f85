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
	"sync/atomic"
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
	maxViewAge = 1800 * time.Millisecond
	// maxMixed bounds the services in which a second version has appeared and whose records are not copied yet.
	maxMixed = 256
	// batch bounds the records of one message, at some 100 bytes each.
	batch = 256
	// recordEvery is the interval at which the record in the store is compared with what this daemon
	// has seen.
	recordEvery = time.Second
	// maxQuestions bounds the readers of stored records that are asked for one stream.
	maxQuestions = 2
	// settleTime is the time after its start, unless it is the first one, from which this daemon takes the members that it knows for all.
	settleTime = time.Second
	// changeTime is the time after which all daemons know that a second version has appeared or a daemon has ended, and have
	// copied their records.
	changeTime = 3 * time.Second
	// expireEvery is the interval at which old records are dropped.
	expireEvery = 10 * time.Second
)

// Reasons of refusals of attempts to continue a stream.
const (
	// ReasonUnknownOrigin says that the origin is not known yet: a source has not answered.
	ReasonUnknownOrigin = "stream-origin-unknown"
	// ReasonLostOrigin says that no source has the origin: the stream is never taken up again.
	ReasonLostOrigin  = "stream-origin-lost"
	ReasonVersionGone = "stream-version-gone"
	// ReasonNotInService says that no version of the service has been recorded yet.
	ReasonNotInService = "version-not-recorded"
)

const (
	// retryUnknown is the retry delay of a stream whose origin is not known yet: daemons and the store
	// answer again within a second or do not for a while.
	retryUnknown = time.Second
	// retryNotInService is the retry delay of a stream that can begin at no version in service.
	retryNotInService = time.Second
	// inServiceWait bounds how long a stream waits for a version to be recorded, which takes one write.
	inServiceWait = 300 * time.Millisecond
)

// Options are the dependencies of a Controller. Functions must be safe for concurrent use.
type Options struct {
	Self string // id of this daemon
	// Members returns the daemons that are alive and not leaving.
	Members func() []membership.Member
	// Present returns the daemons that are alive, those that are leaving among them; nil: Members.
	Present func() []membership.Member
	// Peer returns the client of another daemon.
	Peer func(address string) streampb.Streams
	// ViewAge returns a bound on the age of the endpoint view.
	ViewAge func() time.Duration
	// Store keeps the software that was seen, for the case that all daemons restart; nil: it is not
	// kept.
	Store record.Store
	// Origins keeps which software began streams while a service runs several versions; nil: they are not kept.
	Origins OriginStore
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
	mixed   chan string   // services in which a second version has appeared
	wake    chan struct{} // a version waits to be recorded
	stored  storedOrigins
	started time.Time

	// record and recorded, the signature of its content, belong to whom has sent to recordBusy.
	recordBusy chan struct{}
	// recordRead is set once the record has been read, and firstGeneration is the generation of the store then. They belong
	// to whom has sent to recordBusy, too.
	recordRead      bool
	firstGeneration uint64
	record          record.Record
	recorded        string
	rewrite         bool // a write had no answer

	// beginnings has the services in which streams do not begin everywhere.
	beginnings atomic.Pointer[map[string]continuation.Beginning]

	mu      sync.Mutex
	t       *continuation.Table
	missed  bool                // views were missed since the record was last read
	alive   map[string]struct{} // daemons seen at the last look
	lostAt  time.Time           // when a daemon was last seen to be gone; zero: never
	mixedAt time.Time           // when a second version last appeared; zero: never
	// recordWriter and recordUnixMs are the writer and the time of the record that this daemon knows.
	recordWriter string
	recordUnixMs int64

	// reads belongs to whom has sent to recordBusy.
	reads lastRead
}

type metrics struct {
	placed, unplaced, asked, unknown, lost, stored tally.Counter
	records                                        tally.Gauge
}

// New returns a controller without records.
func New(opt Options) *Controller {
	if opt.Clock == nil {
		opt.Clock = clock.Now
	}
	if opt.Present == nil {
		opt.Present = opt.Members
	}
	since := opt.Clock()
	if opt.FirstStart {
		since = time.Time{}
	}
	s := opt.Metrics.SubScope("streams")
	c := &Controller{opt: opt, started: opt.Clock(), t: continuation.New(since), record: record.New(opt.Store, opt.Generations, recordName), mixed: make(chan string, maxMixed), wake: make(chan struct{}, 1), recordBusy: make(chan struct{}, 1), stored: newStoredOrigins(), metrics: metrics{
		placed: s.Counter("records_placed_total"), unplaced: s.Counter("records_not_placed_total"), asked: s.Counter("records_asked_total"),
		unknown: s.Counter("origins_unknown_total"), lost: s.Counter("origins_lost_total"), stored: s.Counter("records_stored_total"), records: s.Gauge("records"),
	}}
	if c.record.HasStore() {
		c.t.RequireRecords()
	}
	return c
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
	pending := c.publishBeginnings()
	c.mu.Unlock()
	c.notifyMixed(mixed)
	if pending {
		select {
		case c.wake <- struct{}{}:
		default: // it is being looked at
		}
	}
}

// publishBeginnings updates where streams begin, and reports whether that is limited anywhere. The caller holds mu.
func (c *Controller) publishBeginnings() (limited bool) {
	list := map[string]continuation.Beginning{}
	for _, service := range c.t.Pending() {
		list[service] = c.t.Beginning(service)
	}
	c.beginnings.Store(&list)
	return len(list) > 0
}

func (c *Controller) notifyMixed(mixed []string) {
	if len(mixed) > 0 {
		c.mu.Lock()
		c.mixedAt = c.opt.Clock()
		c.mu.Unlock()
	}
	for _, service := range mixed {
		select {
		case c.mixed <- service:
		default: // streams that began before are then known to this daemon only
		}
	}
}

// Begin records that a stream has begun, and returns once another daemon has the record, if the
// stream may begin at more than one version. It must be called before the first event is forwarded. wanted is the time
// for which its caller may take it up; zero if that is not known.
func (c *Controller) Begin(ctx context.Context, requestID string, o continuation.Origin, wanted time.Duration) {
	key, now := continuation.KeyOf(requestID), c.opt.Clock()
	until := time.Time{}
	if wanted > 0 {
		until = now.Add(wanted)
	}
	c.mu.Lock()
	r := c.t.Begin(now, key, o, until)
	mixed := c.t.Mixed(now, o.Service)
	c.mu.Unlock()
	if mixed {
		c.place(ctx, key, r)
	}
}

// Beginning returns where a stream of a service may begin: at versions that are recorded.
func (c *Controller) Beginning(service string) continuation.Beginning {
	if list := c.beginnings.Load(); list != nil {
		return (*list)[service]
	}
	return continuation.Beginning{}
}

// AwaitInService waits for a version of a service to enter service, or refuses the stream if none does.
func (c *Controller) AwaitInService(ctx context.Context, service string) *protocol.Refusal {
	for until := c.opt.Clock().Add(inServiceWait); ; {
		b := c.Beginning(service)
		if b.Any() || !b.Limited() {
			return nil
		}
		if ctx.Err() != nil || c.opt.Clock().After(until) {
			return protocol.Refuse(http.StatusServiceUnavailable, ReasonNotInService, "which version of the service's software serves could not be recorded yet", retryNotInService)
		}
		pause.For(ctx, inServiceWait/60)
	}
}

// AwaitRecorded waits until the version that has begun a stream is recorded. It reports false if that takes too long: the
// stream must then not begin.
func (c *Controller) AwaitRecorded(ctx context.Context, service, software string) bool {
	for until := c.opt.Clock().Add(inServiceWait); ; {
		now := c.opt.Clock()
		c.mu.Lock()
		may := c.t.MayBegin(now, service, software)
		c.mu.Unlock()
		if may || ctx.Err() != nil || now.After(until) {
			return may
		}
		pause.For(ctx, inServiceWait/60)
	}
}

// place copies a record to other daemons, and returns once the first of them has it. It lets the record be stored.
func (c *Controller) place(ctx context.Context, key continuation.Key, r continuation.Record) {
	streams := []*streampb.Stream{toWire(c.opt.Clock(), r)}
	background := context.WithoutCancel(ctx)
	keeper, other := c.keeperOf(key)
	if other {
		go c.storeAt(background, keeper, streams)
	} else {
		c.stored.markDirty()
	}
	targets := c.ranked(key)
	targets = targets[:min(copies, len(targets))]
	if other {
		targets = slices.DeleteFunc(targets, func(m membership.Member) bool { return m.ID == keeper.ID }) // it has the record
	}
	if len(targets) == 0 {
		return
	}
	req := &streampb.PlaceRequest{Streams: streams}
	done := make(chan error, len(targets))
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

// holders returns the other daemons in the order in which they may hold copies of a record, those that are leaving among them.
func (c *Controller) holders(key continuation.Key) []membership.Member {
	return slices.DeleteFunc(membership.Rendezvous(string(key[:]), c.opt.Present()), func(m membership.Member) bool { return m.ID == c.opt.Self })
}

// Continue returns where a stream that has begun at this daemon may continue within its answer.
func (c *Controller) Continue(r continuation.Request) (continuation.Constraint, bool) {
	return c.decide(r, true)
}

// decide decides by what this daemon knows. Without a record it decides only if its view counts.
func (c *Controller) decide(r continuation.Request, viewCounts bool) (continuation.Constraint, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, known := c.t.Lookup(r.Key)
	known = known || c.t.StoredSoftware(r.Fingerprint()) != ""
	if !viewCounts && !known {
		return continuation.Constraint{}, false
	}
	return c.t.Decide(c.opt.Clock(), r)
}

// adopt merges the answer of another daemon.
func (c *Controller) adopt(service string, resp *streampb.FindResponse) {
	c.notifyMixed(c.merge(service, resp))
}

func (c *Controller) merge(service string, resp *streampb.FindResponse) (mixed []string) {
	now := c.opt.Clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if r, ok := fromWire(now, resp.Stream); ok {
		c.t.Merge(now, []continuation.Record{r})
	}
	if resp.History != nil {
		since, seen := historyFromWire(now, resp.History)
		c.t.AdoptHistory(service, since, seen)
		mixed = c.t.AdoptInService(now, service, seen) // daemons tell of versions in service only
		c.publishBeginnings()
	}
	return mixed
}

// Run copies records when a second version appears in a service, and drops old ones, until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	go c.runExpire(ctx)
	go c.runRecord(ctx)
	go c.runStored(ctx)
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
	byTarget, byKeeper := map[string][]*streampb.Stream{}, map[string][]*streampb.Stream{}
	targets := map[string]membership.Member{}
	for _, r := range own {
		if keeper, other := c.keeperOf(r.Key); other {
			targets[keeper.ID] = keeper
			byKeeper[keeper.ID] = append(byKeeper[keeper.ID], toWire(now, r))
		} else {
			c.stored.markDirty()
		}
		ranked := c.ranked(r.Key)
		for _, m := range ranked[:min(copies, len(ranked))] {
			targets[m.ID] = m
			byTarget[m.ID] = append(byTarget[m.ID], toWire(now, r))
		}
	}
	for id, list := range byKeeper {
		for part := range slices.Chunk(list, batch) {
			c.storeAt(ctx, targets[id], part)
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
	store := req.Store && c.opt.Origins != nil
	c.mu.Lock()
	c.t.Merge(now, records)
	if store {
		c.t.SetStored(keysOf(req.Streams), true)
	}
	mixed := c.t.NewlyMixed(now)
	c.mu.Unlock()
	c.notifyMixed(mixed)
	if store {
		c.stored.markDirty()
	}
	return &streampb.PlaceResponse{Stored: store}, nil
}

// Find implements streampb.Streams.
func (c *Controller) Find(ctx context.Context, req *streampb.FindRequest) (*streampb.FindResponse, error) {
	if len(req.Key) == len(continuation.Fingerprint{}) {
		return c.findStored(ctx, continuation.Fingerprint(req.Key))
	}
	now, resp := c.opt.Clock(), &streampb.FindResponse{}
	fresh := c.viewIsFresh()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(req.Key) == len(continuation.Key{}) {
		if r, ok := c.t.Lookup(continuation.Key(req.Key)); ok {
			resp.Stream = toWire(now, r)
		}
	}
	since, seen := c.t.History(now, req.Service)
	if !fresh {
		since = now // what came and went unseen is not covered
	}
	resp.History = historyToWire(now, since, seen)
	return resp, nil
}
