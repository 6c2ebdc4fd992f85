package main

import (
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/oklog/run"
)

// Guards against a SIGTERM that is lost or late because the settings are being read, or are to be read again.
func TestSignalsDoNotDisplaceEachOther(t *testing.T) {
	received := receiveSignals()
	reading, stopped := make(chan struct{}, 2), make(chan struct{})
	var g run.Group
	end := make(chan struct{})
	g.Add(func() error { <-end; return nil }, func(error) {})
	received.handle(&g, map[os.Signal]func(){
		syscall.SIGHUP:  func() { reading <- struct{}{}; <-stopped },
		syscall.SIGTERM: func() { close(stopped) },
	})
	ended := make(chan error, 1)
	go func() { ended <- g.Run() }()
	send := func(sig syscall.Signal) {
		if err := syscall.Kill(os.Getpid(), sig); err != nil {
			t.Fatal(err)
		}
	}
	wait := func(what string, c <-chan struct{}) {
		t.Helper()
		select {
		case <-c:
		case <-time.After(time.Minute):
			t.Fatal(what)
		}
	}
	send(syscall.SIGHUP)
	wait("SIGHUP is not handled", reading)
	send(syscall.SIGHUP) // waits
	send(syscall.SIGTERM)
	wait("SIGTERM is not handled", stopped)
	wait("the second SIGHUP is not handled", reading)
	close(end)
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}
