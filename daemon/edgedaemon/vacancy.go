package edgedaemon

import (
	"sync"
	"time"
)

const (
	// storeOutageEstimate is the expected remaining time of an outage of the store
	// once it is detected: half of the users' outages are shorter.
	storeOutageEstimate = 3 * time.Second
	// minVacancyEstimate is the estimate for a vacancy that already lasts longer
	// than a takeover takes.
	minVacancyEstimate = 500 * time.Millisecond
)

// vacancies records since when services have had no coordinator, to estimate how
// long their requests must wait for one. It is safe for concurrent use.
type vacancies struct {
	// takeover is how long a vacancy lasts after a coordinator has crashed: the
	// rest of its lease's term and the gap between the orders of two holders.
	takeover time.Duration

	mu    sync.Mutex
	since map[string]time.Time // by service
}

// readyIn records that a service has no coordinator, and returns how long the
// vacancy is expected to last. storeOutage means that the store answers neither
// this daemon nor its peers; if it rejects only this daemon, another one takes
// over.
func (v *vacancies) readyIn(now time.Time, service string, storeOutage bool) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.since == nil {
		v.since = map[string]time.Time{}
	}
	since, ok := v.since[service]
	if !ok || storeOutage {
		// No daemon can take over without the store, so the takeover time counts
		// from the end of the outage.
		v.since[service], since = now, now
	}
	if storeOutage {
		return storeOutageEstimate
	}
	return max(minVacancyEstimate, v.takeover-now.Sub(since))
}

// filled records that a service has a coordinator again.
func (v *vacancies) filled(service string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.since, service)
}
