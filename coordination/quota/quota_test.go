package quota

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// longAgo is the start of daemons whose age does not matter.
var longAgo = start.Add(-time.Hour)

var (
	bounds = Bounds{Window: 8 * time.Second, Overage: 0.1, Slack: 1000, NewOwnerShare: DefaultNewOwnerShare}
	limits = Limits{Rate: 1000, Burst: 1000}
)

// draw returns a daemon's draw for one request.
func draw(daemon string, units float64) Draw {
	return Draw{Daemon: daemon, Subject: "w", Limits: limits, Need: units, Waiting: 1, Offered: units, Requests: 1}
}

// drain draws for requests of 100 units until one is refused, and returns the units granted.
func drain(o *Owner, now time.Time, daemon string) float64 {
	got := 0.0
	for range 1000 {
		g := o.Draw(now, draw(daemon, 100), 1)
		if g.Units == 0 {
			break
		}
		got += g.Units
	}
	return got
}

func TestBucketGrantsBurstThenRate(t *testing.T) {
	o := NewOwner("a", bounds, longAgo)
	o.Draw(at(0), draw("d", 1), 1)
	if got := drain(o, at(10), "d"); got < 500 || got > 1000 {
		t.Errorf("%.0f units granted at once", got)
	}
	sum := 0.0
	for i := range 800 {
		sum += o.Draw(at(10+float64(i)/100), draw(fmt.Sprint(i%5), 100), 1).Units
	}
	if sum < 7600 || sum > 8000+1000+bounds.excess(limits) {
		t.Errorf("%.0f units granted in the window after it", sum)
	}
}

// Guards against a request larger than the burst that is refused for ever: it is admitted when the
// bucket is full, and is paid off before the next.
func TestRequestLargerThanTheBurst(t *testing.T) {
	o := NewOwner("a", bounds, longAgo)
	o.Draw(at(0), draw("d", 1), 1)
	if got := o.Draw(at(20), draw("d", 3000), 1).Units; got != 3000 {
		t.Fatalf("%.0f units granted, want 3000", got)
	}
	if got := o.Draw(at(20.5), draw("d", 100), 1).Units; got != 0 {
		t.Errorf("%.0f units granted before it was paid off", got)
	}
	if got := o.Draw(at(24), draw("d", 100), 1).Units; got != 100 {
		t.Errorf("%.0f units granted afterwards, want 100", got)
	}
}

// Guards against a second owner that grants again what the first, whose bucket is empty, has
// granted already.
func TestNextOwnerGoesOnFromTheSummary(t *testing.T) {
	first := NewOwner("a", bounds, longAgo)
	withSummary := draw("d", 100)
	withSummary.WantSummary = true
	first.Draw(at(0), withSummary, 1)
	drain(first, at(10), "d")
	g := first.Draw(at(10), withSummary, 1)
	if g.Summary == nil {
		t.Fatal("the grant has no summary")
	}
	for _, c := range []struct {
		name    string
		change  func(*Draw)
		at      float64
		informs bool
		least   float64
		most    float64
	}{
		{"without a summary it grants a share of the slack", func(*Draw) {}, 10.2, false, 1, startShare * bounds.excess(limits)},
		{"by the summary there is nothing to grant", func(d *Draw) {
			d.Summary = &Summary{Owner: "a", Age: 200 * time.Millisecond, Level: g.Summary.Level, Used: g.Summary.Used}
		}, 10.2, true, 0, 400},
		{"grants since the summary count", func(d *Draw) {
			d.Summary = &Summary{Owner: "a", Age: time.Second, Level: 900, Used: []float64{100}}
			d.OtherGrants = []PastGrant{{Owner: "a", Age: 500 * time.Millisecond, Units: 700}}
		}, 10.2, true, 0, 500},
		{"its own summary is ignored", func(d *Draw) { d.Summary = &Summary{Owner: "b", Age: 0, Level: 900} }, 10.2, false, 1, startShare * bounds.excess(limits)},
	} {
		next := NewOwner("b", bounds, longAgo)
		d := draw("d", 1)
		c.change(&d)
		next.Draw(at(c.at), d, 1)
		v, _ := next.View(at(c.at), "w")
		if got := drain(next, at(c.at), "d"); got < c.least-1 || got > c.most || v.Informed != c.informs {
			t.Errorf("%s: %.0f units granted, informed %v", c.name, got, v.Informed)
		}
	}
}

// Guards against grants of other owners that count more than once: a daemon reports them with each
// draw.
func TestElsewhereCountsOnce(t *testing.T) {
	o := NewOwner("a", bounds, longAgo)
	o.Draw(at(0), draw("d", 1), 1)
	for i := range 5 {
		d := draw("d", 0)
		d.Waiting, d.OtherGrants = 0, []PastGrant{{Owner: "b", Age: time.Duration(i)*100*time.Millisecond + time.Second, Units: 300}, {Owner: "a", Age: time.Second, Units: 5000}}
		o.Draw(at(11+float64(i)/10), d, 1)
	}
	if v, _ := o.View(at(11.4), "w"); v.Window < 300 || v.Window > 310 {
		t.Errorf("%.0f units in the window, want 300 from other owners", v.Window)
	}
}

