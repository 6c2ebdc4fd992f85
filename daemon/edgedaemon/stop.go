package edgedaemon

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/doorvalve/doorvalve/coordination/membership"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/internal/pause"
	"github.com/doorvalve/doorvalve/settings"
)

const (
	// lingerPart is the part of the grace period in which a stopping daemon
	// still takes requests, since callers hold older answers of the directory.
	lingerShare = 0.65
	// finishReserve is the end of the grace period that is kept for the exit
	// itself.
	exitReserve = 400 * time.Millisecond
)

// Stop begins the graceful shutdown. A lease that this daemon holds is kept and
// lapses with the process: until then it coordinates, and its restart takes the
// lease back at once, where another host would have to leave a gap.
func (d *Daemon) Stop() {
	now := time.Now()
	if !d.stopStarted.CompareAndSwap(nil, &now) {
		return
	}
	d.log.Info(decisions.EventStop, "daemon", d.self, "in_progress", d.callers.InProgress(), "grace_ms", d.set.Timing.Grace.D().Milliseconds())
	d.gossip.Update(func(m *membership.Member) { m.Leaving = true })
	close(d.stopped)
}

// Reload takes settings that have changed. Addresses stay until the next
// start.
func (d *Daemon) Reload(set settings.Edge) {
	d.log.Info(decisions.EventReload, "daemon", d.self, "retry_extra", set.Retries.Extra, "loads_at_once", set.Loads.AtOnce)
}

// ends returns when a stopping daemon ends what is in progress; zero while it
// serves.
func (d *Daemon) deadline() time.Time {
	since := d.stopStarted.Load()
	if since == nil {
		return time.Time{}
	}
	return since.Add(d.set.Timing.Grace.D() - exitReserve)
}

func (d *Daemon) draining() bool { return d.stopStarted.Load() != nil }

// Serving implements platform.Directory.
func (d *Daemon) Serving() bool { return !d.draining() && d.view.Table() != nil }

// localEnough is the number of daemons in a caller's failure domain from which
// the others are left out.
const minLocal = 2

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
	if len(local) >= minLocal {
		all = local
	}
	slices.Sort(all)
	all = slices.Compact(all)
	// Where there are more than an answer may name, each answer names others.
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), maxAddresses)], int(max(1, d.set.Timing.AddressTTL.D().Seconds()))
}

// maxAddresses bounds an answer of the directory: callers take no more.
const maxAddresses = 64

// runStop ends the daemon after a graceful shutdown: it takes requests for a
// while, then finishes those in progress.
func (d *Daemon) runStop(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-d.stopped:
	}
	since := *d.stopStarted.Load()
	pause.For(ctx, time.Until(since.Add(time.Duration(float64(d.set.Timing.Grace.D())*lingerShare))))
	ctx, cancel := context.WithDeadline(ctx, d.deadline())
	defer cancel()
	if err := d.callerServer.Shutdown(ctx); err != nil {
		d.log.Warn("requests cut off at the end of the grace period", "in_progress", d.callers.InProgress(), "error", err)
	}
	return errStopped
}
