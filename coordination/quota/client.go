package quota

import "time"

// Verdict is what becomes of a request.
type Verdict int

// The verdicts.
const (
	Admit Verdict = iota
	// Ask: the owner has to be asked first.
	AskOwner
	// Refuse: the subject is over its limits.
	Refuse
)

const (
	// backLeast bounds the time after which a refused caller is to come back, and backMost
	// does where there is no window.
	backLeast = 100 * time.Millisecond
	backMost  = 5 * time.Second
	// fullFor is how long an owner's word is believed that new requests alone are more than
	// the quota: those that ask it are heard many times within it.
	fullFor = time.Second
	// informEvery is the least time between two summaries of an owner that a daemon asks for:
	// it takes as many bytes as the rest of the answer, and what has come since is what the
	// daemons themselves tell.
	informEvery = 500 * time.Millisecond
	// pastStep is the part of a window for which what was got is remembered as one.
	pastStep = 1.0 / 16
)

// Client is one daemon's side for all subjects. It is not safe for concurrent use.
type Client struct {
	self     string
	backMost time.Duration
	accounts map[string]*account
}

// NewClient returns the side of a daemon.
func NewClient(self string, bounds Bounds) *Client {
	c := &Client{self: self, backMost: bounds.Window, accounts: map[string]*account{}}
	if c.backMost <= 0 {
		c.backMost = backMost
	}
	return c
}

type account struct {
	paid      float64 // taken out of the bucket already
	paidUntil time.Time
	ahead     float64
	until     time.Time
	used      float64 // of ahead, since the last draw
	offered   float64 // since the last draw
	requests  int
	askFrom   time.Time
	roomAt    time.Time // by the owner's last word
	usedAt    time.Time // when something was offered or granted last
	spare     float64   // for callers that come back
	part      float64   // of the rate
	fullUntil time.Time // until then new requests alone are taken to be too many
	backlog   float64   // of refused units, at backlogAt
	backlogAt time.Time
	past      []gotten // within the last window, the oldest first
	summary   *Summary // the last word of an owner
	summaryOf string
	summaryAt time.Time
	sent      Draw // on its way
	sentAt    time.Time
}

// gotten is what an owner has given.
type gotten struct {
	owner string
	from  time.Time
	at    time.Time // of the last of it
	units float64
}

func (c *Client) account(subject string) *account {
	a := c.accounts[subject]
	if a == nil {
		a = &account{}
		c.accounts[subject] = a
	}
	return a
}

// lapse drops paid units that no request has taken within AheadLife.
func (a *account) lapse(now time.Time) {
	if now.After(a.paidUntil) {
		a.paid = 0
	}
}

// pay adds units that the owner has taken out of the bucket.
func (a *account) pay(now time.Time, units float64) {
	a.lapse(now)
	a.paid += units
	a.paidUntil = now.Add(AllowanceLifetime)
}

// Offer notes that a caller asks for something. It is called once for each request.
func (c *Client) Offer(now time.Time, subject string, cost float64) {
	a := c.account(subject)
	a.usedAt = now
	a.offered += cost
	a.requests++
}

// Take decides on a request with what this daemon holds. late says that it has missed its
// latency objective already: while new requests alone are more than the quota, what there is
// goes to those that can be in time.
func (c *Client) Take(now time.Time, subject string, cost float64, late bool) Verdict {
	a := c.account(subject)
	if late && now.Before(a.fullUntil) {
		return Refuse
	}
	a.lapse(now)
	if now.After(a.until) {
		a.ahead = 0
	}
	switch {
	case a.paid >= cost:
		a.paid -= cost
		return Admit
	case a.paid+a.ahead >= cost:
		rest := cost - a.paid
		a.paid = 0
		a.ahead -= rest
		a.used += rest
		return Admit
	case now.Before(a.askFrom):
		return Refuse
	}
	return AskOwner
}

// Refused notes a refusal, and returns when its caller is to come back: after those that were
// refused before it, at the rate at which the quota has room for them. While new requests
// alone are too many it has none for any: then a window later.
func (c *Client) AddRefusal(now time.Time, subject string, cost float64) time.Duration {
	a := c.account(subject)
	if a.spare <= 0 {
		a.backlog, a.backlogAt = 0, now
		return c.backMost
	}
	a.backlog = min(a.backlogNow(now)+cost, a.spare*c.backMost.Seconds())
	a.backlogAt = now
	return c.Wait(now, subject)
}

