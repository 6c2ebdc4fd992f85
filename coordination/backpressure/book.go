// Package backpressure decides whether a request may go to an endpoint now, from what the endpoint
// has said of itself in its answers: that it leaves, that it wants a pause, or that it has no room
// within a rate. All of it holds for one life of the endpoint. The package does no I/O: what was
// said and the time go in, decisions come out.
//
// Invariants: a life that has said that it leaves is never open again; a pause ends at its time and
// not before, whatever else is said.
package backpressure

import (
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/doorvalve/doorvalve/coordination/limit"
	"github.com/doorvalve/doorvalve/state/fleet"
)

// Reason says why an endpoint is not open.
type Reason string

// The reasons.
const (
	None    Reason = ""
	Leaving Reason = "endpoint-leaving"
	Paused  Reason = "endpoint-paused"
	Limited Reason = "endpoints-limited"
)

// Decision says whether a request may go to an endpoint now.
type Decision struct {
	Open bool
	// LastResort: the endpoint leaves, and may still serve what no other endpoint can.
	LastResort bool
	Reason     Reason
	// In is the time until the endpoint is open; without meaning for one that is, or that leaves.
	OpensIn time.Duration
}

// Closed reports whether the endpoint takes no request at all now.
func (d Decision) Closed() bool { return !d.Open && !d.LastResort }

// Options configure a Book.
type Options struct {
	// LeaveWithin is how long after an endpoint has said that it leaves requests may come to it.
	LeaveWithin time.Duration
	Seed        uint64 // of the spread of daemons after a pause
}

const (
	// lastResortPart is the part of Options.LeaveWithin for which a leaving endpoint serves what
	// no other can. The rest is for requests on their way.
	lastResortPart = 0.75
	// trialEvery is the pause between two requests to an endpoint whose pause is over, until an
	// answer shows that it takes requests again.
	trialEvery = 100 * time.Millisecond
	// remember is how long an endpoint that is not listed is remembered: its entry may be back.
	remember = 10 * time.Minute
)

// Book is what one daemon knows. It is safe for concurrent use; a question about an endpoint that
// has said nothing takes no lock.
type Tracker struct {
	opt     Options
	daemons atomic.Int64
	entries atomic.Pointer[map[string]*entry] // by id; replaced when an id is added or dropped

	mu sync.Mutex // guards the replacing of entries; locked before that of an entry

	rngMu sync.Mutex
	rng   *rand.Rand
}

// entry is the newest life of an id that has said something.
type entry struct {
	mu   sync.Mutex
	life fleet.Incarnation
	// closesAt is when a leaving endpoint takes no more requests; zero: it does not leave.
	closesAt   time.Time
	pauseUntil time.Time
	spread     time.Duration // of the present pause, part of pauseUntil
	// resuming: no answer has shown yet, since the pause began, that requests are taken again.
	resuming bool
	triedAt  time.Time
	noRoom   time.Time // within its limit, until then
	limit    limit.Report
	said     time.Time // last
	line     line
}

// New returns a book in which nothing was said.
func New(opt Options) *Tracker {
	b := &Tracker{opt: opt, rng: rand.New(rand.NewPCG(opt.Seed, 0))}
	b.entries.Store(&map[string]*entry{})
	b.daemons.Store(1)
	return b
}

// Share tells how many daemons share the requests.
func (b *Tracker) SetDaemons(daemons int) { b.daemons.Store(int64(max(1, daemons))) }

// Silent reports whether no life of an id has said anything; it is cheaper than a Look.
func (b *Tracker) HasNoReport(id string) bool { return (*b.entries.Load())[id] == nil }

// find returns the locked entry of a life, nil if that has said nothing.
func (b *Tracker) find(life fleet.Incarnation) *entry {
	e := (*b.entries.Load())[life.ID]
	if e == nil {
		return nil
	}
	e.mu.Lock()
	if !e.life.Matches(life) {
		e.mu.Unlock()
		return nil
	}
	return e
}

