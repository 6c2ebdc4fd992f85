package quarantiner

import (
	"context"
	"time"

	"github.com/doorvalve/doorvalve/coordination/quarantine"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/internal/dial"
	"github.com/doorvalve/doorvalve/internal/wake"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/fleet"
)

const (
	// checkTimeout bounds connecting to an endpoint whose connection broke: a crashed one refuses
	// at once, an unreachable one does not answer.
	checkTimeout = 200 * time.Millisecond
	// checkEvery is the time until an endpoint that still accepts connections is checked again: its
	// listener may close after its connections.
	checkEvery = 250 * time.Millisecond
	// maxChecks bounds the checks of one incarnation, so that broken connections cost an endpoint
	// which is up only a few new connections. A refused connection allows one more.
	maxChecks = 3
	// brokenFor is how long a broken attempt waits for evidence that its endpoint has crashed. It
	// is longer than removed endpoints stay in the list.
	brokenFor = 6 * time.Second
	// maxBroken bounds the incarnations that are watched. Further ones are taken to be up.
	maxBroken = 256
)

// BrokenAttempt is an attempt whose connection to the endpoint broke before its answer was
// complete.
type BrokenAttempt struct {
	Request     string // request id of the caller's attempt
	Fingerprint protocol.Fingerprint
	Incarnation fleet.Incarnation
	Address     string
	Sent        time.Time // by the controller's clock
	AnswerBegan bool      // events of the answer had arrived
	Software    quarantine.Software
	// Parts are the parts of the prompt that other requests may share, and Endpoint is the software
	// of the endpoint.
	Parts    []quarantine.Part
	Endpoint quarantine.Software
}

// broken is an incarnation of an endpoint whose connections broke. Whether it has crashed is not
// known at first: connections can also be cut on the way.
type broken struct {
	address   string
	leaving   bool // it had reported leaving, or was no longer listed: its end is expected
	since     time.Time
	order     int64 // see quarantine.Crash
	crashed   bool
	crashedAt time.Time // when the crash was detected
	checks    int
	checkAt   time.Time       // of the next check
	allowed   int             // number of checks
	checking  chan struct{}   // closed when the running check ends; nil if none is running
	attempts  []BrokenAttempt // not counted yet
}

// ObserveBroken processes a broken attempt. It returns when the endpoint has been checked, a few
// milliseconds later, so that the choice of the next endpoint takes the result into account.
func (c *Controller) ObserveBroken(ctx context.Context, a BrokenAttempt) {
	now := c.opt.Clock()
	listed, leaving := c.opt.Endpoint(a.Incarnation)
	leaving = leaving || !listed // removed from the list before its connections broke
	c.mu.Lock()
	b := c.broken[a.Incarnation]
	if b != nil && b.followedBy(a) {
		b = nil
	}
	if b == nil {
		if len(c.broken) >= maxBroken {
			c.mu.Unlock()
			c.opt.Log.Warn(decisions.EventEndpointCrashed, "endpoint", a.Incarnation.ID, "error", "too many endpoints broke at once; this one is not looked at")
			return
		}
		b = &broken{address: a.Address, leaving: leaving, since: now, order: time.Now().UnixMilli(), allowed: maxChecks}
		c.broken[a.Incarnation] = b
	}
	leaving = b.leaving
	b.attempts = append(b.attempts, a)
	c.mu.Unlock()
	wake.Once(c.wake)
	if leaving {
		return
	}
	c.checkOnce(ctx, a.Incarnation, b)
	c.count(a.Incarnation, b)
}

// followedBy reports whether an attempt was sent to the next incarnation of an endpoint whose
// incarnations have no start time: it was sent after the crash of the previous one was detected.
func (b *broken) followedBy(a BrokenAttempt) bool {
	return a.Incarnation.StartUnixMs == 0 && b.crashed && a.Sent.After(b.crashedAt)
}

// markCrashed records that the incarnation has crashed; the caller holds the mutex.
func (b *broken) markCrashed(now time.Time) {
	if !b.crashed {
		b.crashed, b.crashedAt = true, now
	}
}

// ObserveDialError processes a failure to connect to an endpoint. If it was refused, the endpoint may
// have crashed during the attempts that broke shortly before, and is checked once more.
func (c *Controller) ObserveDialError(inc fleet.Incarnation, err error) {
	if !dial.IsRefused(err) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if b := c.broken[inc]; b != nil && !b.crashed {
		b.allowed = maxChecks + 1
		wake.Once(c.wake)
	}
}

