package edgedaemon

import (
	"sync"
	"time"
)

const (
	// storeReturns is the estimate of how long an outage of the store goes on
	// that is noticed: half of those of the users' days last less.
	storeOutageEstimate = 3 * time.Second
	// leastVacancy is the estimate for a vacancy that has outlasted a takeover.
	minVacancyEstimate = 500 * time.Millisecond
)

// vacancies remembers since when services are without a coordinator, to tell
// requests how long that will go on.
type vacancies struct {
	// takeover is how long a vacancy lasts after a coordinator has died: the
	// rest of its lease and the gap between two holders' orders.
	takeover time.Duration

	mu    sync.Mutex
	since map[string]time.Time // by service
}

// readyIn records that a service has no coordinator, and returns how long that
// is expected to go on. storeAway says that nobody hears the store; where it only
// turns this daemon away, another one takes over.
func (v *vacancies) readyIn(now time.Time, service string, storeOutage bool) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.since == nil {
		v.since = map[string]time.Time{}
	}
	since, ok := v.since[service]
	if !ok || storeOutage {
		// Without the store nobody can take over: that begins with its return.
		v.since[service], since = now, now
	}
	if storeOutage {
		return storeOutageEstimate
	}
	return max(minVacancyEstimate, v.takeover-now.Sub(since))
}

// filled records that a service has a coordinator.
func (v *vacancies) filled(service string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.since, service)
}
