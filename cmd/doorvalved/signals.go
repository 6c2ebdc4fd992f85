package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/oklog/run"
)

// signals are the signals that the process has received and not handled yet. Each has a channel of its own, so that many
// of one kind, or one whose handler takes long, do not hold up or displace those of another.
type signals map[os.Signal]chan os.Signal

// receiveSignals returns the signals that the process receives from now on. It is called before the settings are read:
// until then SIGHUP would end the process, and a change that it announces during the start is read once the daemon
// serves.
func receiveSignals(others ...os.Signal) signals {
	s := signals{}
	for _, sig := range append(others, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP) {
		s[sig] = make(chan os.Signal, 1)
		signal.Notify(s[sig], sig)
	}
	return s
}

// handle adds an actor to the group for each signal that has a handler.
func (s signals) handle(g *run.Group, handlers map[os.Signal]func()) {
	for sig, handler := range handlers {
		done := make(chan struct{})
		g.Add(func() error {
			for {
				select {
				case <-done:
					return nil
				case <-s[sig]:
					handler()
				}
			}
		}, func(error) { close(done) })
	}
}
