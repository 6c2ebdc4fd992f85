package quota

import "time"

// Verdict is the decision on a request.
type Verdict int

// The verdicts.
const (
	Admit Verdict = iota
	// AskOwner: the daemon has to draw from the owner first.
	AskOwner
	// Refuse: the subject is over its limits.
	Refuse
)

const (
	// minRetryAfter is the least time after which a refused caller should retry, and
	// defaultMaxRetryAfter the greatest where there is no window.
	minRetryAfter        = 100 * time.Millisecond
	defaultMaxRetryAfter = 5 * time.Second
	// overloadFor is how long a grant that shows new requests alone to exceed the quota stays in
	// force: daemons that draw receive many grants within it.
	overloadFor = time.Second
	// summaryEvery is the least time between two summaries that a daemon requests from an owner: a
	// summary takes as many bytes as the rest of the answer, and the daemons themselves report what
	// was granted since.
	summaryEvery = 500 * time.Millisecond
	// grantStep is the share of a window within which grants of one owner are recorded as one.
	grantStep = 1.0 / 16
)

// Client is the side of one daemon that draws, for all subjects. It is not safe for concurrent use.
type Client struct {
	self          string
	maxRetryAfter time.Duration
	phase         float64 // see phaseOf
	accounts      map[string]*account
}

// NewClient returns the client of a daemon.
func NewClient(self string, bounds Bounds) *Client {
	c := &Client{self: self, phase: phaseOf(self), maxRetryAfter: bounds.Window, accounts: map[string]*account{}}
	if c.maxRetryAfter <= 0 {
		c.maxRetryAfter = defaultMaxRetryAfter
	}
	return c
}

type account struct {
	paid           float64 // already taken from the owner's bucket
	paidUntil      time.Time
	allowance      float64
	allowanceUntil time.Time
	used           float64 // of the allowance, since the last draw
	offered        float64 // units since the last draw
	requests       int
	byRank         RankUnits  // units of new requests since the last draw
	returned       float64    // units of returning requests since the last draw
	selection      *Selection // by the owner's latest grant; nil: all requests are let through
	selectionUntil time.Time
	credit         [MaxRanks]float64 // of new requests, by which the selection is carried out
	returnedCredit float64           // of returning requests
	meanCost       float64           // moving average of the units of a request
	drawFrom       time.Time
	retryAt        time.Time // by the owner's latest grant
	usedAt         time.Time // time of the latest request
	spareRate      float64   // for retrying callers, in units a second
	rateShare      float64   // in units a second
	overloadUntil  time.Time // until then new requests alone are expected to exceed the quota
	backlog        float64   // refused units that are expected back, at backlogAt
	backlogAt      time.Time
	grants         []received // within the last window, oldest first
	summary        *Summary   // the latest summary of an owner
	summaryOwner   string
	summaryAt      time.Time
	sent           Draw // the latest draw
	sentAt         time.Time
}

// received is what an owner has granted.
type received struct {
	owner string
	from  time.Time
	at    time.Time // time of the latest of them
	units float64
}

func (c *Client) account(subject string) *account {
	a := c.accounts[subject]
	if a == nil {
		a = &account{returnedCredit: c.phase}
		for rank := range a.credit {
			a.credit[rank] = c.phase
		}
		c.accounts[subject] = a
	}
	return a
}

// lapse drops paid units that no request has used within AllowanceLifetime.
func (a *account) lapse(now time.Time) {
	if now.After(a.paidUntil) {
		a.paid = 0
	}
}

// pay adds units that the owner has taken from the bucket.
func (a *account) pay(now time.Time, units float64) {
	a.lapse(now)
	a.paid += units
	a.paidUntil = now.Add(AllowanceLifetime)
}

// Offer counts a caller's request. It is called once for each request.
func (c *Client) Offer(now time.Time, subject string, cost float64) {
	a := c.account(subject)
	a.usedAt = now
	a.offered += cost
	a.requests++
}

