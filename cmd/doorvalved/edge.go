package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/oklog/run"

	"github.com/doorvalve/doorvalve/daemon/edgedaemon"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/settings"
)

// edgeCmd serves with desired state and endpoints from the platform's store.
type edgeCmd struct{}

// Run serves.
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
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var g run.Group
	g.Add(func() error { return d.Run(ctx) }, func(error) { cancel() })
	addEdgeSignals(&g, d, log, c.Settings)
	err = g.Run()
	if edgedaemon.IsStopped(err) {
		return nil
	}
	return err
}

// addEdgeSignals adds the actor that turns signals into a shutdown or a
// reload.
func addEdgeSignals(g *run.Group, d *edgedaemon.Daemon, log *decisions.Log, file string) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	done := make(chan struct{})
	g.Add(func() error {
		for {
			select {
			case <-done:
				return nil
			case s := <-signals:
				if s != syscall.SIGHUP {
					d.Stop()
					continue
				}
				set, err := settings.LoadEdge(file)
				if err != nil {
					log.Error("settings not reloaded", "file", file, "error", err)
					continue
				}
				d.Reload(set)
			}
		}
	}, func(error) { close(done) })
}
