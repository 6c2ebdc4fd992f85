package streams

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/doorvalve/doorvalve/coordination/continuation"
	"github.com/doorvalve/doorvalve/coordination/membership"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/driver/record"
	"github.com/doorvalve/doorvalve/internal/pause"
	"github.com/doorvalve/doorvalve/protocol/streampb"
)

// While a service runs several versions, begun streams are kept in objects in the store, for the case that all daemons that
// have their records end at once. In a small fleet each daemon keeps those that it has begun in an object of its own. In a larger one
// a few daemons keep those of all: many writers could each write only seldom. A stream is written at once, or with those that come
// until the next write is due; no event waits for it. The object of a daemon that has ended stays until none of
// its streams can be taken up.

const (
	// minFlushInterval and maxFlushInterval bound the time between two writes, for which new streams are collected.
	minFlushInterval = 100 * time.Millisecond
	maxFlushInterval = time.Second
	// flushIntervalPerWriter keeps the writes of all daemons together below some 80 a second.
	flushIntervalPerWriter = 12 * time.Millisecond
	// flushBytesPerSecond bounds what one daemon writes: an object has all its streams each time.
	flushBytesPerSecond = 32 << 10
	// minListInterval is the time between two lists of the objects.
	minListInterval = 250 * time.Millisecond
	// smallFleet is the number of daemons up to which each of them reads the objects itself. Among more, a few
	// readers do, and answer the others.
	smallFleet = 16
	// daemonsPerReader is the number of daemons for each reader beyond the first four.
	daemonsPerReader = 16
	minReaders       = 4
	// storedSoon is the time for which stored origins are asked before other daemons. It takes two lists.
	storedSoon = 2 * minListInterval
	// storedTimeout bounds a list of the objects, and so how long a caller is held for it.
	storedTimeout = time.Second
)

// readersName ranks the daemons that read the objects of a large fleet, and the one that removes old ones.
const readersName = "stream-origins-readers"

// OriginStore keeps an object of each daemon's begun streams.
type OriginStore interface {
	record.Store
	// ListRecords passes the name and content of each object to use.
	ListRecords(ctx context.Context, use func(name string, content json.RawMessage)) error
	// DeleteRecord removes an object. It is no error if there is none.
	DeleteRecord(ctx context.Context, name string) error
}

// storedOrigins is this daemon's part in the stored origins.
type storedOrigins struct {
	dirty chan struct{}
	// own, streams, the number of streams in it, and exists, whether an object of this daemon is stored, belong to runStored.
	own     record.Record
	streams int
	exists  bool
	// The fields below belong to whom has sent to listing.
	listing chan struct{}
	reads   lastRead
	absent  map[string]time.Time // since when the daemon of a listed object is gone, by name; zero: it is not
}

func newStoredOrigins() storedOrigins {
	return storedOrigins{dirty: make(chan struct{}, 1), listing: make(chan struct{}, 1), absent: map[string]time.Time{}}
}

// markDirty notes that there are streams to be stored.
func (s *storedOrigins) markDirty() {
	select {
	case s.dirty <- struct{}{}:
	default: // noted already
	}
}

// originsObject is the object of one daemon. Streams are fingerprints, one after the other, by software.
type originsObject struct {
	// WrittenUnixMs is the writer's wall clock, for operators.
	WrittenUnixMs int64             `json:"written_unix_ms,omitempty"`
	Streams       map[string][]byte `json:"streams"`
}

func encodeStored(s continuation.Stored) originsObject {
	o := originsObject{WrittenUnixMs: time.Now().UnixMilli(), Streams: map[string][]byte{}}
	for software, list := range s {
		var all []byte
		for _, f := range list {
			all = append(all, f[:]...)
		}
		o.Streams[software] = all
	}
	return o
}

func (o originsObject) decode() continuation.Stored {
	s := continuation.Stored{}
	for software, all := range o.Streams {
		for part := range slices.Chunk(all, len(continuation.Fingerprint{})) {
			if len(part) == len(continuation.Fingerprint{}) {
				s[software] = append(s[software], continuation.Fingerprint(bytes.Clone(part)))
			}
		}
	}
	return s
}

