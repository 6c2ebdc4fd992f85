package edgedaemon

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/doorvalve/doorvalve/coordination/membership"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/settings"
)

const (
	// lingerPart is the part of the grace period in which a stopping daemon
	// still takes requests, since callers hold older answers of the directory.
	lingerPart = 0.65
	// finishReserve is the end of the grace period that is kept for the exit
	// itself.
	finishReserve = 400 * time.Millisecond
	// stopTick is how often a stopping daemon looks whether it is done.
	stopTick = 50 * time.Millisecond
)

// Stop begins the graceful shutdown.
func (d *Daemon) Stop() {
	if !d.stopping.CompareAndSwap(0, time.Now().UnixNano()) {
		return
	}
	d.log.Info(decisions.EventStop, "daemon", d.self, "in_progress", d.callers.InProgress(), "grace_ms", d.set.Timing.Grace.D().Milliseconds())
	d.gossip.Update(func(m *membership.Member) { m.Leaving = true })
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.coordinators {
		c.Release()
	}
}

// Reload takes settings that have changed. Addresses stay until the next
// start.
func (d *Daemon) Reload(set settings.Edge) {
	d.log.Info(decisions.EventReload, "daemon", d.self, "retry_extra", set.Retries.Extra, "loads_at_once", set.Loads.AtOnce)
}

// ends returns when a stopping daemon ends what is in progress; zero while it
// serves.
func (d *Daemon) ends() time.Time {
	since := d.stopping.Load()
	if since == 0 {
		return time.Time{}
	}
	return time.Unix(0, since).Add(d.set.Timing.Grace.D() - finishReserve)
}

func (d *Daemon) draining() bool { return d.stopping.Load() != 0 }

// Serving implements platform.Directory.
func (d *Daemon) Serving() bool { return !d.draining() && d.view.Table() != nil }

// localEnough is the number of daemons in a caller's failure domain from which
// the others are left out.
const localEnough = 2

// Addresses implements platform.Directory: the daemons of the caller's failure
// domain, or all where those are too few to bear the loss of one.
func (d *Daemon) Addresses(domain string) (addresses []string, ttlSeconds int) {
	var local, all []string
	for _, m := range d.alive() {
		if m.Generation == 0 || m.ID == d.self && !d.Serving() {
			continue
		}
		all = append(all, m.CallerAddress)
		if m.FailureDomain == domain {
			local = append(local, m.CallerAddress)
		}
	}
	if len(local) >= localEnough {
		all = local
	}
	slices.Sort(all)
	all = slices.Compact(all)
	return all[:min(len(all), maxAddresses)], int(max(1, d.set.Timing.AddressTTL.D().Seconds()))
}

// maxAddresses bounds an answer of the directory.
const maxAddresses = 16

// runStop ends the daemon after a graceful shutdown.
func (d *Daemon) runStop(ctx context.Context) error {
	for {
		t := time.NewTimer(d.stopPause())
		select {
		case <-ctx.Done():
			t.Stop()
			return nil
		case <-t.C:
		}
		if since := d.stopping.Load(); since != 0 {
			return d.finish(ctx, time.Unix(0, since))
		}
	}
}

// stopPause looks seldom while nothing is asked.
func (d *Daemon) stopPause() time.Duration {
	if d.draining() {
		return stopTick
	}
	return 4 * stopTick
}

// finish takes requests for a while, then finishes those in progress.
func (d *Daemon) finish(ctx context.Context, since time.Time) error {
	grace := d.set.Timing.Grace.D()
	wait(ctx, time.Until(since.Add(time.Duration(float64(grace)*lingerPart))))
	end, cancel := context.WithDeadline(ctx, d.ends())
	defer cancel()
	done := make(chan struct{}, len(d.servers))
	for _, srv := range d.servers[:1] {
		go func(srv *http.Server) {
			_ = srv.Shutdown(end) // what is left at the end is cut off by the kill anyway
			done <- struct{}{}
		}(srv)
	}
	for range d.servers[:1] {
		<-done
	}
	return errStopped
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(max(0, d))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
