package quarantiner

import (
	"time"

	"github.com/doorvalve/doorvalve/coordination/quarantine"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/protocol/quarantinepb"
	"github.com/doorvalve/doorvalve/state/fleet"
)

// Times are sent between daemons as ages, since their clocks differ.

func toWire(now time.Time, cases []quarantine.Record) []*quarantinepb.Case {
	out := make([]*quarantinepb.Case, len(cases))
	for i := range cases {
		out[i] = caseToWire(now, &cases[i])
	}
	return out
}

func caseToWire(now time.Time, c *quarantine.Record) *quarantinepb.Case {
	out := &quarantinepb.Case{Fingerprint: c.Fingerprint[:], Trials: int32(c.Probes), Returned: int32(c.Returned), Reopened: int32(c.LastReturned)}
	if c.Probes > 0 {
		out.TriedAgeMs = age(now, c.ProbedAt)
	}
	for _, s := range c.Software {
		out.Software = append(out.Software, uint64(s))
	}
	for _, e := range c.Crashes {
		out.Ends = append(out.Ends, &quarantinepb.End{
			Endpoint: e.Incarnation.ID, Born: e.Incarnation.StartUnixMs, Doubtful: e.Doubtful, Forgiven: e.Cleared, AgeMs: age(now, e.At), SentAgeMs: age(now, e.Sent), OrderUnixMs: e.Order, Attempts: e.Attempts, Served: e.ServedBefore,
		})
	}
	return out
}

func fromWire(now time.Time, cases []*quarantinepb.Case) []quarantine.Record {
	var out []quarantine.Record
	for _, in := range cases {
		if c, ok := caseFromWire(now, in); ok {
			out = append(out, c)
		}
	}
	return out
}

// recordFromWire decodes a record. It reports false for one without a complete fingerprint or
// without crashes, which carries no information.
func caseFromWire(now time.Time, in *quarantinepb.Case) (quarantine.Record, bool) {
	c := quarantine.Record{Probes: int(in.GetTrials()), Returned: int(in.GetReturned()), LastReturned: int(in.GetReopened())}
	if len(in.GetFingerprint()) != len(c.Fingerprint) || len(in.GetEnds()) == 0 {
		return c, false
	}
	c.Fingerprint = protocol.Fingerprint(in.Fingerprint)
	if c.Probes > 0 {
		c.ProbedAt = at(now, in.TriedAgeMs)
	}
	for _, s := range in.Software {
		c.Software = append(c.Software, quarantine.Software(s))
	}
	for _, e := range in.Ends {
		c.Crashes = append(c.Crashes, quarantine.Crash{
			Incarnation: fleet.Incarnation{ID: e.Endpoint, StartUnixMs: e.Born}, Doubtful: e.Doubtful, Cleared: e.Forgiven, At: at(now, e.AgeMs), Sent: at(now, e.SentAgeMs), Order: e.OrderUnixMs, Attempts: e.Attempts, ServedBefore: e.Served,
		})
	}
	return c, true
}

func age(now, then time.Time) int64 { return max(0, now.Sub(then).Milliseconds()) }

func at(now time.Time, ageMs int64) time.Time {
	return now.Add(-time.Duration(max(0, ageMs)) * time.Millisecond)
}
