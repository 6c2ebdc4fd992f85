package throttle

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/doorvalve/doorvalve/coordination/backpressure"
	"github.com/doorvalve/doorvalve/coordination/membership"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/driver/quotas"
	"github.com/doorvalve/doorvalve/internal/syncbuf"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/protocol/quotapb"
	"github.com/doorvalve/doorvalve/state/fleet"
	"github.com/doorvalve/doorvalve/state/workspace"
)

const leaveWithin = 2 * time.Second

var one = fleet.Incarnation{ID: "i-1", StartUnixMs: 1000}

// daemons are controllers that exchange facts at once.
type daemons struct {
	now         time.Time
	controllers []*Controller
	leaving     [][]fleet.Incarnation // by daemon: the incarnations reported by OnLeaving
	published   int                   // published facts
	skew        []time.Duration       // by daemon: how far its clock is ahead
	log         *syncbuf.Buffer
}

func newDaemons(n int) *daemons {
	d := &daemons{now: time.Now(), leaving: make([][]fleet.Incarnation, n), log: &syncbuf.Buffer{}}
	log := decisions.New(io.MultiWriter(d.log), "test", hclog.Info)
	d.skew = make([]time.Duration, n)
	for i := range n {
		clock := func() time.Time { return d.now.Add(d.skew[i]) }
		self := fmt.Sprint("d", i)
		shares := quotas.New(quotas.Options{
			Self: self, Members: func() []membership.Member { return []membership.Member{{ID: self}} }, Revision: func() uint64 { return 1 },
			Directory: func() (*workspace.Directory, uint64) { return nil, 0 }, Peer: func(string) quotapb.Quotas { return nil }, Clock: clock, Log: log, Metrics: tally.NoopScope,
		})
		d.controllers = append(d.controllers, New(Options{
			Self: self, Tracker: backpressure.New(backpressure.Options{LeaveWithin: leaveWithin}), Limits: shares.Endpoints(),
			LastReady: func(fleet.Incarnation) time.Time { return d.now }, Listed: func(fleet.Incarnation) bool { return true }, Daemons: func() int { return n },
			OnLeaving: func(inc fleet.Incarnation) { d.leaving[i] = append(d.leaving[i], inc) }, Publish: func(f membership.Entry) { d.publish(i, f) },
			Slots: func(fleet.Incarnation) int { return 64 }, Clock: clock, Log: log, Metrics: tally.NoopScope,
		}))
	}
	d.now = d.now.Add(time.Minute) // they have searched for other daemons in vain
	return d
}

func (d *daemons) publish(from int, f membership.Entry) {
	d.published++
	for i, c := range d.controllers {
		if i != from && !StaleFact(d.now.Add(d.skew[i]), f) {
			c.ReceiveFact(f)
		}
	}
}

func answerWith(b protocol.Backpressure) Answer {
	return Answer{Incarnation: one, Slots: 64, Request: "r1", Signals: b, Authoritative: true}
}

// Guards against daemons that keep sending to an endpoint which has reported leaving to another
// daemon only, and against each of them publishing that.
func TestAllDaemonsKnowThatAnEndpointLeaves(t *testing.T) {
	d := newDaemons(3)
	d.controllers[1].ObserveAnswer(answerWith(protocol.Backpressure{Leaving: true}))
	for range 3 {
		for i, c := range d.controllers {
			c.ObserveAnswer(answerWith(protocol.Backpressure{Leaving: true}))
			if !slices.Equal(d.leaving[i], []fleet.Incarnation{one}) {
				t.Errorf("daemon %d: OnLeaving for %v", i, d.leaving[i])
			}
			if _, got := c.Admit(t.Context(), one, backpressure.Request{}); got.Open || !got.LastResort {
				t.Errorf("daemon %d: %+v", i, got)
			}
		}
	}
	if d.published != 1 {
		t.Errorf("%d facts for one endpoint", d.published)
	}
	d.now = d.now.Add(leaveWithin)
	for i, c := range d.controllers {
		if _, got := c.Admit(t.Context(), one, backpressure.Request{}); !got.Closed() {
			t.Errorf("daemon %d after LeaveWithin: %+v", i, got)
		}
	}
}