// take returns the locked entry of a life, a new one if need be; nil if a later life is known.
func (b *Tracker) take(now time.Time, life fleet.Incarnation) *entry {
	b.mu.Lock()
	e := (*b.entries.Load())[life.ID]
	if e == nil {
		e = &entry{life: life}
		next := maps.Clone(*b.entries.Load())
		next[life.ID] = e
		b.entries.Store(&next)
	}
	b.mu.Unlock()
	e.mu.Lock()
	switch {
	case life.Before(e.life):
		e.mu.Unlock()
		return nil
	case !e.life.Matches(life):
		e.reset(life)
	case e.life.StartUnixMs == 0:
		e.life = life
	}
	e.said = now
	return e
}

// reset begins another life.
func (e *entry) reset(life fleet.Incarnation) {
	e.life, e.closesAt, e.pauseUntil, e.spread, e.resuming, e.triedAt = life, time.Time{}, time.Time{}, 0, false, time.Time{}
	e.noRoom, e.limit, e.line = time.Time{}, limit.Report{}, line{}
}

// Leaves takes the word of a life that it leaves, from itself or another daemon. ready is up to
// when the platform's list is known to have named it as not leaving, zero if it has not. It
// reports whether that is news.
func (b *Tracker) SetLeaving(now time.Time, life fleet.Incarnation, ready time.Time) bool {
	e := b.take(now, life)
	if e == nil {
		return false
	}
	defer e.mu.Unlock()
	if !e.closesAt.IsZero() {
		return false
	}
	e.closesAt = now
	if !ready.IsZero() {
		e.closesAt = earlier(now, ready).Add(time.Duration(lastResortPart * float64(b.opt.LeaveWithin)))
	}
	return true
}

// Leaving reports whether a life has said that it leaves.
func (b *Tracker) IsLeaving(life fleet.Incarnation) bool {
	e := b.find(life)
	if e == nil {
		return false
	}
	defer e.mu.Unlock()
	return !e.closesAt.IsZero()
}

// Pause takes the word of a life that this daemon must send nothing for a while; slots is how many
// requests it works on at once. The longest word counts. It reports whether a pause begins.
func (b *Tracker) ObservePause(now time.Time, life fleet.Incarnation, d time.Duration, slots int) bool {
	e := b.take(now, life)
	if e == nil {
		return false
	}
	defer e.mu.Unlock()
	begins := !now.Before(e.pauseUntil)
	if begins {
		e.spread = b.spread(d, slots)
	}
	e.pauseUntil = later(e.pauseUntil, now.Add(d+e.spread))
	e.resuming, e.triedAt = true, time.Time{}
	return begins
}

// spread returns by how much later than the endpoint has asked for this daemon resumes. Each daemon
// sends one request first: within the spread as many daemons resume as the endpoint works on
// requests in a second, so that they do not all come at once.
func (b *Tracker) spread(d time.Duration, slots int) time.Duration {
	all := time.Duration(float64(b.daemons.Load()) / float64(max(1, slots)) * float64(time.Second))
	b.rngMu.Lock()
	defer b.rngMu.Unlock()
	return time.Duration(b.rng.Float64() * float64(min(d, all)))
}

// Answered takes an answer without a word of a pause, to a request that was sent at some time: an
// endpoint that takes requests after a pause is open again. It reports whether that is news.
func (b *Tracker) ObserveAnswer(now, sent time.Time, life fleet.Incarnation) bool {
	e := b.find(life)
	if e == nil {
		return false
	}
	defer e.mu.Unlock()
	if !e.resuming || now.Before(e.pauseUntil) || sent.Before(e.pauseUntil) {
		return false
	}
	e.resuming = false
	return true
}

