package quota

import (
	"math"
	"time"
)

// Owner keeps the buckets of the subjects that this daemon owns, or that other daemons take it to
// own. It is not safe for concurrent use.
//
// Invariant: grants that have been accounted for never exceed the content of the buckets;
// allowances of all daemons are reserved room of the window that nobody else gets.
type Owner struct {
	self    string
	bounds  Bounds
	started time.Time
	buckets map[string]*bucket
}

// NewOwner returns an owner that has granted nothing yet. self is its name; its daemon started at
// the given time.
func NewOwner(self string, bounds Bounds, started time.Time) *Owner {
	return &Owner{self: self, bounds: bounds, started: started, buckets: map[string]*bucket{}}
}

type bucket struct {
	level               float64
	levelAt             time.Time // time of level
	keptSince           time.Time // start of the time for which this daemon has kept the bucket without interruption
	grantedAt           time.Time // time of the latest grant
	informedUntil       time.Time // time up to which the grants of other owners are known; zero if no summary has arrived
	window              window
	demand              meter           // units
	byRank              [MaxRanks]meter // units of new requests
	returned            meter           // units of returning requests
	requests            meter
	selecting           bool      // daemons select requests by rank
	lastCalm            time.Time // latest time at which demand was below the rate
	shares              map[string]*share
	allowances          float64 // of all daemons
	allowancesExpiredAt time.Time
	scarceAt            map[int]time.Time // by rank: when requests last found no room
	heads               map[string]head   // by daemon
}

// head is the first of the requests that wait at a daemon.
type head struct {
	rank     int
	deadline time.Time // when its caller gives up
	until    time.Time // it draws again by then, or it no longer waits
}

func (h head) before(o head) bool {
	return h.rank < o.rank || h.rank == o.rank && h.deadline.Before(o.deadline)
}

// headSlack is how much later than Grant.RetryAfter a daemon may draw again without losing its
// place.
const headSlack = 250 * time.Millisecond

// share is the state of one daemon.
type share struct {
	demand         meter
	requests       meter
	allowance      float64 // allowance not yet accounted for
	allowanceUntil time.Time
	expired        float64   // expired allowance, counted as used
	reportedUntil  time.Time // time up to which it has reported grants of other owners
	lastDraw       time.Time
}

// Draw answers a daemon's draw. fraction is the share of the limits that this owner may grant:
// below 1 while daemons are missing that may draw from another owner.
func (o *Owner) Draw(now time.Time, d Draw, fraction float64) Grant {
	l := Limits{Rate: d.Limits.Rate * fraction, Burst: d.Limits.Burst * fraction}
	b := o.bucket(now, d.Subject, o.bounds.depth(l))
	o.applySummary(now, b, d)
	rate := o.bounds.Sustained(l)
	if b.uninformed(now, o.bounds.Window) {
		rate = l.Rate
	}
	b.refill(now, rate, o.bounds.depth(l))
	b.expireAllowances(now)
	s := b.share(d.Daemon)
	o.account(now, b, s, d)
	slack := fraction * o.bounds.excess(d.Limits)
	withheld := o.withheld(now, b, l, o.bounds.depth(l), startShare*slack)
	b.selecting = o.selects(now, b, rate, o.bounds.depth(l), b.level-withheld)
	g := Grant{NearLimit: true}
	if !b.outranked(now, d.Rank) {
		g = o.grant(now, b, s, d, l, slack)
		g.RateShare = rate * b.shareOf(now, s)
	}
	if g.Units < d.Need {
		b.scarceAt[d.Rank] = now
	}
	g.RetryAfter = max(g.NextDrawIn, o.retryAfter(now, b, d, l, slack))
	b.noteHead(now, d, g)
	if g.Selection = o.selection(now, b, rate, b.level-withheld); g.Selection != nil {
		g.NearLimit, g.SpareRate = true, b.spareRate(now, rate)*b.shareOf(now, s)
	}
	if g.Units > 0 || g.Allowance > 0 {
		b.grantedAt = now
	}
	if d.WantSummary {
		g.Summary = &Summary{Level: b.level - withheld, Used: b.window.periods(now)}
	}
	return g
}

