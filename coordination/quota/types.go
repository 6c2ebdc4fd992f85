// Package quota shares a rate out that only all daemons together can keep: what a workspace
// may send, or what an endpoint takes. One daemon, the owner of that subject, keeps its token
// bucket; the others draw from it for the requests that they get, or are authorized ahead for
// those that will follow. Both sides are state machines without I/O: what was asked and the time
// go in, grants and decisions come out.
//
// What all daemons let through in a window stays within the limits and the slack that was
// agreed on, whoever fails: what is authorized ahead is room that nobody else gets, and what an
// owner gives that knows nothing of the one before is a part of the slack.
package quota

import (
	"math"
	"time"
)

// Limits are the bounds of one subject, in requests or tokens.
type Limits struct {
	Rate  float64 // a second
	Burst float64
}

// Bounds say how far all daemons together may be over: in each window, a part of what the
// limits allow in it, and a fixed number of units.
type Bounds struct {
	Window  time.Duration
	Overage float64
	Slack   float64
	// Depth is the part of what may be over that a bucket holds beside the burst, for
	// subjects whose limits have none.
	DepthShare float64
	// Young is the part of what may be over that all owners together give who have started
	// within one window, before they are told what went through.
	NewOwnerShare float64
}

// perWindow returns what the limits allow in a window.
func (b Bounds) perWindow(l Limits) float64 { return l.Rate*b.Window.Seconds() + l.Burst }

// sustainedBurst is the part of the burst that is there again in each window, for a workspace
// that goes on sending more than its rate. The rest of what a window allows is kept for what
// daemons that are cut off let through beside it.
const sustainedBurst = 0.5

// Sustained returns the rate at which a workspace may go on for ever.
func (b Bounds) Sustained(l Limits) float64 {
	if b.Window <= 0 {
		return l.Rate
	}
	return l.Rate + sustainedBurst*l.Burst/b.Window.Seconds()
}

// depth returns what a bucket holds at the most. With a window half of the burst, and a part
// of the slack, may come at once and the rest as it goes on: an owner that has ended with all
// that it knew has then let through little more, shortly before, than the one after it takes
// for granted.
func (b Bounds) depth(l Limits) float64 {
	if b.Window <= 0 {
		return l.Burst
	}
	return min(l.Burst, l.Burst/2+startPart*b.over(l)) + b.DepthShare*b.over(l)
}

// inWindow returns what an owner gives in a window at the most.
func (b Bounds) inWindow(l Limits) float64 { return b.perWindow(l) + b.DepthShare*b.over(l) }

// over returns the units by which all daemons may exceed the limits in a window.
func (b Bounds) over(l Limits) float64 {
	return b.Overage*b.perWindow(l) + b.Slack
}

// AlonePart returns which part of the limits all daemons together may let through beside the
// owner while they do not reach it: a part of the slack.
func (b Bounds) IsolatedShare(l Limits) float64 {
	if b.Window <= 0 {
		return 1
	}
	return min(1, alonePart*b.over(l)/b.perWindow(l))
}