// runStored stores begun streams, and removes objects that nobody needs, until ctx ends.
func (c *Controller) runStored(ctx context.Context) {
	if c.opt.Origins == nil {
		return
	}
	c.stored.own = record.New(c.opt.Origins, c.opt.Generations, c.opt.Self)
	clean := time.NewTicker(expireEvery)
	defer clean.Stop()
	for ctx.Err() == nil {
		select {
		case <-c.stored.dirty:
			pause.For(ctx, flushInterval(c.writers(), c.stored.streams)-c.stored.own.SinceTried(c.opt.Clock()))
			if err := c.flush(ctx); err != nil {
				c.logStoredError(err)
				c.stored.markDirty()
				pause.For(ctx, maxFlushInterval)
			}
		case <-clean.C:
			c.removeOwn(ctx)
			c.removeAbsent(ctx)
		case <-ctx.Done():
		}
	}
}

// flushInterval returns the time between two writes of an object with a number of streams, if so many daemons write.
func flushInterval(writers, streams int) time.Duration {
	size := streams * base64.StdEncoding.EncodedLen(len(continuation.Fingerprint{}))
	interval := max(time.Duration(writers)*flushIntervalPerWriter, time.Duration(size)*time.Second/flushBytesPerSecond)
	return min(maxFlushInterval, max(minFlushInterval, interval))
}

// writers returns the number of daemons that write as often as this one.
func (c *Controller) writers() int {
	members, readers := c.opt.Members(), c.readers()
	if isMember(readers, c.opt.Self) {
		return len(readers)
	}
	return len(members) // it writes only what no other daemon could be told
}

var errNotWritten = errors.New("the object of this daemon's streams was not written")

// flush stores the streams that this daemon has begun.
func (c *Controller) flush(ctx context.Context) error {
	if ctx.Err() != nil {
		return nil
	}
	now, s := c.opt.Clock(), &c.stored
	c.mu.Lock()
	own := c.t.OwnStored(now)
	c.mu.Unlock()
	if len(own) == 0 && !s.exists {
		return nil
	}
	if !s.own.Known() {
		var ignored originsObject
		if err := s.own.Read(ctx, now, &ignored); err != nil {
			return err
		}
	}
	written, err := s.own.Write(ctx, now, encodeStored(own))
	if !written {
		return errors.Join(errNotWritten, err)
	}
	s.exists, s.streams = true, own.Len()
	c.metrics.stored.Inc(1)
	return nil
}

// removeOwn removes this daemon's object when its streams are over.
func (c *Controller) removeOwn(ctx context.Context) {
	c.mu.Lock()
	over := len(c.t.OwnStored(c.opt.Clock())) == 0
	c.mu.Unlock()
	if s := &c.stored; s.exists && over && c.deleteStored(ctx, c.opt.Self) {
		s.exists = false
		s.own = record.New(c.opt.Origins, c.opt.Generations, c.opt.Self)
	}
}

// removeAbsent removes, at one of all daemons, the objects of daemons that have been gone for as long as their streams may be
// taken up.
func (c *Controller) removeAbsent(ctx context.Context) {
	ranked := membership.Rendezvous(readersName, c.opt.Members())
	if len(ranked) == 0 || ranked[0].ID != c.opt.Self || !c.lockListing(ctx) {
		return
	}
	now, s := c.opt.Clock(), &c.stored
	c.mu.Lock()
	retention := c.t.Retention()
	c.mu.Unlock()
	if now.Sub(s.reads.began) > retention && c.mayBeStored(now) {
		c.logStoredError(c.listStored(ctx, now))
	}
	over := s.absentFor(now, retention, c.opt.Present())
	<-s.listing
	for _, name := range over {
		if !c.deleteStored(ctx, name) {
			return
		}
		if c.lockListing(ctx) {
			delete(s.absent, name)
			<-s.listing
		}
	}
}

