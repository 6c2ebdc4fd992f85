package paths

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/doorvalve/doorvalve/coordination/membership"
	"github.com/doorvalve/doorvalve/coordination/reach"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/internal/pause"
)

const (
	// FactPrefix is the prefix of the keys of facts about daemons without a path to the endpoints.
	FactPrefix = "partitioned/"
	// factLifetime is how long such a fact is kept; it is published again every repeatInterval.
	factLifetime   = 40 * time.Second
	repeatInterval = 10 * time.Second
	// minPublishInterval is the least time between two facts of a daemon.
	minPublishInterval = time.Second
	// minLogInterval is the least time between two lines about lost paths.
	minLogInterval = time.Second
	// maxLogged bounds the addresses in a line.
	maxLogged = 8
)

// report is what a line about lost paths says.
type report struct {
	lost int
	at   time.Time
}

// publication is the last published fact.
type publication struct {
	partitioned bool
	at          time.Time
}

// fact is the encoded value of a fact.
type fact struct {
	Partitioned bool `json:"partitioned"`
}

// Run tries lost paths, logs changes and publishes facts until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		d := restTick
		if c.anyLost.Load() {
			d = tick
		}
		pause.Until(ctx, time.Now().Add(d), c.wake)
		c.step(ctx)
	}
	return nil
}

func (c *Controller) step(ctx context.Context) {
	now := c.opt.Clock()
	c.mu.Lock()
	trials := c.table.Trials(now)
	listed, lost := c.table.Counts()
	c.mu.Unlock()
	c.metrics.lost.Update(float64(lost))
	c.metrics.reached.Update(float64(listed - lost))
	for _, address := range trials {
		c.metrics.trials.Inc(1)
		go c.try(ctx, address)
	}
	c.report(now)
	c.publish(now)
	c.updateMembers()
}

// try opens a connection over a lost path.
func (c *Controller) try(ctx context.Context, address string) {
	conn, err := c.DialDirect(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.TrialEnded(c.opt.Clock(), address)
}

// report logs a change of the number of lost paths.
func (c *Controller) report(now time.Time) {
	c.mu.Lock()
	listed, lost := c.table.Counts()
	before := c.logged
	changed := lost != before.lost && (before.lost == 0 || lost == 0 || now.Sub(before.at) >= minLogInterval)
	summary := reach.Summary{}
	if changed {
		c.logged = report{lost, now}
		summary = c.table.Summary(now, maxLogged)
	}
	c.mu.Unlock()
	switch {
	case !changed:
	case lost == 0:
		c.opt.Log.Info(decisions.EventPathRegained, "endpoints", listed, "lost_before", before.lost)
	default:
		c.opt.Log.Info(decisions.EventPathLost, "endpoints", listed, "lost", lost, "reached_by_others", summary.Relayed, "refused", summary.Refused, "silent", summary.Silent, "since_ms", now.Sub(summary.Since).Milliseconds(), "addresses", summary.Addresses)
	}
}

// publish tells the other daemons whether this one has a path to the endpoints, when that changes and
// from time to time while it has none.
func (c *Controller) publish(now time.Time) {
	c.mu.Lock()
	partitioned := c.table.PartitionedFromAll()
	last := c.published
	age := now.Sub(last.at)
	due := partitioned != last.partitioned && age >= minPublishInterval || partitioned && age >= repeatInterval
	if due {
		c.published = publication{partitioned, now}
	}
	c.mu.Unlock()
	if due {
		value, _ := json.Marshal(fact{partitioned}) // a bool always marshals
		c.opt.Publish(membership.Entry{Key: FactPrefix + c.opt.Self, Version: uint64(now.UnixMilli()), Value: value})
	}
}

// StaleFact reports whether a fact is about a daemon that has said nothing for factLifetime.
func StaleFact(now time.Time, f membership.Entry) bool {
	return strings.HasPrefix(f.Key, FactPrefix) && now.Sub(time.UnixMilli(int64(f.Version))) > factLifetime
}

// ReceiveFact processes the fact that another daemon has no path to the endpoints, or has one again.
func (c *Controller) ReceiveFact(f membership.Entry) {
	id, ok := strings.CutPrefix(f.Key, FactPrefix)
	if !ok || id == c.opt.Self {
		return
	}
	var value fact
	if err := json.Unmarshal(f.Value, &value); err != nil {
		c.opt.Log.Warn(decisions.EventFactUnreadable, "key", f.Key, "error", err)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.SetPartitioned(id, value.Partitioned)
}

// updateMembers passes the present daemons to the table. While one that has left or is stopping still
// relays, idle relayed connections are closed, so that it need not wait for them.
func (c *Controller) updateMembers() {
	members := c.relays()
	c.mu.Lock()
	relaying := c.table.SetMembers(members)
	c.mu.Unlock()
	if relaying {
		c.transports.closeIdleRelayed()
	}
}
