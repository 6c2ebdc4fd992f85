package main

import (
	"context"
	"os"
	"syscall"

	"github.com/oklog/run"
)

// server is a daemon of either kind.
type server interface {
	// Run serves until the shutdown is complete or ctx ends.
	Run(ctx context.Context) error
	// Stop begins the graceful shutdown.
	Stop()
}

// serve runs a daemon. SIGTERM and SIGINT stop it; special is handed to
// handle. The end of a graceful shutdown is no error.
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