// Wait returns when a request is let through, after those that were refused before it.
func (c *Client) Wait(now time.Time, subject string) time.Duration {
	a := c.account(subject)
	if a.spare <= 0 && now.Before(a.fullUntil) {
		return c.backMost
	}
	wait := max(a.askFrom.Sub(now), a.roomAt.Sub(now), backLeast)
	if a.spare <= 0 {
		return wait
	}
	return max(wait, time.Duration(a.backlogNow(now)/a.spare*float64(time.Second)))
}

// backlogNow returns the refused units that are still to come back.
func (a *account) backlogNow(now time.Time) float64 {
	return max(0, a.backlog-a.spare*now.Sub(a.backlogAt).Seconds())
}

// RoomIn returns the time until there is room for one more request, by the owner's last word.
func (c *Client) RetryAfter(now time.Time, subject string) time.Duration {
	return max(0, c.account(subject).roomAt.Sub(now))
}

// Part returns the part of the rate, in units a second, that this daemon may count on, by the
// owner's last word.
func (c *Client) RateShare(subject string) float64 { return c.account(subject).part }

// Forget drops what is known of subjects that nobody has sent for in a long time.
func (c *Client) Expire(now time.Time) {
	for subject, a := range c.accounts {
		if now.Sub(a.usedAt) > idleAfter {
			delete(c.accounts, subject)
		}
	}
}

// Return takes back what a request was let through with that has not run.
func (c *Client) Refund(now time.Time, subject string, cost float64) {
	a := c.account(subject)
	a.pay(now, cost)
}

// Begin returns the question to an owner, for requests that wait.
func (c *Client) BeginDraw(now time.Time, subject, owner string, l Limits, need float64, waiting int) Draw {
	a := c.account(subject)
	d := Draw{Daemon: c.self, Subject: subject, Limits: l, Need: need, Waiting: waiting, Used: a.used, Offered: a.offered, Requests: a.requests}
	d.OtherGrants = a.elsewhere(now, owner, c.backMost)
	d.WantSummary = a.summaryOf != owner || now.Sub(a.summaryAt) > informEvery
	if a.summary != nil && a.summaryOf != owner {
		told := *a.summary
		told.Owner, told.Age = a.summaryOf, now.Sub(a.summaryAt)
		d.Summary = &told
	}
	a.used, a.offered, a.requests, a.sent, a.sentAt = 0, 0, 0, d, now
	a.ahead = 0 // given back with the question
	return d
}

// Granted takes the answer to the last question.
func (c *Client) ReceiveGrant(now time.Time, subject, owner string, g Grant) {
	a := c.account(subject)
	a.pay(now, g.Units)
	a.ahead, a.until = g.Allowance, a.sentAt.Add(AllowanceLifetime) // no later than by the owner's clock
	a.spare, a.part = g.SpareRate, g.RateShare
	a.fullUntil = time.Time{}
	if g.NearLimit && g.SpareRate <= 0 {
		a.fullUntil = now.Add(fullFor)
	}
	a.askFrom, a.roomAt = now.Add(g.NextDrawIn), now.Add(g.RetryAfter)
	if g.Summary != nil {
		a.summary, a.summaryOf, a.summaryAt = g.Summary, owner, a.sentAt
	}
	c.remember(a, now, owner, g.Units+a.sent.Used)
}

// remember notes what an owner has given.
func (c *Client) remember(a *account, now time.Time, owner string, units float64) {
	for len(a.past) > 0 && now.Sub(a.past[0].at) > c.backMost {
		a.past = a.past[1:]
	}
	if n := len(a.past); n > 0 && a.past[n-1].owner == owner && now.Sub(a.past[n-1].from) < time.Duration(pastStep*float64(c.backMost)) {
		a.past[n-1].units += units
		a.past[n-1].at = now
		return
	}
	a.past = append(a.past, gotten{owner, now, now, units})
}

// elsewhere returns what other owners have given within the window.
func (a *account) elsewhere(now time.Time, owner string, window time.Duration) []PastGrant {
	var list []PastGrant
	for _, p := range a.past {
		if p.owner != owner && p.units > 0 && now.Sub(p.at) < window {
			list = append(list, PastGrant{Owner: p.owner, Age: now.Sub(p.at), Units: p.units})
		}
	}
	return list
}

// Share returns what part of a subject's quota this daemon has got lately.
func (c *Client) RecentShare(now time.Time, subject string, sustained float64) float64 {
	sum := 0.0
	for _, p := range c.account(subject).past {
		if now.Sub(p.at) < latelyOver {
			sum += p.units
		}
	}
	return min(1, sum/latelyOver.Seconds()/max(sustained, 1))
}

// Failed takes it that the last question was not answered: what it told is told again.
func (c *Client) DrawFailed(subject string) {
	a := c.account(subject)
	a.used += a.sent.Used
	a.offered += a.sent.Offered
	a.requests += a.sent.Requests
}
