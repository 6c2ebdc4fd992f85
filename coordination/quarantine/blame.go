package quarantine

import "time"

// assess scores a record from its own crashes and from the other requests that ran at the crashed
// endpoints.
func (m *Machine) assess(r *Record) Assessment {
	a := Assessment{Record: r.clone()}
	whole := r.wholeCrashes()
	tied, doubtful := true, true
	for i, crash := range r.Crashes {
		switch {
		case crash.Cleared || m.explainedByOther(r, crash, whole) || r.Part != "" && crash.doubtful() && m.hasWholePart(r, crash):
			continue
		case crash.doubtful() || r.Part == "" && overlapsEarlier(r.Crashes[:i], crash):
			a.Suspicion += partialCrash
		case r.Part != "":
			a.Suspicion += wholeCrash // many requests with a sound part may run at one endpoint
		default:
			a.Suspicion += wholeCrash * max(1, len(crash.Attempts))
		}
		tied = tied && m.hasWholePart(r, crash)
		doubtful = doubtful && crash.doubtful()
	}
	if a.Suspicion >= holdThreshold {
		a.NextProbe = r.nextProbe(firstHold, holdGrowth)
	}
	if a.Held() && r.Part != "" {
		a.Tied = tied && a.Suspicion < tieThreshold
		if tied || doubtful {
			a.NextIsolatedProbe = r.nextProbe(firstIsolatedHold, isolatedGrowth)
		}
	}
	return a
}

// hasWholePart reports whether another part that was in a request at the crashed endpoint counts in
// full, as one that was never served does. It is then the more likely cause.
func (m *Machine) hasWholePart(r *Record, crash Crash) bool {
	return m.otherCounts(r, crash, func(other *Record) bool { return other.Part != "" })
}

// explainedByOther reports whether another request that ran at the same endpoint has crashed more
// endpoints than this one. That request is then taken to be the cause of this crash, too.
func (m *Machine) explainedByOther(r *Record, crash Crash, whole int) bool {
	return m.otherCounts(r, crash, func(other *Record) bool { return other.wholeCrashes() > whole })
}

// otherCounts reports whether the crash counts in full for another record that match accepts.
func (m *Machine) otherCounts(r *Record, crash Crash, match func(*Record) bool) bool {
	for print := range m.byIncarnation[crash.Incarnation] {
		if other := m.records[print]; other != r && match(other) && !other.discounts(crash) {
			return true
		}
	}
	return false
}

// discounts reports whether the record counts a crash not at all or only in part.
func (r *Record) discounts(crash Crash) bool {
	for _, own := range r.Crashes {
		if own.Same(crash) {
			return own.Cleared || own.doubtful()
		}
	}
	return true
}

// overlapsEarlier reports whether an attempt had been sent well before an earlier crash of another
// endpoint: both endpoints were then working on the request at the same time.
func overlapsEarlier(earlier []Crash, crash Crash) bool {
	for _, other := range earlier {
		if !other.Cleared && !other.At.After(crash.At) && other.At.Sub(crash.Sent) > detectionDelay {
			return true
		}
	}
	return false
}

// holdTime returns how long a request is held back after the given number of probes, by the time of
// its first hold and the growth of the next ones.
func holdTime(first, growth time.Duration, probes int) time.Duration {
	d := first
	for range probes {
		if d >= maxHold {
			break
		}
		d *= growth
	}
	return min(d, maxHold)
}
