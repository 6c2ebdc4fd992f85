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
	// checkTimeout bounds connecting to an endpoint whose connection broke: one that
	// has ended refuses at once, one that cannot be reached says nothing.
	checkTimeout = 200 * time.Millisecond
	// checkAgain is the pause before an endpoint that still takes connections is asked
	// again: its listener may close after its connections.
	checkAgain = 250 * time.Millisecond
	// checksMost bounds the questions to one life, so that broken connections cost an
	// endpoint that lives a few new ones at most.
	checksMost = 3
	// brokenFor is how long a broken attempt waits for the sign that its endpoint has
	// ended: longer than entries of endpoints that are gone stay in the list.
	brokenFor = 6 * time.Second
	// mostBroken bounds the lives that are watched; those that break beyond it are
	// taken to live.
	mostBroken = 256
)

// Attempt is one whose connection to the endpoint broke before its answer was complete.
type BrokenAttempt struct {
	Request     string // id, of this attempt of the caller
	Fingerprint protocol.Fingerprint
	Incarnation fleet.Incarnation
	Address     string
	Sent        time.Time // by the keeper's clock
	AnswerBegan bool      // events of the answer had come
	Software    quarantine.Software
}

// broken is a life of an endpoint whose connections broke. Whether it has ended is not
// known at first: connections are also cut on the way.
type broken struct {
	address  string
	leaving  bool // it had said so, or was listed no more: its end is no surprise
	since    time.Time
	order    int64 // see quarantine.End
	ended    bool
	endedAt  time.Time // when that was found out
	checks   int
	checkAt  time.Time       // of the next question
	checking chan struct{}   // closed when the question on its way is answered; nil if none is
	attempts []BrokenAttempt // that wait to be counted
}

// Broke takes a broken attempt, and returns when the endpoint has been asked whether it is
// there: the next endpoint is chosen after that, a few milliseconds later.
func (k *Controller) ObserveBroken(ctx context.Context, a BrokenAttempt) {
	now := k.opt.Clock()
	listed, leaving := k.opt.Endpoint(a.Incarnation)
	leaving = leaving || !listed // taken out before its connections broke
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

// followedBy reports whether an attempt was sent to the next life of an endpoint whose lives
// bear no start: after it was known that the one before had ended.
func (b *broken) followedBy(a BrokenAttempt) bool {
	return a.Incarnation.StartUnixMs == 0 && b.ended && a.Sent.After(b.endedAt)
}

// end notes that the life has ended; the caller holds the mutex.
func (b *broken) end(now time.Time) {
	if !b.ended {
		b.ended, b.endedAt = true, now
	}
}

// Refused takes it that connecting to an endpoint failed: if nothing listens there, the
// attempts that broke shortly before ended with it.
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

// ask asks an endpoint whether it is there, once for all attempts that broke together.
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

// count counts the attempts that ended with an endpoint, if it has ended.
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

// watching reports whether there are endpoints whose end is not known.
func (k *Controller) watching() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.broken) > 0
}

// check looks again at endpoints whose connections broke: asks them, and takes it as their
// end if they are not listed any more though they had not said that they leave.
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

// RefusedConnection reports whether an error says that nothing listens at the address.
func IsConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// dial is how an endpoint is asked whether it is there.
func dial(ctx context.Context, address string) error {
	conn, err := (&net.Dialer{Timeout: checkTimeout, KeepAlive: -1}).DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return conn.Close()
}
