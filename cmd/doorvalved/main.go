// Command doorvalved is the daemon of doorvalve. It runs on every host that callers send requests to.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/hashicorp/go-hclog"

	"github.com/doorvalve/doorvalve/daemon"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/settings"

	_ "runtime/cgo" // link dynamically to the C library
)

type cli struct {
	Settings string   `required:"" env:"DOORVALVE_BOOT" help:"File with the settings, JSON with comments."`
	Run      runCmd   `cmd:"" default:"1" help:"Serve. SIGTERM or SIGINT begins a graceful shutdown; SIGHUP reads the settings again; SIGUSR1 logs the state."`
	Edge     edgeCmd  `cmd:"" help:"Serve with desired state and endpoints from the platform's store. SIGTERM begins a graceful shutdown; SIGHUP reads the settings again."`
	Check    checkCmd `cmd:"" help:"Check the settings and exit."`
}

type checkCmd struct{}

// Run prints "ok" if the settings file is valid and returns its errors otherwise.
func (*checkCmd) Run(c *cli) error {
	_, err := settings.Load(c.Settings)
	if err == nil {
		fmt.Println(c.Settings + ": ok")
	}
	return err
}

type runCmd struct{}

// Run starts the daemon and blocks until it has stopped.
func (*runCmd) Run(c *cli) error {
	signals := receiveSignals(syscall.SIGUSR1)
	set, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	log := decisions.New(os.Stdout, "doorvalved", hclog.LevelFromString(set.LogLevel))
	defer log.Close()
	d, err := daemon.New(set, log)
	if err != nil {
		return err
	}
	return serve(d, daemon.IsStopped, signals, map[os.Signal]func(){
		syscall.SIGHUP:  func() { reload(c.Settings, settings.Load, d.Reload, log) },
		syscall.SIGUSR1: func() { dump(d, log) },
	})
}

func dump(d *daemon.Daemon, log *decisions.Log) {
	state, err := json.Marshal(d.Dump())
	log.Info(decisions.EventStateDump, "state", string(state), "error", err)
}

func main() {
	var c cli
	ctx := kong.Parse(&c, kong.Description("The daemon of doorvalve, a serving system for rarely used models."))
	ctx.FatalIfErrorf(ctx.Run(&c))
}