// Guards against allowances that are granted twice: while valid they are reserved for their daemon,
// and expired ones count as used until the daemon reports otherwise.
func TestAllowanceIsAccountedFor(t *testing.T) {
	o, c := NewOwner("a", bounds, longAgo), NewClient("d", bounds)
	now, allowance := at(20), 0.0
	for i := 0; allowance == 0 && i < 40; i++ {
		now = now.Add(200 * time.Millisecond)
		c.Offer(now, "w", 20)
		if c.Take(now, "w", 20, false) == AskOwner {
			g := o.Draw(now, c.BeginDraw(now, "w", "a", limits, 20, 1), 1)
			c.ReceiveGrant(now, "w", "a", g)
			c.Take(now, "w", 20, false)
			allowance = g.Allowance
		}
	}
	if allowance < 20 {
		t.Fatalf("allowance of %.0f units for a daemon that sends 5 requests a second", allowance)
	}
	if c.Take(now, "w", 20, false) != Admit {
		t.Error("a request within the allowance was not admitted")
	}
	before, _ := o.View(now, "w")
	later := now.Add(AllowanceLifetime + 2*time.Second)
	if c.Take(later, "w", 1, false) != AskOwner {
		t.Error("an expired allowance was used")
	}
	o.Draw(later, draw("other", 1), 1)
	if v, _ := o.View(later, "w"); v.Allowance >= before.Allowance {
		t.Errorf("allowances of %.0f units are still valid", v.Allowance)
	}
}

// Guards against refused callers that all retry at once: they retry one after the other at the
// spare rate, or a window later where new requests alone exceed the quota.
func TestRefusedCallersRetryOneByOne(t *testing.T) {
	c := NewClient("d", bounds)
	c.BeginDraw(at(0), "w", "a", limits, 100, 1)
	c.ReceiveGrant(at(0), "w", "a", Grant{NearLimit: true, SpareRate: 100})
	last := time.Duration(0)
	for i := range 5 {
		after := c.AddRefusal(at(0), "w", 100)
		if want := time.Duration(i+1) * time.Second; after != want || after <= last {
			t.Errorf("caller %d should retry after %v, want %v", i, after, want)
		}
		last = after
	}
	c.BeginDraw(at(1), "w", "a", limits, 100, 1)
	c.ReceiveGrant(at(1), "w", "a", Grant{NearLimit: true})
	if after := c.AddRefusal(at(1), "w", 100); after != bounds.Window {
		t.Errorf("retry after %v while there is no room at all, want a window", after)
	}
}

// Guards against a short rush that is taken for lasting overload: callers that all arrive at once
// are told to retry soon, those of a workspace that keeps exceeding its rate a window later.
func TestRushIsNotTakenToLast(t *testing.T) {
	o, c := NewOwner("a", bounds, longAgo), NewClient("d", bounds)
	refused := func(seconds float64) (longest time.Duration) {
		for range 20 {
			now := at(seconds)
			d := c.BeginDraw(now, "w", "a", limits, 200, 1)
			d.Offered, d.Requests = 200, 1
			c.ReceiveGrant(now, "w", "a", o.Draw(now, d, 1))
			if c.Take(now, "w", 200, false) != Admit {
				longest = max(longest, c.AddRefusal(now, "w", 200))
			}
		}
		return longest
	}
	if longest := refused(0); longest <= 0 || longest > 7*time.Second {
		t.Errorf("with 4,000 units at once and a rate of 1,000 a second, the longest retry time is %v", longest)
	}
	for i := range 40 {
		refused(0.1 + float64(i)/10)
	}
	if longest := refused(4.2); longest != bounds.Window {
		t.Errorf("after four seconds at many times the rate, the longest retry time is %v, want a window", longest)
	}
}

// Guards against late requests that take units from requests which can still be in time: while new
// requests alone exceed the quota the late ones are refused although units are available; otherwise
// they are equal.
func TestRequestsInTimeGoFirst(t *testing.T) {
	c := NewClient("d", bounds)
	granted := func(seconds float64, g Grant) {
		c.BeginDraw(at(seconds), "w", "a", limits, 100, 1)
		c.ReceiveGrant(at(seconds), "w", "a", g)
	}
	granted(0, Grant{Units: 500, NearLimit: true})
	if late, fresh := c.Take(at(0.1), "w", 100, true), c.Take(at(0.1), "w", 100, false); late != Refuse || fresh != Admit {
		t.Errorf("over the quota: verdict %v for a late request, %v for one in time", late, fresh)
	}
	granted(0.2, Grant{Units: 500, NearLimit: true, SpareRate: 10})
	if late := c.Take(at(0.3), "w", 100, true); late != Admit {
		t.Errorf("with a spare rate: verdict %v for a late request", late)
	}
	granted(0.4, Grant{Units: 500, NearLimit: true})
	if late := c.Take(at(2), "w", 100, true); late != Admit {
		t.Errorf("long after the owner's grant: verdict %v for a late request", late)
	}
}

