package edgedaemon

import (
	"github.com/hashicorp/go-hclog"

	"github.com/doorvalve/doorvalve/coordination/access"
	"github.com/doorvalve/doorvalve/coordination/membership"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/settings"
)

// Reload applies settings that have been read again, as far as a running daemon can, and logs which fields
// wait for its next start. It must not be called concurrently.
func (d *Daemon) Reload(next settings.Edge) {
	r := settings.Reload(*d.inForce.Load(), next)
	set := &r.InForce
	d.inForce.Store(set)
	d.callers.SetAccess(accessBounds(set))
	d.retries.SetLimit(set.Retries.Limit())
	if capacity := set.Limits.Capacity(); d.gossip.Self().Capacity != capacity {
		d.gossip.Update(func(m *membership.Member) { m.Capacity = capacity })
	}
	d.log.ChangeLevel(hclog.LevelFromString(set.LogLevel), decisions.EventReload, "daemon", d.self, "applied", r.Applied, "at_next_start", r.AtNextStart)
}

func accessBounds(set *settings.Edge) access.Bounds {
	return access.Bounds{Apply: set.Timing.ApplyWithin.D(), Revoke: set.Timing.RevokeWithin.D()}
}
