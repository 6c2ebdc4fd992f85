package edgedaemon

import (
	"sync"
	"time"
)

// partitions records since when this daemon has had no path to the endpoints of services. The zero
// value is ready to use. It is safe for concurrent use.
type partitions struct {
	mu    sync.Mutex
	since map[string]time.Time // by service
}

// lastFor returns how long the daemon has been partitioned from a service; zero if it is not.
func (p *partitions) lastFor(now time.Time, service string, partitioned bool) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !partitioned {
		delete(p.since, service)
		return 0
	}
	if p.since == nil {
		p.since = map[string]time.Time{}
	}
	since, ok := p.since[service]
	if !ok {
		p.since[service], since = now, now
	}
	return now.Sub(since)
}
