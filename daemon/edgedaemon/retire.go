package edgedaemon

import (
	"context"
	"sync"
	"time"

	"github.com/doorvalve/doorvalve/driver/coordinator"
	"github.com/doorvalve/doorvalve/state/routing"
)

const (
	// retireCheck is the interval of looking for coordinators of services that are gone. A write of a lease takes less
	// (driver/coordinator): one that gives the lease up has ended at the check after it.
	retireCheck = time.Second
	// retireSlack is for daemons at which the service is still in force: a new desired state reaches all within a second or two.
	retireSlack = 2 * time.Second
	// defaultRetireAfter is how long a service that is gone keeps its coordinator if no route to it had a timeout.
	defaultRetireAfter = 30 * time.Second
)

// retirements records which services are gone from the desired state, and until when their requests may be in progress: a
// request that has arrived before still waits for its model. The zero value is ready to use. It is safe for concurrent use.
type retirements struct {
	mu     sync.Mutex
	after  map[string]time.Duration // the longest time of a request, by service with a coordinator
	goneAt map[string]time.Time
	// idle are the services whose coordinator held no lease at the last check.
	idle map[string]bool
}

// observe records a desired state.
func (r *retirements) observe(now time.Time, table *routing.Table) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.after == nil {
		r.after, r.goneAt = map[string]time.Duration{}, map[string]time.Time{}
		r.idle = map[string]bool{}
	}
	for name := range r.after {
		if svc := table.Services[name]; svc != nil && svc.Engine != nil {
			delete(r.goneAt, name)
		} else if r.goneAt[name].IsZero() {
			r.goneAt[name] = now
		}
	}
	for name, svc := range table.Services {
		if svc.Engine != nil {
			r.after[name] = max(r.after[name], table.LongestRequest(name)) // earlier requests keep their earlier time
		}
	}
}

// due reports whether a service is gone, and all of its requests have ended.
func (r *retirements) due(now time.Time, service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	gone := r.goneAt[service]
	after := r.after[service]
	if after == 0 {
		after = defaultRetireAfter
	}
	return !gone.IsZero() && now.Sub(gone) >= after+retireSlack
}

// wasIdle records whether the coordinator of a service that is due holds no lease, and reports whether it had none at the last
// check either.
func (r *retirements) wasIdle(service string, idle bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.idle[service]
	r.idle[service] = idle
	return idle && before
}

// forget drops what is recorded about a service without a coordinator.
func (r *retirements) forget(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.after, service)
	delete(r.goneAt, service)
	delete(r.idle, service)
}

// runningCoordinator is a coordinator and what ends its loop; end is nil before it runs.
type runningCoordinator struct {
	*coordinator.Coordinator
	end context.CancelFunc
}

// runRetirements ends coordinators of services that are gone, until ctx ends.
func (d *Daemon) runRetirements(ctx context.Context) error {
	t := time.NewTicker(retireCheck)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			d.retire(now)
		}
	}
}

// retire ends coordinators of services that are gone. One that holds its lease gives it up before (resigns). If the store does
// not answer, the lease's record keeps this daemon's name until another daemon takes it.
func (d *Daemon) retire(now time.Time) {
	d.views.mu.Lock() // useView, which configures coordinators, holds it
	defer d.views.mu.Unlock()
	d.mu.Lock()
	defer d.mu.Unlock()
	for service, c := range d.coordinators {
		if !d.retirements.due(now, service) || c.end == nil || !d.retirements.wasIdle(service, !c.Holds()) {
			continue
		}
		c.end()
		delete(d.coordinators, service)
		d.retirements.forget(service)
	}
}
