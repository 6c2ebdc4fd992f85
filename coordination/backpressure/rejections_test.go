package backpressure

import (
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/fleet"
)

// Guards against a burst of requests to an endpoint that rejects them all before the first rejection
// has arrived.
func TestRequestsThatMayBeRejectedAtOnce(t *testing.T) {
	inc, now := fleet.Incarnation{ID: "e"}, time.Unix(1000, 0)
	for _, c := range []struct{ daemons, limit, most int }{{7, 3, 1}, {7, 28, 2}, {2, 40, 10}} {
		tracker := New(Options{})
		tracker.SetDaemons(c.daemons)
		tracker.SetRejectionLimit(now, now, inc, protocol.RejectionLimit{Present: true, PerSecond: c.limit}, 640)
		n := 0
		for tracker.Admit(now, inc, Request{}).Counted && n < 100 {
			n++
		}
		if n != c.most {
			t.Errorf("%d daemons, limit %d: %d requests sent before an answer, want %d", c.daemons, c.limit, n, c.most)
		}
	}
}

// Guards against daemons that together have more requests rejected in a second than an endpoint bears,
// also where it bears fewer than there are daemons. Every request is rejected here.
func TestRejectionsOfAllDaemonsStayBelowTheLimit(t *testing.T) {
	inc := fleet.Incarnation{ID: "e"}
	for _, c := range []struct{ daemons, limit, slots int }{{7, 20, 6}, {7, 3, 6}, {24, 5, 64}, {3, 1, 64}} {
		start := time.Unix(1000, 0)
		trackers := make([]*Tracker, c.daemons)
		for i := range trackers {
			trackers[i] = New(Options{Seed: uint64(i)})
			trackers[i].SetDaemons(c.daemons)
			trackers[i].SetRejectionLimit(start, start, inc, protocol.RejectionLimit{Present: true, PerSecond: c.limit}, c.slots)
		}
		var rejections []time.Time
		for now := start; now.Before(start.Add(9 * time.Second)); now = now.Add(5 * time.Millisecond) {
			for _, tracker := range trackers {
				for len(rejections) < 10_000 && tracker.Admit(now, inc, Request{}).Open {
					rejections = append(rejections, now)
					tracker.ObserveRejection(now, inc)
					tracker.Ended(inc, false)
				}
			}
		}
		// The daemons hear of the lack of room each by a rejection of its own, once. After that they
		// stay below the limit together.
		most := 0
		for i, at := range rejections {
			n := 0
			for _, other := range rejections[i:] {
				if other.Sub(at) < time.Second {
					n++
				}
			}
			most = max(most, n)
		}
		if allowed := max(c.limit, c.daemons); most > allowed || len(rejections) == 0 {
			t.Errorf("%d daemons, limit %d: %d rejections in a second", c.daemons, c.limit, most)
		}
	}
}

func TestRunningRequestsAtAnEndpointWithARejectionLimit(t *testing.T) {
	inc, now := fleet.Incarnation{ID: "e"}, time.Unix(1000, 0)
	for _, c := range []struct{ daemons, slots, most int }{{7, 64, 9}, {7, 6, 1}, {1, 6, 6}, {3, 0, 1}} {
		tracker := New(Options{})
		tracker.SetDaemons(c.daemons)
		tracker.SetRejectionLimit(now, now, inc, protocol.RejectionLimit{Present: true, PerSecond: 5}, c.slots)
		n := 0
		for tracker.Admit(now, inc, Request{}).Counted && n < 100 {
			tracker.Answered(inc)
			n++
		}
		if n != c.most {
			t.Errorf("%d daemons, %d slots: %d requests admitted, want %d", c.daemons, c.slots, n, c.most)
		}
		if d := tracker.Peek(now, inc, Request{}); d.Reason != Full || d.OpensIn <= 0 {
			t.Errorf("decision %+v, want that it is full", d)
		}
		tracker.Ended(inc, true)
		if !tracker.Peek(now, inc, Request{}).Open {
			t.Error("closed after a request has ended")
		}
	}
}

func TestRejectionLimitEnds(t *testing.T) {
	inc, now := fleet.Incarnation{ID: "e"}, time.Unix(1000, 0)
	limit := protocol.RejectionLimit{Present: true, PerSecond: 1}
	for _, c := range []struct {
		name string
		end  func(t *Tracker) time.Time
	}{
		{"an answer without it", func(t *Tracker) time.Time {
			t.SetRejectionLimit(now, now.Add(time.Second), inc, protocol.RejectionLimit{}, 1)
			return now
		}},
		{"no word of it for long", func(*Tracker) time.Time { return now.Add(rejectionLimitTTL) }},
		{"another incarnation", func(t *Tracker) time.Time {
			t.SetLeaving(now, fleet.Incarnation{ID: "e", StartUnixMs: 2}, time.Time{})
			return now
		}},
	} {
		tracker := New(Options{})
		tracker.SetRejectionLimit(now, now, fleet.Incarnation{ID: "e", StartUnixMs: 1}, limit, 1)
		if c.name != "another incarnation" {
			tracker = New(Options{})
			tracker.SetRejectionLimit(now, now, inc, limit, 1)
		}
		at := c.end(tracker)
		if tracker.ObserveRejection(at, inc) {
			t.Errorf("%s: a rejection still begins a pause", c.name)
		}
	}
	tracker := New(Options{})
	tracker.SetRejectionLimit(now, now, inc, limit, 1)
	if tracker.SetRejectionLimit(now, now.Add(-time.Second), inc, protocol.RejectionLimit{}, 1) || !tracker.ObserveRejection(now, inc) {
		t.Error("an older answer without a limit has ended it")
	}
}