// grant decides what a daemon gets. slack is by how much all daemons together may exceed the
// limits.
func (o *Owner) grant(now time.Time, b *bucket, s *share, d Draw, l Limits, slack float64) Grant {
	rate, depth := o.bounds.Sustained(l), o.bounds.depth(l)
	windowRoom := b.window.room(now, o.bounds, l) - b.allowances
	available := min(b.level, windowRoom)
	room := min(available, b.level-o.withheld(now, b, l, depth, startShare*slack)) - b.unitsBefore(now, d)
	tight := b.demand.rate(now) > tightDemand*rate
	if available >= tightLevel*depth && (room >= tightLevel*startShare*slack || !tight) {
		g := Grant{Units: b.take(now, d, room, depth)}
		if !tight {
			g.Allowance = b.grantAllowance(now, s, allowanceShare*(windowRoom+b.allowances))
		}
		return g
	}
	demandShare := s.demand.rate(now) / max(b.totalDemand(now), 1)
	g := Grant{NearLimit: true, SpareRate: b.spareRate(now, rate) * demandShare}
	if g.NextDrawIn = o.pace(now, b, rate); g.NextDrawIn == 0 {
		g.Units = b.take(now, d, room, depth)
		return g
	}
	surplus := max(0, room) / surplusPer.Seconds()
	perSecond := (rate + surplus) * demandShare // units a second
	if perSecond*AllowanceLifetime.Seconds() < d.meanCost() {
		g.Units = b.take(now, d, room, depth) // its share would expire before it amounts to a request
		return g
	}
	g.Units = max(0, min(perSecond*g.NextDrawIn.Seconds(), room))
	b.spend(now, g.Units)
	return g
}

// retryAfter returns the time until the bucket holds one more request like those that wait, rounded
// up, so that a daemon that draws again at that time finds it.
func (o *Owner) retryAfter(now time.Time, b *bucket, d Draw, l Limits, slack float64) time.Duration {
	depth, rate := o.bounds.depth(l), o.bounds.Sustained(l)
	missing := min(d.meanCost(), depth) + b.unitsBefore(now, d) - (b.level - o.withheld(now, b, l, depth, startShare*slack))
	if missing <= 0 || rate <= 0 {
		return 0
	}
	return min(maxRoomWait, time.Duration(math.Ceil(missing/rate*1000))*time.Millisecond)
}

// meanCost returns the mean cost of the waiting requests.
func (d *Draw) meanCost() float64 {
	if d.Waiting <= 0 {
		return 0
	}
	return d.Need / float64(d.Waiting)
}

func (o *Owner) bucket(now time.Time, subject string, burst float64) *bucket {
	b := o.buckets[subject]
	if b == nil {
		b = &bucket{
			level: burst, levelAt: now, keptSince: now, allowancesExpiredAt: now, lastCalm: now, window: newWindow(o.bounds.Window),
			demand: meter{over: demandOver}, returned: meter{over: demandOver}, requests: meter{over: demandOver}, shares: map[string]*share{}, scarceAt: map[int]time.Time{}, heads: map[string]head{},
		}
		for rank := range b.byRank {
			b.byRank[rank].over = demandOver
		}
		o.buckets[subject] = b
	}
	return b
}

// uninformed reports whether the grants of the previous owner are unknown. After a window they no
// longer matter.
func (b *bucket) uninformed(now time.Time, window time.Duration) bool {
	return b.informedUntil.IsZero() && now.Sub(b.keptSince) < window
}

// withheld returns how much of a bucket an owner withholds that lacks its predecessor's state: it
// grants an initial amount, and what the rate adds.
//
// All daemons may have failed together and lost their state, and may do so repeatedly. An owner
// that has started within the window therefore grants only the share of its initial amount that
// corresponds to its age within the window: however often daemons start within a window, their
// initial amounts add up to no more than one.
func (o *Owner) withheld(now time.Time, b *bucket, l Limits, depth, start float64) float64 {
	if !b.uninformed(now, o.bounds.Window) {
		return 0
	}
	if age := now.Sub(o.started); age < o.bounds.Window {
		unused := l.Rate * b.keptSince.Sub(o.started).Seconds() // before the first draw
		newOwners := o.bounds.NewOwnerShare * start / startShare
		start = min(start, newOwners*age.Seconds()/o.bounds.Window.Seconds()+unused)
	}
	return max(0, depth-start)
}

