// Package quota shares a rate out that only all daemons together can keep: what a workspace may
// send, or what an endpoint accepts. One daemon, the owner of the subject, keeps its token bucket.
// The others draw from it for the requests that they receive, or get an allowance in advance for
// requests to come. Owner and Client are state machines without I/O: callers pass draws, grants and
// the time, and carry out the decisions that they return.
//
// In each window all daemons together stay within the limits plus the agreed slack, whichever of
// them fail: allowances are reserved and granted to nobody else, and what a new owner grants
// without the state of its predecessor is part of the slack.
package quota

import (
	"math"
	"time"
)

// Limits are the bounds of one subject, in requests or tokens.
type Limits struct {
	Rate  float64 // units a second
	Burst float64
}

// Bounds define by how much all daemons together may exceed the limits in each window: by a share
// of what the limits allow in it (Overage) plus a fixed number of units (Slack).
type Bounds struct {
	Window  time.Duration
	Overage float64
	Slack   float64
	// DepthShare is the share of the permitted excess that a bucket holds in addition to the burst,
	// for subjects whose limits have no burst.
	DepthShare float64
	// NewOwnerShare is the share of the permitted excess that all owners started within one window
	// may grant together before they learn what their predecessors granted.
	NewOwnerShare float64
	// RankShare is the least share of its offered units that a rank is admitted while the subject is
	// over its limits, relative to the next more urgent rank. Zero: ranks are admitted alike, except
	// for the order of queued requests and of requests that find no room.
	RankShare float64
}

// DefaultRankShare is the value of Bounds.RankShare for workspaces. It lies between the promised
// bounds of 0.8 and 1: shares that are measured over some seconds vary by chance.
const DefaultRankShare = 0.9

// perWindow returns the units that the limits allow in a window.
func (b Bounds) perWindow(l Limits) float64 { return l.Rate*b.Window.Seconds() + l.Burst }

// sustainedBurst is the share of the burst that becomes available again in each window, for a
// workspace that keeps sending more than its rate. The rest of what a window allows is reserved for
// what partitioned daemons admit in addition.
const sustainedBurst = 0.5

// Sustained returns the rate, in units a second, that a workspace may keep up indefinitely.
func (b Bounds) Sustained(l Limits) float64 {
	if b.Window <= 0 {
		return l.Rate
	}
	return l.Rate + sustainedBurst*l.Burst/b.Window.Seconds()
}

// depth returns the capacity of a bucket. With a window, half of the burst and a share of the slack
// are available at once and the rest over time: if an owner fails with all its state, it has then
// admitted only little more, shortly before, than its successor assumes.
func (b Bounds) depth(l Limits) float64 {
	if b.Window <= 0 {
		return l.Burst
	}
	return min(l.Burst, l.Burst/2+startShare*b.excess(l)) + b.DepthShare*b.excess(l)
}

// inWindow returns the most that an owner grants in a window.
func (b Bounds) inWindow(l Limits) float64 { return b.perWindow(l) + b.DepthShare*b.excess(l) }

// excess returns the units by which all daemons may exceed the limits in a window.
func (b Bounds) excess(l Limits) float64 {
	return b.Overage*b.perWindow(l) + b.Slack
}

// IsolatedShare returns the share of the limits that all daemons which cannot reach the owner may
// admit together, beside what the owner grants. It is a share of the slack.
func (b Bounds) IsolatedShare(l Limits) float64 {
	if b.Window <= 0 {
		return 1
	}
	return min(1, isolatedShare*b.excess(l)/b.perWindow(l))
}

