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
	signals := receiveSignals()
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
	return serve(d, edgedaemon.IsStopped, signals, map[os.Signal]func(){
		syscall.SIGHUP: func() { reload(c.Settings, settings.LoadEdge, d.Reload, log) },
	})
}
