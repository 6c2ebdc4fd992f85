package edgedaemon

import (
	"context"
	"math"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/doorvalve/doorvalve/coordination/balance"
	"github.com/doorvalve/doorvalve/coordination/relay"
)

// gauges report the daemon's present state. They are updated every metricsInterval.
type gauges struct {
	endpointsAge, desiredAge, desiredVersion, endpoints, unusable, inProgress, members, linesLost, linesSkipped tally.Gauge
	heldBytes                                                                                                   tally.Gauge
	pendingPrompt, heldTokens                                                                                   tally.Gauge
	slowest, fastest                                                                                            tally.Gauge
}

func newGauges(scope tally.Scope) gauges {
	view, log, work := scope.SubScope("view"), scope.SubScope("log"), scope.SubScope("work")
	speed := func(engine string) tally.Gauge {
		return work.Tagged(map[string]string{"engine": engine}).Gauge("engine_speed_ratio")
	}
	return gauges{
		endpointsAge: view.Gauge("endpoints_age_seconds"), desiredAge: view.Gauge("desired_state_age_seconds"), desiredVersion: view.Gauge("desired_state_version"), endpoints: view.Gauge("endpoints"), unusable: view.Gauge("unusable_entries"),
		inProgress: scope.SubScope("caller").Gauge("requests_in_progress"), members: scope.SubScope("membership").Gauge("daemons_alive"),
		linesLost: log.Gauge("lines_lost"), linesSkipped: log.Gauge("lines_skipped"),
		heldBytes: scope.SubScope("caller").Gauge("held_bytes"), pendingPrompt: work.Gauge("pending_prompt_tokens"), heldTokens: work.Gauge("held_tokens"),
		slowest: speed("slowest"), fastest: speed("fastest"),
	}
}

// runGauges updates the gauges until ctx ends.
func (d *Daemon) runGauges(ctx context.Context) error {
	g := newGauges(d.metrics)
	t := time.NewTicker(metricsInterval)
	defer t.Stop()
	for {
		d.setGauges(g)
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

func (d *Daemon) setGauges(g gauges) {
	g.endpointsAge.Update(d.endpointsAge().Seconds())
	g.desiredAge.Update(d.view.Age(relay.DesiredState).Seconds())
	if table := d.view.Table(); table != nil {
		g.desiredVersion.Update(float64(table.Version))
	}
	g.endpoints.Update(float64(len(d.view.Endpoints().ByID)))
	g.unusable.Update(float64(d.view.UnusableCount()))
	g.inProgress.Update(float64(d.callers.InProgress()))
	g.members.Update(float64(len(d.alive())))
	g.heldBytes.Update(float64(d.callers.HeldBytes()))
	g.setWork(d.balancer.OwnLoads())
	lost, skipped := d.log.Dropped()
	g.linesLost.Update(float64(lost))
	g.linesSkipped.Update(float64(skipped))
}

// setWork reports this daemon's work at all engines together, and the range of their speeds: a
// series for each engine would not be bounded. Speeds that are not known are left out.
func (g gauges) setWork(loads balance.EngineLoads) {
	pending, held := 0, 0
	slowest, fastest := math.Inf(1), 0.0
	for _, l := range loads {
		pending += l.PendingPrompt
		held += l.Held
		if l.Speed > 0 {
			slowest, fastest = min(slowest, l.Speed), max(fastest, l.Speed)
		}
	}
	g.pendingPrompt.Update(float64(pending))
	g.heldTokens.Update(float64(held))
	if fastest > 0 {
		g.slowest.Update(slowest)
		g.fastest.Update(fastest)
	}
}

// endpointsAge returns the greatest possible age of the local view of the endpoints.
func (d *Daemon) endpointsAge() time.Duration { return d.view.Age(relay.Endpoints) }
