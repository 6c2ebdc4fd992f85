package streams

import (
	"time"

	"github.com/doorvalve/doorvalve/coordination/continuation"
	"github.com/doorvalve/doorvalve/internal/clock"
	"github.com/doorvalve/doorvalve/protocol/streampb"
	"github.com/doorvalve/doorvalve/state/fleet"
)

// Times are sent between daemons as ages, since their clocks differ.

func toWire(now time.Time, r continuation.Record) *streampb.Stream {
	o, wantedMs := r.Origin, int64(0)
	if !r.Until.IsZero() {
		wantedMs = max(1, r.Until.Sub(now).Milliseconds())
	}
	return &streampb.Stream{
		Key: r.Key[:], Service: o.Service, Software: o.Software, Endpoint: o.Incarnation.ID, StartUnixMs: o.Incarnation.StartUnixMs,
		Workspace: o.Workspace, Unit: o.Unit, AgeMs: clock.AgeMs(now, r.At), Ambiguous: o.Ambiguous, WantedMs: wantedMs,
	}
}

// fromWire decodes a record. It reports false for one without a complete key.
func fromWire(now time.Time, s *streampb.Stream) (continuation.Record, bool) {
	if len(s.GetKey()) != len(continuation.Key{}) {
		return continuation.Record{}, false
	}
	until := time.Time{}
	if s.WantedMs > 0 {
		until = now.Add(min(time.Duration(s.WantedMs), maxWantedMs) * time.Millisecond)
	}
	return continuation.Record{Key: continuation.Key(s.Key), At: clock.Ago(now, s.AgeMs), Until: until, Origin: continuation.Origin{
		Service: s.Service, Software: s.Software, Incarnation: fleet.Incarnation{ID: s.Endpoint, StartUnixMs: s.StartUnixMs},
		Workspace: s.Workspace, Unit: s.Unit, Ambiguous: s.Ambiguous,
	}}, true
}

// maxWantedMs is a day: longer times would overflow a time.Duration.
const maxWantedMs = 24 * 60 * 60 * 1000

// firstStartMs is the age of a history that reaches back to the first start of the system.
const firstStartMs = -1

func historyToWire(now, since time.Time, seen []continuation.Seen) *streampb.History {
	h := &streampb.History{WatchedMs: firstStartMs}
	if !since.IsZero() {
		h.WatchedMs = clock.AgeMs(now, since)
	}
	for _, s := range seen {
		h.Seen = append(h.Seen, &streampb.Seen{Software: s.Software, AgeMs: clock.AgeMs(now, s.At)})
	}
	return h
}

func historyFromWire(now time.Time, h *streampb.History) (since time.Time, seen []continuation.Seen) {
	if h.WatchedMs != firstStartMs {
		since = clock.Ago(now, h.WatchedMs)
	}
	for _, s := range h.Seen {
		seen = append(seen, continuation.Seen{Software: s.GetSoftware(), At: clock.Ago(now, s.GetAgeMs())})
	}
	return since, seen
}

// keysOf returns the keys of streams that have a complete one.
func keysOf(streams []*streampb.Stream) (keys []continuation.Key) {
	for _, s := range streams {
		if len(s.GetKey()) == len(continuation.Key{}) {
			keys = append(keys, continuation.Key(s.Key))
		}
	}
	return keys
}
