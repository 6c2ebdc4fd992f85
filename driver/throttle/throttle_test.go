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
	now     time.Time
	keepers []*Controller
	left    [][]fleet.Incarnation // by daemon: the incarnations reported by OnLeaving
	told    int                   // published facts
	log     *syncbuf.Buffer
}

func newDaemons(n int) *daemons {
	d := &daemons{now: time.Now(), left: make([][]fleet.Incarnation, n), log: &syncbuf.Buffer{}}
	log := decisions.New(io.MultiWriter(d.log), "test", hclog.Info)
	clock := func() time.Time { return d.now }
	for i := range n {
		self := fmt.Sprint("d", i)
		shares := quotas.New(quotas.Options{
			Self: self, Members: func() []membership.Member { return []membership.Member{{ID: self}} }, Revision: func() uint64 { return 1 },
			Directory: func() (*workspace.Directory, uint64) { return nil, 0 }, Peer: func(string) quotapb.Quotas { return nil }, Clock: clock, Log: log, Metrics: tally.NoopScope,
		})
		d.keepers = append(d.keepers, New(Options{
			Self: self, Tracker: backpressure.New(backpressure.Options{LeaveWithin: leaveWithin}), Limits: shares.Endpoints(),
			LastReady: func(fleet.Incarnation) time.Time { return d.now }, Listed: func(fleet.Incarnation) bool { return true }, Daemons: func() int { return n },
			OnLeaving: func(life fleet.Incarnation) { d.left[i] = append(d.left[i], life) }, Publish: func(f membership.Entry) { d.tell(i, f) },
			Clock: clock, Log: log, Metrics: tally.NoopScope,
		}))
	}
	d.now = d.now.Add(time.Minute) // they have searched for other daemons in vain
	return d
}

func (d *daemons) tell(from int, f membership.Entry) {
	d.told++
	for i, k := range d.keepers {
		if i != from && !StaleFact(d.now, f) {
			k.ReceiveFact(f)
		}
	}
}

func says(b protocol.Backpressure) Answer {
	return Answer{Incarnation: one, Slots: 64, Request: "r1", Signals: b, Authoritative: true}
}

// Guards against daemons that keep sending to an endpoint which has reported leaving to another
// daemon only, and against each of them publishing that.
func TestAllDaemonsKnowThatAnEndpointLeaves(t *testing.T) {
	d := newDaemons(3)
	d.keepers[1].ObserveAnswer(says(protocol.Backpressure{Leaving: true}))
	for range 3 {
		for i, k := range d.keepers {
			k.ObserveAnswer(says(protocol.Backpressure{Leaving: true}))
			if !slices.Equal(d.left[i], []fleet.Incarnation{one}) {
				t.Errorf("daemon %d: OnLeaving for %v", i, d.left[i])
			}
			if _, got := k.Admit(t.Context(), one, backpressure.Request{}); got.Open || !got.LastResort {
				t.Errorf("daemon %d: %+v", i, got)
			}
		}
	}
	if d.told != 1 {
		t.Errorf("%d facts for one endpoint", d.told)
	}
	d.now = d.now.Add(leaveWithin)
	for i, k := range d.keepers {
		if _, got := k.Admit(t.Context(), one, backpressure.Request{}); !got.Closed() {
			t.Errorf("daemon %d after LeaveWithin: %+v", i, got)
		}
	}
}

// Guards against a pause that closes the endpoint for daemons which did not receive it, and against
// a log line for each answer of a pause.
func TestPauseConcernsOneDaemon(t *testing.T) {
	d := newDaemons(2)
	for range 50 {
		d.keepers[0].ObserveAnswer(says(protocol.Backpressure{Pause: protocol.Pause{For: 3 * time.Second}}))
	}
	if _, got := d.keepers[0].Admit(t.Context(), one, backpressure.Request{}); !got.Closed() || got.Reason != backpressure.Paused {
		t.Errorf("%+v", got)
	}
	if _, got := d.keepers[1].Admit(t.Context(), one, backpressure.Request{}); !got.Open || d.told > 0 {
		t.Errorf("another daemon: %+v, %d facts", got, d.told)
	}
	d.keepers[0].opt.Log.Close()
	if n := strings.Count(d.log.String(), decisions.EventEndpointPaused); n != 1 {
		t.Errorf("%d log lines for one pause", n)
	}
}

// Guards against unreadable signals that close an endpoint or are logged more than once for each
// endpoint.
func TestUnreadableWordsKeepNothingAway(t *testing.T) {
	d := newDaemons(1)
	k := d.keepers[0]
	for range 9 {
		k.ObserveAnswer(says(protocol.Backpressure{Pause: protocol.ReadPause([]string{"soon"}, "", d.now)}))
	}
	for _, f := range []membership.Entry{{Key: FactPrefix + "no life", Value: []byte("{}")}, {Key: FactPrefix + one.String(), Value: []byte("x")}, {Key: "other/x"}} {
		k.ReceiveFact(f)
	}
	if _, got := k.Admit(t.Context(), one, backpressure.Request{}); !got.Open {
		t.Errorf("%+v", got)
	}
	k.opt.Log.Close()
	if n := strings.Count(d.log.String(), decisions.EventPauseUnreadable); n != 1 {
		t.Errorf("%d log lines, want 1", n)
	}
}
