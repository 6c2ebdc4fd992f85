package main

import (
	"context"
	"os"
	"syscall"

	"github.com/oklog/run"

	"github.com/doorvalve/doorvalve/driver/decisions"
)

// server is a daemon, of the kind that either the run or the edge command starts.
type server interface {
	// Run serves until the shutdown is complete or ctx ends.
	Run(ctx context.Context) error
	// Stop begins the graceful shutdown.
	Stop()
}

// serve runs a daemon until it has stopped. SIGTERM and SIGINT begin its
// graceful shutdown; for other signals it calls their handlers. The error that
// isStopped recognizes, with which Run returns after a graceful shutdown, is
// returned as nil.
func serve(d server, isStopped func(error) bool, received signals, handlers map[os.Signal]func()) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	handlers[syscall.SIGTERM], handlers[syscall.SIGINT] = d.Stop, d.Stop
	var g run.Group
	g.Add(func() error { return d.Run(ctx) }, func(error) { cancel() })
	received.handle(&g, handlers)
	err := g.Run()
	if isStopped(err) {
		return nil
	}
	return err
}

// reload reads the settings file again and applies it. The daemon keeps its settings if the file has errors.
func reload[S any](file string, load func(string) (S, error), apply func(S), log *decisions.Log) {
	set, err := load(file)
	if err != nil {
		log.Error("settings not reloaded", "file", file, "error", err)
		return
	}
	apply(set)
}
