package quarantine

import "time"

// standing judges a case by itself and by what else ran where its endpoints ended.
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

// explained reports whether another request that ran at the endpoint has ended more
// endpoints than this one: then it has ended this one too.
func (m *Machine) explained(c *Record, e Crash, mine int) bool {
	for print := range m.byLife[e.Incarnation] {
		other := m.cases[print]
		if other != c && other.wholeEnds() > mine && !other.forgave(e) {
			return true
		}
	}
	return false
}

// forgave reports whether a case does not count the end, or only in part.
func (c *Record) forgave(e Crash) bool {
	for _, mine := range c.Crashes {
		if mine.Same(e) {
			return mine.Cleared || mine.doubtful()
		}
	}
	return true
}

// alongside reports whether an attempt had been sent well before another endpoint ended
// first: both worked on the request at the same time.
func alongside(earlier []Crash, e Crash) bool {
	for _, before := range earlier {
		if !before.Cleared && !before.At.After(e.At) && before.At.Sub(e.Sent) > sameMoment {
			return true
		}
	}
	return false
}

// holdFor returns how long a request is held back after so many trials.
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
