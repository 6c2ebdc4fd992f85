package main

import (
	"context"
	"os"
	"syscall"

	"github.com/oklog/run"
)

// server is a daemon, of the kind that either the run or the edge command starts.
type server interface {
	// Run serves until the shutdown is complete or ctx ends.
	Run(ctx context.Context) error
	// Stop begins the graceful shutdown.
	Stop()
}

// serve runs a daemon until it has stopped. SIGTERM and SIGINT begin its
// graceful shutdown; the signal special calls handle instead. The error that
// isStopped recognizes, with which Run returns after a graceful shutdown, is
// returned as nil.
func serve(d server, isStopped func(error) bool, special os.Signal, handle func()) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var g run.Group
	g.Add(func() error { return d.Run(ctx) }, func(error) { cancel() })
	addSignals(&g, func(s os.Signal) {
		if s == special {
			handle()
			return
		}
		d.Stop()
	}, syscall.SIGTERM, syscall.SIGINT, special)
	err := g.Run()
	if isStopped(err) {
		return nil
	}
	return err
}