// Guards against an owner that receives more draws than it can answer: daemons with many requests
// are paced.
func TestManyDaemonsArePaced(t *testing.T) {
	o := NewOwner("a", bounds, longAgo)
	paced := 0
	for i := range 4000 {
		g := o.Draw(at(10+float64(i)/1000), draw(fmt.Sprint("d", i%50), 10), 1)
		if g.NextDrawIn > 0 {
			paced++
		}
	}
	if paced < 2000 {
		t.Errorf("%d of 4000 grants in 4 s pace their daemon", paced)
	}
}

func BenchmarkTake(b *testing.B) {
	c := NewClient("d", bounds)
	c.BeginDraw(at(0), "w", "a", limits, 1, 1)
	c.ReceiveGrant(at(0), "w", "a", Grant{Units: 1e18})
	now := at(1)
	b.ReportAllocs()
	for b.Loop() {
		c.Offer(now, "w", 1)
		c.Take(now, "w", 1, false)
	}
}

func BenchmarkDraw(b *testing.B) {
	o := NewOwner("a", bounds, longAgo)
	big := Limits{Rate: 1e12, Burst: 1e12}
	daemons := make([]string, 375)
	for i := range daemons {
		daemons[i] = fmt.Sprint("d", i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		d := draw(daemons[i%len(daemons)], 1000)
		d.Limits = big
		o.Draw(at(float64(i)/2700), d, 1)
	}
}

// Guards against a request that overtakes one waiting at another daemon: room goes to the more
// urgent request, then to the one whose caller gives up first. A request that does not draw again
// in time delays nobody.
func TestWaitingRequestsGoInOrderOverAllDaemons(t *testing.T) {
	endpointBounds := Bounds{Window: 4 * time.Second, Overage: 0.5, Slack: 5, DepthShare: 0.2}
	drawOf := func(daemon string, rank int, timeLeft time.Duration, queued bool) Draw {
		return Draw{Daemon: daemon, Subject: "e", Limits: Limits{Rate: 1}, Need: 1, Waiting: 1, Offered: 1, Requests: 1, Rank: rank, TimeLeft: timeLeft, Queued: queued}
	}
	o := NewOwner("o", endpointBounds, longAgo)
	now := at(10)
	for o.Draw(now, drawOf("z", 1, time.Minute, false), 1).Units > 0 {
	}
	g := o.Draw(now, drawOf("a", 1, 5*time.Second, true), 1)
	if g.Units > 0 || g.RetryAfter <= 0 || g.RetryAfter > time.Second {
		t.Fatalf("the first waiting request: %+v", g)
	}
	if later := o.Draw(now, drawOf("b", 1, 9*time.Second, true), 1); later.Units > 0 || later.RetryAfter < g.RetryAfter+900*time.Millisecond {
		t.Errorf("a waiting request that comes after the first: %+v, room for the first in %v", later, g.RetryAfter)
	}
	now = now.Add(g.RetryAfter)
	if g := o.Draw(now, drawOf("c", 1, 15*time.Second, false), 1); g.Units > 0 {
		t.Error("a new request overtakes the waiting ones")
	}
	if g := o.Draw(now, drawOf("a", 1, 3*time.Second, true), 1); g.Units < 1 {
		t.Errorf("the first waiting request is not admitted in its turn: %+v", g)
	}
	// b does not draw again: its place expires shortly after the time at which it should have
	// drawn.
	now = now.Add(2*time.Second + headSlack)
	if g := o.Draw(now, drawOf("c", 1, 15*time.Second, false), 1); g.Units < 1 {
		t.Errorf("a request is delayed by one that no longer draws: %+v", g)
	}
	now = now.Add(100 * time.Millisecond)
	for o.Draw(now, drawOf("z", 1, time.Minute, false), 1).Units > 0 {
	}
	o.Draw(now, drawOf("b", 1, 2*time.Second, true), 1)
	o.Draw(now, Draw{Daemon: "b", Subject: "e", Limits: Limits{Rate: 1}}, 1) // its request stops waiting
	now = now.Add(time.Second)
	if g := o.Draw(now, drawOf("c", 1, 15*time.Second, false), 1); g.Units < 1 {
		t.Errorf("a request is delayed by one whose daemon has reported that it no longer waits: %+v", g)
	}
}
