package quarantine

import "time"

// assess scores a record from its own crashes and from the other requests that ran at the crashed
// endpoints.
func (m *Machine) standing(c *Record) Assessment {
	s := Assessment{Record: c.clone()}
	mine := c.wholeEnds()
	for i, e := range c.Crashes {
		switch {
		case e.Cleared || m.explained(c, e, mine):
		case e.doubtful() || alongside(c.Crashes[:i], e):
			s.Suspicion += partBlame
		default:
			s.Suspicion += wholeBlame * max(1, len(e.Attempts))
		}
	}
	if s.Suspicion >= blameHeld {
		s.NextProbe = c.due()
	}
	return s
}

// explainedByOther reports whether another request that ran at the same endpoint has crashed more
// endpoints than this one. That request is then taken to be the cause of this crash, too.
func (m *Machine) explained(c *Record, e Crash, mine int) bool {
	for print := range m.byLife[e.Incarnation] {
		other := m.cases[print]
		if other != c && other.wholeEnds() > mine && !other.forgave(e) {
			return true
		}
	}
	return false
}

// discounts reports whether the record counts a crash not at all or only in part.
func (c *Record) forgave(e Crash) bool {
	for _, mine := range c.Crashes {
		if mine.Same(e) {
			return mine.Cleared || mine.doubtful()
		}
	}
	return true
}

// overlapsEarlier reports whether an attempt had been sent well before an earlier crash of another
// endpoint: both endpoints were then working on the request at the same time.
func alongside(earlier []Crash, e Crash) bool {
	for _, before := range earlier {
		if !before.Cleared && !before.At.After(e.At) && before.At.Sub(e.Sent) > sameMoment {
			return true
		}
	}
	return false
}

// holdTime returns how long a request is held back after the given number of probes.
func holdFor(trials int) time.Duration {
	d := holdFirst
	for range trials {
		if d >= holdMost {
			break
		}
		d *= holdGrowth
	}
	return min(d, holdMost)
}