// Guards against clocks that are a minute off: a rejection limit that one daemon hears must hold at all, what a daemon hears
// itself must count at once, and the limit must go on while any daemon hears it.
func TestRejectionLimitsWithClocksApart(t *testing.T) {
	limited := answerWith(protocol.Backpressure{Rejections: protocol.RejectionLimit{Present: true, PerSecond: 8}})
	for _, skew := range []time.Duration{-time.Minute, 0, time.Minute} {
		d := newDaemons(3)
		d.skew[0] = skew
		hear := func(i int, a Answer) {
			a.Sent = d.now.Add(d.skew[i])
			d.controllers[i].ObserveAnswer(a)
		}
		knows := func(i int) bool { return d.controllers[i].opt.Tracker.ObserveRejection(d.now.Add(d.skew[i]), one) }
		hear(0, limited)
		if !knows(1) || !knows(2) {
			t.Errorf("clock %v ahead: the others do not know the limit", skew)
		}
		d.now = d.now.Add(3 * time.Second)
		hear(1, answerWith(protocol.Backpressure{}))
		if knows(1) {
			t.Errorf("clock %v ahead: the limit goes on where an answer ended it", skew)
		}
		for range 40 {
			d.now = d.now.Add(2 * time.Second)
			hear(2, limited)
			if d.now = d.now.Add(5 * time.Second); !knows(0) || !knows(1) {
				t.Fatalf("clock %v ahead: the others do not know a limit that was heard 5 s ago", skew)
			}
		}
		if d.published > 45 {
			t.Errorf("clock %v ahead: %d facts in 42 answers", skew, d.published)
		}
	}
}

// Guards against a pause that closes the endpoint for daemons which did not receive it, and against
// a log line for each answer of a pause.
func TestPauseConcernsOneDaemon(t *testing.T) {
	d := newDaemons(2)
	for range 50 {
		d.controllers[0].ObserveAnswer(answerWith(protocol.Backpressure{Pause: protocol.Pause{For: 3 * time.Second}}))
	}
	if _, got := d.controllers[0].Admit(t.Context(), one, backpressure.Request{}); !got.Closed() || got.Reason != backpressure.Paused {
		t.Errorf("%+v", got)
	}
	if _, got := d.controllers[1].Admit(t.Context(), one, backpressure.Request{}); !got.Open || d.published > 0 {
		t.Errorf("another daemon: %+v, %d facts", got, d.published)
	}
	d.controllers[0].opt.Log.Close()
	if n := strings.Count(d.log.String(), decisions.EventEndpointPaused); n != 1 {
		t.Errorf("%d log lines for one pause", n)
	}
}

// Guards against unreadable signals that close an endpoint or are logged more than once for each
// endpoint.
func TestUnreadableSignalsCloseNothing(t *testing.T) {
	d := newDaemons(1)
	c := d.controllers[0]
	for range 9 {
		c.ObserveAnswer(answerWith(protocol.Backpressure{Pause: protocol.ReadPause([]string{"soon"}, "", d.now)}))
	}
	for _, f := range []membership.Entry{{Key: FactPrefix + "no life", Value: []byte("{}")}, {Key: FactPrefix + one.String(), Value: []byte("x")}, {Key: "other/x"}} {
		c.ReceiveFact(f)
	}
	if _, got := c.Admit(t.Context(), one, backpressure.Request{}); !got.Open {
		t.Errorf("%+v", got)
	}
	c.opt.Log.Close()
	if n := strings.Count(d.log.String(), decisions.EventPauseUnreadable); n != 1 {
		t.Errorf("%d log lines, want 1", n)
	}
}
