package quarantine

import "time"

// assess scores a record from its own crashes and from the other requests that ran at the crashed
// endpoints.
func (m *Machine) assess(r *Record) Assessment {
	a := Assessment{Record: r.clone()}
	whole := r.wholeCrashes()
	for i, crash := range r.Crashes {
		switch {
		case crash.Cleared || m.explainedByOther(r, crash, whole):
		case crash.doubtful() || overlapsEarlier(r.Crashes[:i], crash):
			a.Suspicion += partialCrash
		default:
			a.Suspicion += wholeCrash * max(1, len(crash.Attempts))
		}
	}
	if a.Suspicion >= holdThreshold {
		a.NextProbe = r.nextProbe()
	}
	return a
}

// explainedByOther reports whether another request that ran at the same endpoint has crashed more
// endpoints than this one. That request is then taken to be the cause of this crash, too.
func (m *Machine) explainedByOther(r *Record, crash Crash, whole int) bool {
	for print := range m.byIncarnation[crash.Incarnation] {
		other := m.records[print]
		if other != r && other.wholeCrashes() > whole && !other.discounts(crash) {
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

// holdTime returns how long a request is held back after the given number of probes.
func holdTime(probes int) time.Duration {
	d := firstHold
	for range probes {
		if d >= maxHold {
			break
		}
		d *= holdGrowth
	}
	return min(d, maxHold)
}