// Limit takes the limit that a life names, or that it names none any more.
func (b *Tracker) SetLimit(now time.Time, life fleet.Incarnation, w limit.Report) {
	e := b.take(now, life)
	if e == nil {
		return
	}
	defer e.mu.Unlock()
	e.limit = w
	if !w.Limited {
		e.noRoom = time.Time{}
	}
}

// Full keeps requests away for a while from an endpoint that has no room within its limit.
func (b *Tracker) CloseFor(now time.Time, life fleet.Incarnation, d time.Duration) {
	e := b.take(now, life)
	if e == nil {
		return
	}
	defer e.mu.Unlock()
	e.noRoom = now.Add(d)
}

// Look says whether a request might go to an endpoint now.
func (b *Tracker) Peek(now time.Time, life fleet.Incarnation, a Request) Decision {
	e := b.find(life)
	if e == nil {
		return Decision{Open: true}
	}
	defer e.mu.Unlock()
	return e.decideFor(now, a)
}

// Admit is the last question before a request is sent: an endpoint whose pause has just ended is
// taken by it for a moment. Decision.LastResort admits it, too.
func (b *Tracker) Admit(now time.Time, life fleet.Incarnation, a Request) Decision {
	e := b.find(life)
	if e == nil {
		return Decision{Open: true}
	}
	defer e.mu.Unlock()
	d := e.decideFor(now, a)
	if !d.Closed() && e.resuming {
		e.triedAt = now
	}
	return d
}

// decideFor is decide for one request: where others wait before it, the endpoint is not open.
func (e *entry) decideFor(now time.Time, a Request) Decision {
	d := e.decide(now)
	if d.Closed() || !e.orders() || e.line.ahead(a) == 0 {
		return d
	}
	reason := Limited
	if e.resuming {
		reason = Paused
	}
	return Decision{Reason: reason, OpensIn: trialEvery}
}

// decide is the one decision on what a life has said.
func (e *entry) decide(now time.Time) Decision {
	opens, reason := e.noRoom, Limited
	if e.resuming {
		if until := later(e.pauseUntil, e.nextTrial()); until.After(opens) {
			opens, reason = until, Paused
		}
	}
	switch {
	case !e.closesAt.IsZero() && !now.Before(e.closesAt):
		return Decision{Reason: Leaving}
	case now.Before(opens):
		return Decision{Reason: reason, OpensIn: opens.Sub(now)}
	case !e.closesAt.IsZero():
		return Decision{LastResort: true, Reason: Leaving}
	}
	return Decision{Open: true}
}

// nextTrial returns when the next request may go to an endpoint that resumes.
func (e *entry) nextTrial() time.Time {
	if e.triedAt.IsZero() {
		return time.Time{}
	}
	return e.triedAt.Add(trialEvery)
}

// LimitOf returns the limit that a life names.
func (b *Tracker) LimitOf(life fleet.Incarnation) (limit.Report, bool) {
	e := b.find(life)
	if e == nil {
		return limit.Report{}, false
	}
	defer e.mu.Unlock()
	return e.limit, e.limit.Limited
}

// Keep forgets endpoints that are not listed and have said nothing in a long time.
func (b *Tracker) Prune(now time.Time, listed func(fleet.Incarnation) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := maps.Clone(*b.entries.Load())
	maps.DeleteFunc(next, func(_ string, e *entry) bool { return e.forgettable(now, listed) })
	if len(next) < len(*b.entries.Load()) {
		b.entries.Store(&next)
	}
}

func (e *entry) forgettable(now time.Time, listed func(fleet.Incarnation) bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return now.Sub(e.said) > remember && now.After(e.pauseUntil) && !listed(e.life)
}

// Counts returns how many endpoints leave, and how many are in a pause.
func (b *Tracker) Counts(now time.Time) (leaving, paused int) {
	for _, e := range *b.entries.Load() {
		e.mu.Lock()
		if !e.closesAt.IsZero() {
			leaving++
		}
		if now.Before(e.pauseUntil) {
			paused++
		}
		e.mu.Unlock()
	}
	return leaving, paused
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
