package main

import (
	"os"
	"syscall"

	"github.com/hashicorp/go-hclog"

	"github.com/doorvalve/doorvalve/daemon/edgedaemon"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/settings"
)

// edgeCmd runs the daemon with the desired state and the endpoints that the platform's store holds.
type edgeCmd struct{}

// Run starts the daemon and blocks until it has stopped.
func (*edgeCmd) Run(c *cli) error {
	set, err := settings.LoadEdge(c.Settings)
	if err != nil {
		return err
	}
	log := decisions.New(os.Stdout, "doorvalved", hclog.LevelFromString(set.LogLevel))
	defer log.Close()
	d, err := edgedaemon.New(set, log)
	if err != nil {
		return err
	}
	return serve(d, edgedaemon.IsStopped, syscall.SIGHUP, func() { reload(d, log, c.Settings) })
}

// reload applies the settings file again. The daemon keeps its settings if the file has errors.
func reload(d *edgedaemon.Daemon, log *decisions.Log, file string) {
	set, err := settings.LoadEdge(file)
	if err != nil {
		log.Error("settings not reloaded", "file", file, "error", err)
		return
	}
	d.Reload(set)
}
