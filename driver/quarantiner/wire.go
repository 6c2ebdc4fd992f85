package quarantiner

import (
	"time"

	"github.com/doorvalve/doorvalve/coordination/quarantine"
	"github.com/doorvalve/doorvalve/internal/clock"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/protocol/quarantinepb"
	"github.com/doorvalve/doorvalve/state/fleet"
)

// Times are sent between daemons as ages, since their clocks differ.

func toWire(now time.Time, records []quarantine.Record) []*quarantinepb.Case {
	out := make([]*quarantinepb.Case, len(records))
	for i := range records {
		out[i] = recordToWire(now, &records[i])
	}
	return out
}

func recordToWire(now time.Time, r *quarantine.Record) *quarantinepb.Case {
	out := &quarantinepb.Case{Fingerprint: r.Fingerprint[:], Trials: int32(r.Probes), Returned: int32(r.Returned), Reopened: int32(r.LastReturned), Part: r.Part}
	for _, s := range r.ServedOn {
		out.ServedOn = append(out.ServedOn, uint64(s))
	}
	if r.Probes > 0 {
		out.TriedAgeMs = clock.AgeMs(now, r.ProbedAt)
	}
	for _, s := range r.Software {
		out.Software = append(out.Software, uint64(s))
	}
	for _, crash := range r.Crashes {
		out.Ends = append(out.Ends, &quarantinepb.End{
			Endpoint: crash.Incarnation.ID, Born: crash.Incarnation.StartUnixMs, Doubtful: crash.Doubtful, Forgiven: crash.Cleared, AgeMs: clock.AgeMs(now, crash.At), SentAgeMs: clock.AgeMs(now, crash.Sent), OrderUnixMs: crash.Order, Attempts: crash.Attempts, Served: crash.ServedBefore, Software: uint64(crash.Software),
		})
	}
	return out
}

func fromWire(now time.Time, records []*quarantinepb.Case) []quarantine.Record {
	var out []quarantine.Record
	for _, in := range records {
		if r, ok := recordFromWire(now, in); ok {
			out = append(out, r)
		}
	}
	return out
}

// recordFromWire decodes a record. It reports false for one without a complete fingerprint or
// without crashes, which carries no information.
func recordFromWire(now time.Time, in *quarantinepb.Case) (quarantine.Record, bool) {
	r := quarantine.Record{Probes: int(in.GetTrials()), Returned: int(in.GetReturned()), LastReturned: int(in.GetReopened()), Part: in.GetPart()}
	if len(in.GetFingerprint()) != len(r.Fingerprint) || len(in.GetEnds()) == 0 {
		return r, false
	}
	r.Fingerprint = protocol.Fingerprint(in.Fingerprint)
	if r.Probes > 0 {
		r.ProbedAt = clock.Ago(now, in.TriedAgeMs)
	}
	for _, s := range in.ServedOn {
		r.ServedOn = append(r.ServedOn, quarantine.Software(s))
	}
	for _, s := range in.Software {
		r.Software = append(r.Software, quarantine.Software(s))
	}
	for _, crash := range in.Ends {
		r.Crashes = append(r.Crashes, quarantine.Crash{
			Incarnation: fleet.Incarnation{ID: crash.Endpoint, StartUnixMs: crash.Born}, Doubtful: crash.Doubtful, Cleared: crash.Forgiven, At: clock.Ago(now, crash.AgeMs), Sent: clock.Ago(now, crash.SentAgeMs), Order: crash.OrderUnixMs, Attempts: crash.Attempts, ServedBefore: crash.Served, Software: quarantine.Software(crash.Software),
		})
	}
	return r, true
}
