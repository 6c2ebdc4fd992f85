package daemon

import (
	"github.com/hashicorp/go-hclog"

	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/settings"
)

// Reload applies settings that have been read again, as far as a running daemon can, and logs which fields
// wait for its next start. It must not be called concurrently.
func (d *Daemon) Reload(next settings.Settings) {
	r := settings.Reload(*d.inForce.Load(), next)
	d.inForce.Store(&r.InForce)
	d.retries.SetLimit(r.InForce.Retries.Limit())
	d.log.ChangeLevel(hclog.LevelFromString(r.InForce.LogLevel), decisions.EventReload, "applied", r.Applied, "at_next_start", r.AtNextStart)
}