// applySummary applies the summary of another owner, if that owner has granted something since this
// one did, or if this one has started without a summary.
func (o *Owner) applySummary(now time.Time, b *bucket, d Draw) {
	if d.Summary == nil || d.Summary.Owner == o.self {
		return
	}
	asOf := now.Add(-d.Summary.Age)
	uninformed := b.uninformed(now, o.bounds.Window)
	if !asOf.After(b.grantedAt) && !uninformed || !asOf.After(b.informedUntil) {
		return
	}
	if asOf.After(b.grantedAt) {
		b.level = d.Summary.Level
		b.levelAt = asOf // what the rate has added since is refilled now
		b.window.clear()
	} else {
		b.level = min(b.level, d.Summary.Level) // this owner's grants are in its window already
	}
	period := o.bounds.Window / summaryPeriods
	for i, units := range d.Summary.Used {
		b.window.add(asOf.Add(-time.Duration(i)*period), units)
	}
	b.informedUntil = asOf
}

func (b *bucket) refill(now time.Time, rate, burst float64) {
	if d := now.Sub(b.levelAt); d > 0 {
		b.level += rate * d.Seconds()
		b.levelAt = now
	}
	b.level = min(b.level, burst)
}

// outranked reports whether more urgent requests than those of a rank have recently found no room:
// the available units go to them.
func (b *bucket) outranked(now time.Time, rank int) bool {
	for other, at := range b.scarceAt {
		if other < rank && now.Sub(at) < scarceFor {
			return true
		}
	}
	return false
}

// unitsBefore returns the units of the requests that wait at other daemons and come before a draw.
func (b *bucket) unitsBefore(now time.Time, d Draw) float64 {
	if d.Need <= 0 {
		return 0
	}
	first := d.first(now)
	units := 0.0
	for daemon, h := range b.heads {
		if daemon != d.Daemon && now.Before(h.until) && h.before(first) {
			units += d.meanCost()
		}
	}
	return units
}

// first returns the most urgent request of a draw as a waiting one.
func (d *Draw) first(now time.Time) head { return head{rank: d.Rank, deadline: now.Add(d.TimeLeft)} }

// noteHead records a request that keeps waiting after a grant. A daemon lets no request draw before
// a more urgent one of its own, so an earlier recorded one no longer waits.
func (b *bucket) noteHead(now time.Time, d Draw, g Grant) {
	first := d.first(now)
	if d.Need <= 0 || g.Units >= d.Need || b.heads[d.Daemon].before(first) {
		delete(b.heads, d.Daemon)
	}
	if d.Queued && g.Units < d.Need {
		first.until = now.Add(g.RetryAfter + headSlack)
		b.heads[d.Daemon] = first
	}
}

// spend takes units from the bucket. A level below zero is refilled at the rate.
func (b *bucket) spend(now time.Time, units float64) {
	b.level -= units
	b.window.add(now, units)
}

// expireAllowances ends expired allowances: the window counts them as used until their daemon
// reports otherwise.
func (b *bucket) expireAllowances(now time.Time) {
	if now.Sub(b.allowancesExpiredAt) < AllowanceLifetime/4 {
		return
	}
	b.allowancesExpiredAt = now
	for id, s := range b.shares {
		if s.allowance > 0 && now.After(s.allowanceUntil) {
			b.window.add(now, s.allowance)
			b.allowances -= s.allowance
			s.expired, s.allowance = s.expired+s.allowance, 0
		}
		if now.Sub(s.lastDraw) > shareExpiry {
			delete(b.shares, id)
			delete(b.heads, id)
		}
	}
}

func (b *bucket) share(daemon string) *share {
	s := b.shares[daemon]
	if s == nil {
		s = &share{demand: meter{over: shareOver}, requests: meter{over: shareOver}}
		b.shares[daemon] = s
	}
	return s
}

