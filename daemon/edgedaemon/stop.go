package edgedaemon

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/doorvalve/doorvalve/coordination/membership"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/internal/pause"
)

const (
	// lingerShare is the share of the grace period in which a stopping daemon
	// still accepts requests, since callers use cached answers of the directory.
	lingerShare = 0.65
	// exitReserve is the last part of the grace period, reserved for the exit of
	// the process after the requests in progress have ended.
	exitReserve = 400 * time.Millisecond
	// refusalReserve is the part of exitReserve in which requests that have not ended are refused.
	refusalReserve = 200 * time.Millisecond
)

// Stop begins the graceful shutdown; further calls do nothing. A lease that this
// daemon holds is not released but expires after the process has ended. Until
// then the daemon coordinates, and after a restart it takes the lease back at
// once, whereas a daemon on another host would have to leave a gap between the
// orders of the two holders.
func (d *Daemon) Stop() {
	now := time.Now()
	if !d.stopStarted.CompareAndSwap(nil, &now) {
		return
	}
	d.log.Info(decisions.EventStop, "daemon", d.self, "in_progress", d.callers.InProgress(), "grace_ms", d.inForce.Load().Timing.Grace.D().Milliseconds())
	d.gossip.Update(func(m *membership.Member) { m.Leaving = true })
	close(d.stopped)
}

// deadline returns the time at which a stopping daemon cuts off requests in
// progress; zero before the shutdown begins.
func (d *Daemon) deadline() time.Time {
	since := d.stopStarted.Load()
	if since == nil {
		return time.Time{}
	}
	return since.Add(d.inForce.Load().Timing.Grace.D() - exitReserve)
}

// closesAt returns the time from which a stopping daemon takes no more requests;
// zero before the shutdown begins.
func (d *Daemon) closesAt() time.Time {
	since := d.stopStarted.Load()
	if since == nil {
		return time.Time{}
	}
	return since.Add(time.Duration(float64(d.inForce.Load().Timing.Grace.D()) * lingerShare))
}

// closedToCallers reports whether the daemon takes no more requests.
func (d *Daemon) closedToCallers() bool {
	closesAt := d.closesAt()
	return !closesAt.IsZero() && !time.Now().Before(closesAt)
}

// draining reports whether the shutdown has begun.
func (d *Daemon) draining() bool { return d.stopStarted.Load() != nil }

// Serving implements platform.Directory.
func (d *Daemon) Serving() bool { return !d.draining() && d.view.Table() != nil }

// minLocal is the least number of daemons in a caller's failure domain at which
// daemons of other failure domains are left out of the directory's answer.
const minLocal = 2

// Addresses implements platform.Directory. It returns the daemons of the caller's
// failure domain, or all daemons if there are too few in that domain to tolerate
// the loss of one.
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
	// If there are more than maxAddresses, each answer has a different selection.
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), maxAddresses)], int(max(1, d.inForce.Load().Timing.AddressTTL.D().Seconds()))
}

// maxAddresses bounds the addresses in an answer of the directory: callers accept
// no more.
const maxAddresses = 64

// runStop waits for the shutdown to begin and carries it out: the daemon accepts
// requests for lingerShare of the grace period, then only finishes those in
// progress. It returns errStopped when that is done.
func (d *Daemon) runStop(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-d.stopped:
	}
	pause.For(ctx, time.Until(d.closesAt()))
	ctx, cancel := context.WithDeadline(ctx, d.deadline())
	defer cancel()
	if d.inbound.Shutdown(ctx) != nil {
		d.giveUpRequests()
	}
	d.tunnels.Wait(ctx)
	return errStopped
}

// giveUpRequests refuses the requests that are in progress at the end of the grace period.
func (d *Daemon) giveUpRequests() {
	inProgress := d.callers.InProgress()
	d.callers.GiveUp()
	ctx, cancel := context.WithTimeout(context.Background(), refusalReserve)
	defer cancel()
	err := d.inbound.Shutdown(ctx)
	d.log.Warn("requests given up at the end of the grace period", "in_progress", inProgress, "cut_off", d.callers.InProgress(), "error", err)
}