// checkOnce checks whether an endpoint is up, once for all attempts that broke together.
func (c *Controller) checkOnce(ctx context.Context, inc fleet.Incarnation, b *broken) {
	c.mu.Lock()
	waiting := b.checking
	now := c.opt.Clock()
	own := !b.crashed && waiting == nil && b.checks < b.allowed && !now.Before(b.checkAt)
	if own {
		b.checking = make(chan struct{})
		b.checks++
		b.checkAt = now.Add(checkEvery)
	}
	c.mu.Unlock()
	switch {
	case own:
		limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), checkTimeout)
		err := c.opt.Check(limited, b.address, b.since)
		cancel()
		c.mu.Lock()
		if dial.IsRefused(err) {
			b.markCrashed(c.opt.Clock())
		}
		close(b.checking)
		b.checking = nil
		c.mu.Unlock()
	case waiting != nil:
		select {
		case <-waiting:
		case <-ctx.Done():
		}
	}
}

// count counts the attempts during which an endpoint crashed, if it has crashed.
func (c *Controller) count(inc fleet.Incarnation, b *broken) {
	c.mu.Lock()
	attempts := b.attempts
	if !b.crashed || b.leaving || len(attempts) == 0 {
		c.mu.Unlock()
		return
	}
	b.attempts = nil
	c.mu.Unlock()
	c.opt.OnCrash(inc)
	c.metrics.crashed.Inc(int64(len(attempts)))
	c.opt.Log.Info(decisions.EventEndpointCrashed, "endpoint", inc.ID, "born", inc.StartUnixMs, "attempts", len(attempts), "after_ms", c.opt.Clock().Sub(b.since).Milliseconds())
	c.step(func(now time.Time) {
		for _, a := range attempts {
			c.observeCrash(now, a, quarantine.Crash{Incarnation: inc, Doubtful: a.AnswerBegan, Sent: a.Sent, At: b.since, Order: b.order})
		}
	})
}

// observeCrash adds the crash of an attempt's endpoint to the records of its request and of the parts
// of its prompt.
func (c *Controller) observeCrash(now time.Time, a BrokenAttempt, crash quarantine.Crash) {
	crash.ServedBefore = c.servedBefore(a.Fingerprint, "", crash)
	if !crash.Doubtful {
		crash.Attempts = []uint32{quarantine.AttemptTag(a.Request)}
	}
	c.m.ObserveCrash(now, quarantine.CrashedAttempt{Fingerprint: a.Fingerprint, Crash: crash, Software: a.Software})
	crash.Attempts, crash.Software = nil, a.Endpoint
	for _, part := range a.Parts {
		crash.ServedBefore = c.servedBefore(part.Fingerprint, part.ID, crash)
		c.m.ObserveCrash(now, quarantine.CrashedAttempt{Fingerprint: part.Fingerprint, Part: part.ID, Crash: crash, Software: a.Endpoint})
		c.markServedOn(now, part.Fingerprint, part.ID)
	}
}

// markServedOn records which software has answered requests with a part at this daemon, where that
// software has not crashed under them. The caller holds the mutex.
func (c *Controller) markServedOn(now time.Time, print protocol.Fingerprint, part string) {
	if part == "" {
		return
	}
	var served []quarantine.Software
	for _, s := range c.opt.Software() {
		if c.served.recently(onSoftware(print, s), now, partServedFor) {
			served = append(served, s)
		}
	}
	c.m.MarkServedOn(now, print, served)
}

// servedBefore reports whether this daemon had served a request, or requests with a part, shortly
// before a crash.
func (c *Controller) servedBefore(print protocol.Fingerprint, part string, crash quarantine.Crash) bool {
	if part == "" {
		return c.served.recently(print, crash.Sent, servedFor)
	}
	return c.served.recently(onSoftware(print, crash.Software), crash.Sent, partServedFor)
}

// watching reports whether there are incarnations of which it is not known whether they crashed.
func (c *Controller) watching() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.broken) > 0
}

// check repeats the checks of endpoints whose connections broke. An endpoint that is no longer
// listed although it had not reported leaving is taken to have crashed.
func (c *Controller) check(ctx context.Context) {
	now := c.opt.Clock()
	c.mu.Lock()
	list := make(map[fleet.Incarnation]*broken, len(c.broken))
	for inc, b := range c.broken {
		if now.Sub(b.since) > brokenFor {
			delete(c.broken, inc)
			continue
		}
		list[inc] = b
	}
	c.mu.Unlock()
	for inc, b := range list {
		listed, leaving := c.opt.Endpoint(inc)
		c.mu.Lock()
		b.leaving = b.leaving || leaving
		if !listed && !b.leaving {
			b.markCrashed(now)
		}
		checkNow := !b.leaving && !b.crashed && b.checks < b.allowed && b.checking == nil && !now.Before(b.checkAt)
		c.mu.Unlock()
		if checkNow {
			go func() {
				c.checkOnce(ctx, inc, b)
				c.count(inc, b)
			}()
			continue
		}
		c.count(inc, b)
	}
}

// connect is the default of Options.Check.
func connect(ctx context.Context, address string, _ time.Time) error {
	conn, err := dial.TCP(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return conn.Close()
}