// Take decides on a request from what this daemon holds. late means that the request has already
// missed its latency objective: while new requests alone exceed the quota, the available units go
// to requests that can still meet theirs.
func (c *Client) Take(now time.Time, subject string, cost float64, late bool) Verdict {
	a := c.account(subject)
	if late && now.Before(a.overloadUntil) {
		return Refuse
	}
	a.lapse(now)
	if now.After(a.allowanceUntil) {
		a.allowance = 0
	}
	switch {
	case a.paid >= cost:
		a.paid -= cost
		return Admit
	case a.paid+a.allowance >= cost:
		rest := cost - a.paid
		a.paid = 0
		a.allowance -= rest
		a.used += rest
		return Admit
	case now.Before(a.drawFrom):
		return Refuse
	}
	return AskOwner
}

// AddRefusal counts a refusal, and returns when the caller should retry: after the callers refused
// before it, at the rate at which the quota has room for them. If the owner promises no room for
// retries, the caller should retry a window later.
func (c *Client) AddRefusal(now time.Time, subject string, cost float64) time.Duration {
	a := c.account(subject)
	if a.spareRate <= 0 {
		a.backlog, a.backlogAt = 0, now
		return c.maxRetryAfter
	}
	a.backlog = min(a.currentBacklog(now)+cost, a.spareRate*c.maxRetryAfter.Seconds())
	a.backlogAt = now
	return c.Wait(now, subject)
}

// AddPatientRefusal is AddRefusal for a caller that states for how long it waits. Units are promised
// only for a time within its wait and within promiseShare of a window. A caller without a promise
// should retry a window later, or when there is room if that is sooner.
func (c *Client) AddPatientRefusal(now time.Time, subject string, cost float64, timeLeft time.Duration) time.Duration {
	a := c.account(subject)
	if a.spareRate <= 0 {
		return c.AddRefusal(now, subject, cost)
	}
	backlog := a.currentBacklog(now) + cost
	after := max(c.Wait(now, subject), time.Duration(backlog/a.spareRate*float64(time.Second)))
	switch {
	case after > time.Duration(promiseShare*float64(c.maxRetryAfter)):
		return c.maxRetryAfter
	case after < timeLeft:
		a.backlog, a.backlogAt = backlog, now
	}
	return after
}

// MayBePromised reports whether units may have been promised to a caller that made its first attempt
// the given time ago, and was then refused.
func (c *Client) MayBePromised(age time.Duration) bool {
	return age >= minRetryAfter && age < time.Duration(returnedShare*float64(c.maxRetryAfter))
}

// Wait returns the time until a request is admitted after the callers that were refused before it.
func (c *Client) Wait(now time.Time, subject string) time.Duration {
	a := c.account(subject)
	if a.spareRate <= 0 && now.Before(a.overloadUntil) {
		return c.maxRetryAfter
	}
	wait := max(a.drawFrom.Sub(now), a.retryAt.Sub(now), minRetryAfter)
	if a.spareRate <= 0 {
		return wait
	}
	return max(wait, time.Duration(a.currentBacklog(now)/a.spareRate*float64(time.Second)))
}

// currentBacklog returns the refused units whose callers have yet to retry.
func (a *account) currentBacklog(now time.Time) float64 {
	return max(0, a.backlog-a.spareRate*now.Sub(a.backlogAt).Seconds())
}

// RetryAfter returns the time until there is room for one more request, by the owner's latest
// grant.
func (c *Client) RetryAfter(now time.Time, subject string) time.Duration {
	return max(0, c.account(subject).retryAt.Sub(now))
}

// RateShare returns the share of the rate, in units a second, that this daemon can count on, by the
// owner's latest grant.
func (c *Client) RateShare(subject string) float64 { return c.account(subject).rateShare }

// Expire removes the state of subjects that have had no requests for longer than idleAfter.
func (c *Client) Expire(now time.Time) {
	for subject, a := range c.accounts {
		if now.Sub(a.usedAt) > idleAfter {
			delete(c.accounts, subject)
		}
	}
}

