package main

import (
	"os"
	"os/signal"

	"github.com/oklog/run"
)

// addSignals adds an actor to the group that calls handle for each signal
// received, one call at a time.
func addSignals(g *run.Group, handle func(os.Signal), signals ...os.Signal) {
	received := make(chan os.Signal, 1)
	signal.Notify(received, signals...)
	done := make(chan struct{})
	g.Add(func() error {
		for {
			select {
			case <-done:
				return nil
			case s := <-received:
				handle(s)
			}
		}
	}, func(error) { close(done) })
}
