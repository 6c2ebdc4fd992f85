package quarantiner

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/doorvalve/doorvalve/coordination/quarantine"
	"github.com/doorvalve/doorvalve/driver/decisions"
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
	checkAgain = 250 * time.Millisecond
	// maxChecks bounds the checks of one incarnation, so that broken connections cost an endpoint
	// which is up only a few new connections.
	checksMost = 3
	// brokenFor is how long a broken attempt waits for evidence that its endpoint has crashed. It
	// is longer than removed endpoints stay in the list.
	brokenFor = 6 * time.Second
	// maxBroken bounds the incarnations that are watched. Further ones are taken to be up.
	mostBroken = 256
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
}

// broken is an incarnation of an endpoint whose connections broke. Whether it has crashed is not
// known at first: connections can also be cut on the way.
type broken struct {
	address  string
	leaving  bool // it had reported leaving, or was no longer listed: its end is expected
	since    time.Time
	order    int64 // see quarantine.Crash
	ended    bool
	endedAt  time.Time // when the crash was detected
	checks   int
	checkAt  time.Time       // of the next check
	checking chan struct{}   // closed when the running check ends; nil if none is running
	attempts []BrokenAttempt // not counted yet
}

// ObserveBroken processes a broken attempt. It returns when the endpoint has been checked, a few
// milliseconds later, so that the choice of the next endpoint takes the result into account.
func (k *Controller) ObserveBroken(ctx context.Context, a BrokenAttempt) {
	now := k.opt.Clock()
	listed, leaving := k.opt.Endpoint(a.Incarnation)
	leaving = leaving || !listed // removed from the list before its connections broke
	k.mu.Lock()
	b := k.broken[a.Incarnation]
	if b != nil && b.followedBy(a) {
		b = nil
	}
	if b == nil {
		if len(k.broken) >= mostBroken {
			k.mu.Unlock()
			k.opt.Log.Warn(decisions.EventEndpointCrashed, "endpoint", a.Incarnation.ID, "error", "too many endpoints broke at once; this one is not looked at")
			return
		}
		b = &broken{address: a.Address, leaving: leaving, since: now, order: time.Now().UnixMilli()}
		k.broken[a.Incarnation] = b
	}
	leaving = b.leaving
	b.attempts = append(b.attempts, a)
	k.mu.Unlock()
	wake.Once(k.wake)
	if leaving {
		return
	}
	k.ask(ctx, a.Incarnation, b)
	k.count(a.Incarnation, b)
}

// followedBy reports whether an attempt was sent to the next incarnation of an endpoint whose
// incarnations have no start time: it was sent after the crash of the previous one was detected.
func (b *broken) followedBy(a BrokenAttempt) bool {
	return a.Incarnation.StartUnixMs == 0 && b.ended && a.Sent.After(b.endedAt)
}

// markCrashed records that the incarnation has crashed; the caller holds the mutex.
func (b *broken) end(now time.Time) {
	if !b.ended {
		b.ended, b.endedAt = true, now
	}
}

// ObserveDialError processes a failure to connect to an endpoint: if nothing listens there, the
// endpoint crashed during the attempts that broke shortly before.
func (k *Controller) ObserveDialError(life fleet.Incarnation, err error) {
	if !IsConnectionRefused(err) {
		return
	}
	k.mu.Lock()
	b := k.broken[life]
	if b != nil {
		b.end(k.opt.Clock())
	}
	k.mu.Unlock()
	if b != nil {
		k.count(life, b)
	}
}

// checkOnce checks whether an endpoint is up, once for all attempts that broke together.
func (k *Controller) ask(ctx context.Context, life fleet.Incarnation, b *broken) {
	k.mu.Lock()
	waiting := b.checking
	now := k.opt.Clock()
	mine := !b.ended && waiting == nil && b.checks < checksMost && !now.Before(b.checkAt)
	if mine {
		b.checking = make(chan struct{})
		b.checks++
		b.checkAt = now.Add(checkAgain)
	}
	k.mu.Unlock()
	switch {
	case mine:
		err := k.opt.Dial(context.WithoutCancel(ctx), b.address)
		k.mu.Lock()
		if IsConnectionRefused(err) {
			b.end(k.opt.Clock())
		}
		close(b.checking)
		b.checking = nil
		k.mu.Unlock()
	case waiting != nil:
		select {
		case <-waiting:
		case <-ctx.Done():
		}
	}
}

// count counts the attempts during which an endpoint crashed, if it has crashed.
func (k *Controller) count(life fleet.Incarnation, b *broken) {
	k.mu.Lock()
	attempts := b.attempts
	if !b.ended || b.leaving || len(attempts) == 0 {
		k.mu.Unlock()
		return
	}
	b.attempts = nil
	k.mu.Unlock()
	k.opt.OnCrash(life)
	k.metrics.ended.Inc(int64(len(attempts)))
	k.opt.Log.Info(decisions.EventEndpointCrashed, "endpoint", life.ID, "born", life.StartUnixMs, "attempts", len(attempts), "after_ms", k.opt.Clock().Sub(b.since).Milliseconds())
	k.step(func(now time.Time) {
		for _, a := range attempts {
			end := quarantine.Crash{Incarnation: life, Doubtful: a.AnswerBegan, ServedBefore: k.served.lately(a.Fingerprint, a.Sent), Sent: a.Sent, At: b.since, Order: b.order}
			if !end.Doubtful {
				end.Attempts = []uint32{quarantine.AttemptTag(a.Request)}
			}
			k.m.ObserveCrash(now, quarantine.CrashedAttempt{Fingerprint: a.Fingerprint, Crash: end, Software: a.Software})
		}
	})
}

// watching reports whether there are incarnations of which it is not known whether they crashed.
func (k *Controller) watching() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.broken) > 0
}

// check repeats the checks of endpoints whose connections broke. An endpoint that is no longer
// listed although it had not reported leaving is taken to have crashed.
func (k *Controller) check(ctx context.Context) {
	now := k.opt.Clock()
	k.mu.Lock()
	list := make(map[fleet.Incarnation]*broken, len(k.broken))
	for life, b := range k.broken {
		if now.Sub(b.since) > brokenFor {
			delete(k.broken, life)
			continue
		}
		list[life] = b
	}
	k.mu.Unlock()
	for life, b := range list {
		listed, leaving := k.opt.Endpoint(life)
		k.mu.Lock()
		b.leaving = b.leaving || leaving
		if !listed && !b.leaving {
			b.end(now)
		}
		ask := !b.leaving && !b.ended && b.checks < checksMost && b.checking == nil && !now.Before(b.checkAt)
		k.mu.Unlock()
		if ask {
			go func() {
				k.ask(ctx, life, b)
				k.count(life, b)
			}()
			continue
		}
		k.count(life, b)
	}
}

// IsConnectionRefused reports whether an error means that nothing listens at the address.
func IsConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// dial checks over TCP whether an endpoint is up.
func dial(ctx context.Context, address string) error {
	conn, err := (&net.Dialer{Timeout: checkTimeout, KeepAlive: -1}).DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return conn.Close()
}