// Refund gives back the units of a request that was admitted but did not run.
func (c *Client) Refund(now time.Time, subject string, cost float64) {
	a := c.account(subject)
	a.pay(now, cost)
}

// BeginDraw returns the draw to send to an owner for the waiting requests.
func (c *Client) BeginDraw(now time.Time, subject, owner string, l Limits, need float64, waiting int) Draw {
	a := c.account(subject)
	d := Draw{Daemon: c.self, Subject: subject, Limits: l, Need: need, Waiting: waiting, Used: a.used, Offered: a.offered, Requests: a.requests, ByRank: a.byRank, Returned: a.returned}
	d.OtherGrants = a.otherGrants(now, owner, c.maxRetryAfter)
	d.WantSummary = a.summaryOwner != owner || now.Sub(a.summaryAt) > summaryEvery
	if a.summary != nil && a.summaryOwner != owner {
		latest := *a.summary
		latest.Owner, latest.Age = a.summaryOwner, now.Sub(a.summaryAt)
		d.Summary = &latest
	}
	a.used, a.offered, a.requests, a.sent, a.sentAt = 0, 0, 0, d, now
	a.byRank, a.returned = RankUnits{}, 0
	a.allowance = 0 // the draw returns it
	return d
}

// ReceiveGrant processes the answer to the last draw.
func (c *Client) ReceiveGrant(now time.Time, subject, owner string, g Grant) {
	a := c.account(subject)
	a.pay(now, g.Units)
	a.allowance, a.allowanceUntil = g.Allowance, a.sentAt.Add(AllowanceLifetime) // not later than by the owner's clock
	a.spareRate, a.rateShare = g.SpareRate, g.RateShare
	a.selection, a.selectionUntil = g.Selection, now.Add(overloadFor)
	a.overloadUntil = time.Time{}
	if g.NearLimit && g.SpareRate <= 0 {
		a.overloadUntil = now.Add(overloadFor)
	}
	a.drawFrom, a.retryAt = now.Add(g.NextDrawIn), now.Add(g.RetryAfter)
	if g.Summary != nil {
		a.summary, a.summaryOwner, a.summaryAt = g.Summary, owner, a.sentAt
	}
	c.recordGrant(a, now, owner, g.Units+a.sent.Used)
}

// recordGrant records what an owner has granted.
func (c *Client) recordGrant(a *account, now time.Time, owner string, units float64) {
	for len(a.grants) > 0 && now.Sub(a.grants[0].at) > c.maxRetryAfter {
		a.grants = a.grants[1:]
	}
	if n := len(a.grants); n > 0 && a.grants[n-1].owner == owner && now.Sub(a.grants[n-1].from) < time.Duration(grantStep*float64(c.maxRetryAfter)) {
		a.grants[n-1].units += units
		a.grants[n-1].at = now
		return
	}
	a.grants = append(a.grants, received{owner, now, now, units})
}

// otherGrants returns what other owners have granted within the window.
func (a *account) otherGrants(now time.Time, owner string, window time.Duration) []PastGrant {
	var list []PastGrant
	for _, p := range a.grants {
		if p.owner != owner && p.units > 0 && now.Sub(p.at) < window {
			list = append(list, PastGrant{Owner: p.owner, Age: now.Sub(p.at), Units: p.units})
		}
	}
	return list
}

// RecentShare returns the share of a subject's sustained rate that this daemon was granted
// recently.
func (c *Client) RecentShare(now time.Time, subject string, sustained float64) float64 {
	sum := 0.0
	for _, p := range c.account(subject).grants {
		if now.Sub(p.at) < recentOver {
			sum += p.units
		}
	}
	return min(1, sum/recentOver.Seconds()/max(sustained, 1))
}

// DrawFailed processes the failure of the last draw: the next draw repeats what it reported.
func (c *Client) DrawFailed(subject string) {
	a := c.account(subject)
	a.used += a.sent.Used
	a.offered += a.sent.Offered
	a.requests += a.sent.Requests
	a.returned += a.sent.Returned
	for rank, units := range a.sent.ByRank {
		a.byRank[rank] += units
	}
}