const (
	// alonePart is the part of the slack for daemons that reach no owner.
	alonePart = 0.5
	// startPart is the part of the slack that a new owner gives before the others have told
	// it what they got from the one before. The rest is for counts that are a little off.
	startPart = 0.3
	// YoungPart is Bounds.Young for subjects with a burst, which a bucket holds already.
	DefaultNewOwnerShare = startPart
	// aheadPart is the part of what a window has room for that may be authorized ahead, over
	// all daemons. It is room that nobody else gets, so the limits hold whoever uses it.
	aheadPart = 0.35
	// aheadFor is for how much of a daemon's own demand it is authorized ahead, and AheadLife
	// how long that is good: what runs out unused counts as used until its daemon is heard.
	aheadFor          = 4 * time.Second
	AllowanceLifetime = 5 * time.Second
	// leastAhead is the number of average requests from which ahead is worth a word: a
	// part of a request lets none through.
	leastAhead = 1
	// tightDemand is the demand, as a part of the rate, from which nothing is authorized
	// ahead any more, and tightLevel the level, as a part of the depth, from which draws are
	// paced.
	tightDemand = 0.75
	tightLevel  = 0.4
	// asksMost is the number of draws a second that an owner is to get for a subject
	// which is over its limit: a call costs both daemons processor time, and what is refused
	// needs no answer of its own. Beyond it daemons draw for a time ahead.
	asksMost = 150
	// paceMost bounds the time between two draws of a daemon.
	paceMost = time.Second
	// surplusPer is the time in which what the bucket holds beyond its refill is given out
	// while draws are paced.
	surplusPer = time.Second
	// demandOver is the time over which demand is averaged: some draws of each daemon, and
	// short beside the window.
	demandOver = time.Second
	// shareOver is the same for one daemon's demand, which comes in single requests: one
	// alone is no reason to expect the next.
	shareOver = 10 * time.Second
	// latelyOver is the time over which a daemon that reaches no owner adds up what it got.
	latelyOver = 4 * time.Second
	// rushFor is how long callers may ask for more than the rate before that is taken to
	// last: those that have waited for daemons to start again come within it.
	rushFor = 2 * time.Second
	// sameTime is how far apart one moment may seem that a daemon tells twice.
	sameTime = 50 * time.Millisecond
	// forgetAfter is how long a daemon that does not draw is remembered.
	forgetAfter = 30 * time.Second
	// scarceFor is how long after a request found no room less urgent ones get none: callers
	// that go on asking are heard several times in it.
	scarceFor = time.Second
	// idleAfter is how long a subject that nobody sends for is remembered.
	idleAfter = 10 * time.Minute
	// roomMost bounds the time until there is room, where the rate is next to nothing.
	roomMost = time.Minute
)

// Draw is a daemon's question to a subject's owner.
type Draw struct {
	Daemon  string
	Subject string // name of the workspace, or life of the endpoint
	Limits  Limits
	Need    float64 // units of the requests that wait for the answer
	Waiting int     // requests that do
	Rank    int     // of the most urgent of them; 0 is first
	// Left is the time until the caller of that one leaves, and Waits says that it asks again
	// until it is let through. Requests that wait are let through in order over all daemons.
	TimeLeft time.Duration
	Queued   bool
	// Used is what it has let through of what it was authorized ahead, since its last draw.
	Used float64
	// Offered and Requests are what callers have asked for since its last draw, those that
	// wait and those refused included.
	Offered  float64
	Requests int
	// Elsewhere is what it got from other owners within the window, as far as it has not
	// told this one, and Summary the last word of another owner; nil if there is none.
	OtherGrants []PastGrant
	Summary     *Summary
	// Inform asks for the owner's summary.
	WantSummary bool
}

// Summary is how an owner's bucket stands, for the one that follows it.
type Summary struct {
	Owner string // empty in a grant: the one that grants
	Age   time.Duration
	Level float64
	// Used is what all daemons got within the window, in equal parts of it, the last one
	// first.
	Used []float64
}

// Past is what was got at some time.
type PastGrant struct {
	Owner string // that gave it
	Age   time.Duration
	Units float64
}

// Grant is the answer.
type Grant struct {
	Units float64 // for the requests that wait; taken out of the bucket
	// Ahead is what the daemon may let through before it draws again, within AheadLife;
	// instead of what it was authorized before.
	Allowance float64
	// Again is the time before which the daemon must not draw again.
	NextDrawIn time.Duration
	// Over says that the subject is near its limit or over it. Spare is then what this
	// daemon's part of the rate leaves for callers that come back, in units a second; zero
	// while new requests alone are too many.
	NearLimit bool
	SpareRate float64
	// Part is the part of the rate, in units a second, that the daemon may count on by what it
	// and the others have asked for lately; zero while more urgent requests leave none.
	RateShare float64
	// RoomIn is the time until there is room for one more request like those that wait, if
	// nobody else takes it.
	RetryAfter time.Duration
	Summary    *Summary // if it was asked for
}

// meter averages events that come in lumps.
type meter struct {
	over  time.Duration
	value float64
	at    time.Time
}

func (m *meter) add(now time.Time, x float64) {
	m.value = m.fading(now) + x
	m.at = now
}

func (m *meter) fading(now time.Time) float64 {
	if m.at.IsZero() {
		return 0
	}
	return m.value * math.Exp(-now.Sub(m.at).Seconds()/m.over.Seconds())
}

// rate returns the average a second.
func (m *meter) rate(now time.Time) float64 { return m.fading(now) / m.over.Seconds() }