// absentFor returns the listed objects whose daemons have been gone for a time.
func (s *storedOrigins) absentFor(now time.Time, retention time.Duration, present []membership.Member) (names []string) {
	for name, since := range s.absent {
		switch {
		case isMember(present, name):
			s.absent[name] = time.Time{}
		case since.IsZero():
			s.absent[name] = now
		case now.Sub(since) > retention:
			names = append(names, name)
		}
	}
	return names
}

func (c *Controller) lockListing(ctx context.Context) bool {
	select {
	case c.stored.listing <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// mayBeStored reports whether daemons that have ended may have left objects which this one has not seen: it has
// never looked, or versions are mixed. The caller holds the list.
func (c *Controller) mayBeStored(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stored.reads.began.IsZero() && !c.opt.FirstStart {
		return true
	}
	return slices.ContainsFunc(c.t.Services(), func(service string) bool { return c.t.Mixed(now, service) })
}

func (c *Controller) deleteStored(ctx context.Context, name string) bool {
	ctx, cancel := context.WithTimeout(ctx, storedTimeout)
	defer cancel()
	err := c.opt.Origins.DeleteRecord(ctx, name)
	c.logStoredError(err)
	return err == nil
}

func (c *Controller) logStoredError(err error) {
	if err != nil {
		c.opt.Log.Info(decisions.EventStoredOrigins, "error", err)
	}
}

// keeperOf returns the daemon that keeps a stream of this daemon in its object in the store. In a small fleet each daemon keeps its
// own. In a larger one a few keep those of all, so that they can write often. other is false if it is this daemon.
func (c *Controller) keeperOf(key continuation.Key) (keeper membership.Member, other bool) {
	if c.opt.Origins == nil || len(c.opt.Members()) <= smallFleet {
		return membership.Member{}, false
	}
	keeper = membership.Rendezvous(string(key[:]), c.readers())[0]
	return keeper, keeper.ID != c.opt.Self
}

// storeAt lets another daemon keep streams of this one in its object. This daemon keeps them itself if that one does not
// answer.
func (c *Controller) storeAt(ctx context.Context, keeper membership.Member, streams []*streampb.Stream) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := c.opt.Peer(keeper.PeerAddress).Place(ctx, &streampb.PlaceRequest{Streams: streams, Store: true})
	if err != nil || !resp.GetStored() {
		c.stored.markDirty()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.t.SetStored(keysOf(streams), false)
}

// askStoredSoon is askStored for the time in which a store in reach answers: a slow one must not delay what a daemon knows.
func (c *Controller) askStoredSoon(ctx context.Context, q *question) (continuation.Constraint, bool) {
	ctx, cancel := context.WithTimeout(ctx, storedSoon)
	defer cancel()
	type answer struct {
		found continuation.Constraint
		ok    bool
	}
	part, done := &question{Request: q.Request, at: q.at}, make(chan answer, 1)
	go func() {
		found, ok := c.askStored(ctx, part)
		done <- answer{found, ok}
	}()
	select {
	case a := <-done:
		q.finding, q.notStored = part.finding, !a.ok && len(part.silent) == 0
		return a.found, a.ok
	case <-ctx.Done(): // a list that this daemon has begun goes on
		return continuation.Constraint{}, false
	}
}

// askStored decides by the stored streams of all daemons. In a large fleet it asks daemons that read them.
func (c *Controller) askStored(ctx context.Context, q *question) (continuation.Constraint, bool) {
	if c.opt.Origins == nil || !q.Named || q.notStored {
		return continuation.Constraint{}, false
	}
	readers := c.readers()
	if len(readers) == 0 {
		q.addSilent(sourceStored)
		return continuation.Constraint{}, false
	}
	if isMember(readers, c.opt.Self) {
		if err := c.readStored(ctx, q.at); err != nil {
			q.addSilent(sourceStored)
			c.logStoredError(err)
			return continuation.Constraint{}, false
		}
	} else {
		c.askReaders(ctx, q, firstOf(membership.Rendezvous(string(q.Key[:]), readers), maxQuestions))
	}
	found, ok := c.decide(q.Request, false)
	if ok {
		q.finding = c.storedFinding(q.Request)
	}
	return found, ok
}

// askReaders asks daemons that read the objects, one after the other, for the software that began a stream.
func (c *Controller) askReaders(ctx context.Context, q *question, readers []membership.Member) {
	f := q.Fingerprint()
	for _, m := range readers {
		ctx, cancel := context.WithTimeout(ctx, storedTimeout)
		resp, err := c.opt.Peer(m.PeerAddress).Find(ctx, &streampb.FindRequest{Key: f[:], Service: q.Service})
		cancel()
		if err != nil {
			c.logStoredError(err)
			continue
		}
		if software := resp.GetStream().GetSoftware(); software != "" {
			c.mu.Lock()
			c.t.AddStored(c.opt.Clock(), &continuation.StoredObject{Writer: "read by " + m.ID, Streams: continuation.Stored{software: {f}}})
			c.mu.Unlock()
		}
		return
	}
	q.addSilent(sourceStored)
}

// findStored answers another daemon that asks for a stored stream. What was read before is enough if it has the stream: its
// origin does not change.
func (c *Controller) findStored(ctx context.Context, f continuation.Fingerprint) (*streampb.FindResponse, error) {
	var err error
	for _, since := range []time.Time{c.started, c.opt.Clock()} {
		err = c.readStored(ctx, since) // the first list may have failed long ago
		if software := c.storedSoftware(f); software != "" {
			return &streampb.FindResponse{Stream: &streampb.Stream{Software: software}}, nil
		}
	}
	if err != nil {
		return nil, err
	}
	return &streampb.FindResponse{}, nil
}

func (c *Controller) storedSoftware(f continuation.Fingerprint) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.t.StoredSoftware(f)
}

// readers returns the daemons that read the objects and, in a large fleet, keep the streams of all in theirs.
func (c *Controller) readers() []membership.Member {
	members := membership.Rendezvous(readersName, c.opt.Members())
	if len(members) <= smallFleet {
		return members
	}
	return members[:minReaders+len(members)/daemonsPerReader]
}

func firstOf(list []membership.Member, n int) []membership.Member { return list[:min(n, len(list))] }

func isMember(list []membership.Member, id string) bool {
	return slices.ContainsFunc(list, func(m membership.Member) bool { return m.ID == id })
}

// readStored reads the objects, unless a list has begun after the given time.
func (c *Controller) readStored(ctx context.Context, at time.Time) error {
	if !c.lockListing(ctx) {
		return ctx.Err()
	}
	defer func() { <-c.stored.listing }()
	if c.stored.reads.began.After(at) {
		return c.stored.reads.err
	}
	now := c.opt.Clock()
	if wait := minListInterval - now.Sub(c.stored.reads.began); wait > 0 {
		pause.For(ctx, wait)
		now = c.opt.Clock()
	}
	return c.listStored(context.WithoutCancel(ctx), now)
}

// listStored reads the objects. The caller holds the list.
func (c *Controller) listStored(ctx context.Context, now time.Time) error {
	err := c.list(ctx, now)
	c.stored.reads = lastRead{now, err}
	return err
}

func (c *Controller) list(ctx context.Context, now time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, storedTimeout)
	defer cancel()
	var all []*continuation.StoredObject
	var unreadable []error
	err := c.opt.Origins.ListRecords(ctx, func(name string, content json.RawMessage) {
		if _, ok := c.stored.absent[name]; !ok {
			c.stored.absent[name] = time.Time{}
		}
		var o originsObject
		if err := json.Unmarshal(content, &o); err != nil {
			unreadable = append(unreadable, err)
			return
		}
		all = append(all, &continuation.StoredObject{Writer: name, WrittenUnixMs: o.WrittenUnixMs, Streams: o.decode()})
	})
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.t.ReplaceStored(now, all)
	c.mu.Unlock()
	c.opt.Log.Info(decisions.EventStoredOrigins, "read", true, "daemons", len(all))
	return errors.Join(unreadable...)
}
