// Command doorvalve-standin runs small stand-ins for the systems around
// doorvalve: the platform, the weight store, model engines and plain services.
// It is for demonstrations and tests only.
package main

import (
	"net/http"
	"time"

	"github.com/alecthomas/kong"

	"github.com/doorvalve/doorvalve/standin/engine"
	"github.com/doorvalve/doorvalve/standin/platform"
	"github.com/doorvalve/doorvalve/standin/service"
	"github.com/doorvalve/doorvalve/standin/store"
)

type platformCmd struct {
	Listen  string        `required:"" help:"IP:port to listen on."`
	Writes  int           `default:"300" help:"Writes a second."`
	Reads   int           `default:"2000" help:"Reads and watches a second."`
	HostLag time.Duration `default:"3s" help:"Age of the host list."`
}

// Run serves the platform until the listener fails.
func (c *platformCmd) Run() error {
	return serve(c.Listen, platform.New(platform.Options{WritesPerSecond: c.Writes, ReadsPerSecond: c.Reads, HostLag: c.HostLag}).Handler())
}

type storeCmd struct {
	Listen string        `required:"" help:"IP:port to listen on."`
	Rate   float64       `default:"3" help:"Loads a second."`
	AtOnce int           `default:"4" help:"Loads at once at full speed."`
	PerGiB time.Duration `default:"100ms" help:"Time to read one GiB."`
}

// Run serves the weight store until the listener fails.
func (c *storeCmd) Run() error {
	return serve(c.Listen, store.New(store.Options{LoadsPerSecond: c.Rate, AtOnce: c.AtOnce, PerGiB: c.PerGiB}).Handler())
}

type engineCmd struct {
	Listen    string        `required:"" help:"IP:port to listen on."`
	Name      string        `required:"" help:"Name of the endpoint."`
	Memory    int64         `default:"81920" help:"Accelerator memory in MiB."`
	Slots     int           `default:"16" help:"Requests at once."`
	Fencing   bool          `default:"true" negatable:"" help:"Check fencing numbers."`
	TokenTime time.Duration `default:"5ms" help:"Time between tokens."`
	ReportLag time.Duration `default:"500ms" help:"Age of reported load."`
	Store     string        `help:"URL of the weight store."`
	LoadTime  time.Duration `default:"1s" help:"Time of a load without a weight store."`
}

// Run serves one engine until the listener fails.
func (c *engineCmd) Run() error {
	return serve(c.Listen, engine.New(engine.Options{
		Name: c.Name, MemoryMiB: c.Memory, Slots: c.Slots, ChecksFencing: c.Fencing, TokenTime: c.TokenTime,
		ReportLag: c.ReportLag, StoreURL: c.Store, LoadTime: c.LoadTime,
	}).Handler())
}

type serviceCmd struct {
	Listen string        `required:"" help:"IP:port to listen on."`
	Name   string        `required:"" help:"Name of the endpoint."`
	Work   time.Duration `default:"5ms" help:"Time of each call."`
}

// Run serves one plain service until the listener fails.
func (c *serviceCmd) Run() error {
	return serve(c.Listen, service.New(c.Name, c.Work).Handler())
}

func serve(address string, h http.Handler) error {
	return http.ListenAndServe(address, h)
}

func main() {
	var cli struct {
		Platform platformCmd `cmd:"" help:"Object API and host list."`
		Store    storeCmd    `cmd:"" help:"Weight store."`
		Engine   engineCmd   `cmd:"" help:"Model engine."`
		Service  serviceCmd  `cmd:"" help:"Plain service."`
		Fleet    fleetCmd    `cmd:"" help:"Platform, weight store and many endpoints in one process, with a bundle for them."`
	}
	ctx := kong.Parse(&cli, kong.Description("Stand-ins for the systems around doorvalve; for demonstrations and tests."))
	ctx.FatalIfErrorf(ctx.Run())
}