const (
	// isolatedShare is the share of the slack for daemons that cannot reach the owner.
	isolatedShare = 0.5
	// startShare is the share of the slack that a new owner grants before the other daemons have
	// reported what they got from its predecessor. The rest covers small errors of the counts.
	startShare = 0.3
	// DefaultNewOwnerShare is the value of Bounds.NewOwnerShare for subjects with a burst, which a
	// bucket holds already.
	DefaultNewOwnerShare = startShare
	// allowanceShare is the share of a window's free room that all daemons together may hold as
	// allowances. It is reserved, so the limits hold whoever uses it.
	allowanceShare = 0.35
	// allowanceFor is the time for which an allowance covers a daemon's own demand, and
	// AllowanceLifetime how long it is valid. Expired allowances count as used until their daemon
	// reports what it used.
	allowanceFor      = 4 * time.Second
	AllowanceLifetime = 5 * time.Second
	// minAllowance is the number of average requests from which an allowance is worth granting: a
	// fraction of a request admits none.
	minAllowance = 1
	// tightDemand is the demand, as a share of the rate, from which no allowances are granted, and
	// tightLevel the level, as a share of the depth, from which draws are paced.
	tightDemand = 0.75
	tightLevel  = 0.4
	// maxDraws is the number of draws a second that an owner should receive for a subject over its
	// limit: a call costs both daemons processor time, and refused requests need no answer of their
	// own. Beyond it daemons draw for a period in advance.
	maxDraws = 150
	// maxPace bounds the time between two draws of a daemon.
	maxPace = time.Second
	// surplusPer is the time over which the content of the bucket beyond its refill is granted
	// while draws are paced.
	surplusPer = time.Second
	// demandOver is the time over which demand is averaged: long enough for several draws of each
	// daemon, and short compared with the window.
	demandOver = time.Second
	// shareOver is the same for the demand of one daemon, which arrives in single requests: one of
	// them alone does not mean that more follow.
	shareOver = 10 * time.Second
	// recentOver is the time over which a daemon that cannot reach an owner sums up its past
	// grants.
	recentOver = 4 * time.Second
	// returnShare is the share of the rate that is promised to callers that were refused. The rest
	// goes to new requests, which can still be answered within their latency objectives.
	returnShare = 0.5
	// promiseShare is the share of a window within which units are promised, and returnedShare that
	// within which a caller counts as returning for them. Callers without a promise return a window
	// later, and must not take the units of others; promised ones may be late by the difference.
	promiseShare  = 0.85
	returnedShare = 0.95
	// maxReturnedShare is the share of the rate that returning callers may take from new requests. It
	// is above returnShare, since they return unevenly, and below 1, since callers may be taken for
	// returning that state short waits.
	maxReturnedShare = 0.8
	// smallCostShare is the share of the mean cost below which a request is not selected by rank, and
	// meanCostStep the weight of one request in that mean.
	smallCostShare = 0.1
	meanCostStep   = 0.02
	// overloadAfter is how long demand must exceed the rate before requests are selected by rank. It
	// is demandOver, so that a few requests of a small workspace don't count as overload.
	overloadAfter = demandOver
	// PromiseWait is how long a returning request waits for the units promised to it: as long as a
	// daemon may have to wait before it draws again. minPromisePause is the least time between two
	// of its draws, half of the least retry time.
	PromiseWait     = maxPace
	minPromisePause = minRetryAfter / 2
	// emptyShare is the share of the depth below which a bucket counts as empty for the selection.
	emptyShare = 0.1
	// overSelect is by how much the selected requests exceed the available units: the demand is known
	// with a delay, and units must not stay unused because it has fallen.
	overSelect = 1.25
	// sameTime is how far apart the times may be that a daemon reports for one grant in two draws.
	sameTime = 50 * time.Millisecond
	// shareExpiry is how long an owner keeps the state of a daemon that does not draw.
	shareExpiry = 30 * time.Second
	// scarceFor is how long less urgent requests are granted nothing after a request found no room.
	// Callers that keep asking draw several times within it.
	scarceFor = time.Second
	// idleAfter is how long the state of a subject without requests is kept.
	idleAfter = 10 * time.Minute
	// maxRoomWait bounds Grant.RetryAfter where the rate is next to nothing.
	maxRoomWait = time.Minute
)

// Draw is a daemon's call to the owner of a subject.
type Draw struct {
	Daemon  string
	Subject string // name of the workspace, or incarnation of the endpoint
	Limits  Limits
	Need    float64 // units of the requests that wait for the answer
	Waiting int     // requests that wait for the answer
	Rank    int     // of the most urgent of them; 0 is the most urgent
	// TimeLeft is the time until the caller of the most urgent request gives up. Queued is set if
	// that request draws again until it is admitted. Queued requests are admitted in order over all
	// daemons.
	TimeLeft time.Duration
	Queued   bool
	// Used is what the daemon has admitted from its allowance since its last draw.
	Used float64
	// Offered and Requests are the units and the number of all requests that callers have sent
	// since the last draw, including those that wait and those that were refused.
	Offered  float64
	Requests int
	// ByRank is the part of Offered that new requests of each rank need, and Returned the part that
	// callers need which were refused before. Daemons that do not know ranks leave both empty.
	ByRank   RankUnits
	Returned float64
	// OtherGrants are the grants of other owners within the window; the receiver counts each of
	// them once. Summary is the latest summary of another owner, nil if there is none.
	OtherGrants []PastGrant
	Summary     *Summary
	// WantSummary asks for the owner's summary.
	WantSummary bool
}

// Summary is the state of an owner's bucket, for its successor.
type Summary struct {
	Owner string // empty in a grant: the owner that grants
	Age   time.Duration
	Level float64
	// Used is what all daemons got within the window, divided into equal periods, the latest first.
	Used []float64
}

// PastGrant is what a daemon got from an owner at some time.
type PastGrant struct {
	Owner string // the owner that granted it
	Age   time.Duration
	Units float64
}

// Grant is the answer to a Draw.
type Grant struct {
	Units float64 // for the requests that wait; already taken from the bucket
	// Allowance is what the daemon may admit before it draws again, within AllowanceLifetime. It
	// replaces the previous allowance.
	Allowance float64
	// NextDrawIn is the time before which the daemon must not draw again.
	NextDrawIn time.Duration
	// NearLimit is set if the subject is near its limit or over it. SpareRate is then this daemon's
	// share of the rate that is left for retrying callers, in units a second; zero while new
	// requests alone exceed the rate.
	NearLimit bool
	SpareRate float64
	// RateShare is the share of the rate, in units a second, that the daemon can count on, by its
	// own and the other daemons' recent demand; zero while more urgent requests leave none.
	RateShare float64
	// RetryAfter is the time until there is room for one more request like the waiting ones, if
	// nobody else takes it.
	RetryAfter time.Duration
	// Selection is set if the subject is over its limits and its requests are selected by rank.
	Selection *Selection
	Summary   *Summary // set if the draw asked for it
}

// meter averages events that arrive in bursts.
type meter struct {
	over  time.Duration
	value float64
	at    time.Time
}

func (m *meter) add(now time.Time, x float64) {
	m.value = m.decayed(now) + x
	m.at = now
}

func (m *meter) decayed(now time.Time) float64 {
	if m.at.IsZero() {
		return 0
	}
	return m.value * math.Exp(-now.Sub(m.at).Seconds()/m.over.Seconds())
}

// rate returns the average per second.
func (m *meter) rate(now time.Time) float64 { return m.decayed(now) / m.over.Seconds() }