// account applies what a daemon reports about the time since its last draw.
func (o *Owner) account(now time.Time, b *bucket, s *share, d Draw) {
	b.spend(now, d.Used)
	b.window.add(now, -s.expired)
	b.allowances -= s.allowance
	s.expired, s.allowance = 0, 0
	reportedUntil := s.reportedUntil
	for _, p := range d.OtherGrants {
		at := now.Add(-p.Age)
		if p.Owner == o.self || !at.After(b.informedUntil) || !at.After(reportedUntil.Add(sameTime)) {
			continue
		}
		b.window.add(at, p.Units)
		b.level -= p.Units
		s.reportedUntil = at
	}
	s.lastDraw = now
	s.demand.add(now, d.Offered)
	s.requests.add(now, float64(d.Requests))
	b.demand.add(now, d.Offered)
	b.accountRanks(now, d)
	b.requests.add(now, float64(d.Requests))
	if b.demand.rate(now) < d.Limits.Rate {
		b.lastCalm = now
	}
}

// spareRate returns what is promised to retrying callers, in units a second: what the demand leaves
// of the rate, and at least returnShare of it.
func (b *bucket) spareRate(now time.Time, rate float64) float64 {
	return max(rate-b.demand.rate(now), returnShare*rate)
}

// take takes the units that waiting requests need: as many of several requests as there is room
// for. A request larger than the burst is admitted when the bucket is full, and is paid off
// afterwards.
func (b *bucket) take(now time.Time, d Draw, room, burst float64) float64 {
	if d.Waiting == 0 || d.Need <= 0 {
		return 0
	}
	mean := d.meanCost()
	units := d.Need
	if room < min(d.Need, burst) {
		units = max(0, mean*math.Floor(room/mean))
	}
	if units == 0 && room >= min(mean, burst) {
		units = mean
	}
	b.spend(now, units)
	return units
}

// grantAllowance returns the allowance of a daemon. limit bounds the allowances of all daemons.
func (b *bucket) grantAllowance(now time.Time, s *share, limit float64) float64 {
	requests := s.requests.rate(now)
	if requests <= 0 {
		return 0
	}
	mean := s.demand.rate(now) / requests
	wanted := min(s.demand.rate(now)*allowanceFor.Seconds(), limit/float64(len(b.shares)), limit-b.allowances)
	if wanted < minAllowance*mean {
		return 0
	}
	s.allowance, s.allowanceUntil = wanted, now.Add(AllowanceLifetime)
	b.allowances += wanted
	return wanted
}

// pace returns the time between two draws of a daemon that keeps the owner's load within maxDraws;
// zero where each request may have its own draw. Requests that are not selected need no draw.
func (o *Owner) pace(now time.Time, b *bucket, rate float64) time.Duration {
	requests := b.requests.rate(now)
	if b.selecting {
		requests *= min(1, rate/b.demand.rate(now))
	}
	if requests <= maxDraws {
		return 0
	}
	return min(maxPace, time.Duration(len(b.shares))*time.Second/maxDraws)
}

// totalDemand returns the demand of all daemons, averaged as that of each one.
func (b *bucket) totalDemand(now time.Time) float64 {
	sum := 0.0
	for _, s := range b.shares {
		sum += s.demand.rate(now)
	}
	return sum
}

// shareOf returns a daemon's share of the demand.
func (b *bucket) shareOf(now time.Time, s *share) float64 {
	total := b.totalDemand(now)
	if total <= 0 {
		return 0
	}
	return s.demand.rate(now) / total
}

// View is the state of a bucket, for display to operators.
type View struct {
	Level     float64 `json:"level"`
	Demand    float64 `json:"demand"`    // units a second that callers request at all daemons
	Window    float64 `json:"in_window"` // units admitted in the current window
	Allowance float64 `json:"ahead"`     // units that daemons may admit without a draw
	Daemons   int     `json:"daemons"`   // daemons that have drawn recently
	Informed  bool    `json:"informed"`  // whether the grants of the previous owner are known
}

// Expire removes the buckets that nobody has drawn from for longer than idleAfter.
func (o *Owner) Expire(now time.Time) {
	for subject, b := range o.buckets {
		if now.Sub(b.levelAt) > idleAfter {
			delete(o.buckets, subject)
		}
	}
}

// View returns the state of a subject's bucket, if there is one here.
func (o *Owner) View(now time.Time, subject string) (View, bool) {
	b := o.buckets[subject]
	if b == nil {
		return View{}, false
	}
	if b.window.step > 0 {
		b.window.advance(now)
	}
	return View{Level: b.level, Demand: b.demand.rate(now), Window: b.window.sum, Allowance: b.allowances, Daemons: len(b.shares), Informed: !b.informedUntil.IsZero()}, true
}
