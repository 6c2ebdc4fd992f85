package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/doorvalve/doorvalve/standin/engine"
	"github.com/doorvalve/doorvalve/standin/platform"
	"github.com/doorvalve/doorvalve/standin/service"
	"github.com/doorvalve/doorvalve/state/bundle"
)

// fleetCmd runs the platform, engines and plain services in one process and
// writes a bundle that declares them.
type fleetCmd struct {
	Platform string        `required:"" help:"IP:port of the platform."`
	Engines  int           `default:"9" help:"Model engines."`
	Services int           `default:"3" help:"Plain services."`
	Models   int           `default:"50" help:"Models."`
	Adapters int           `default:"60" help:"Adapters."`
	Groups   int           `default:"1" help:"Engine services that the engines are split into."`
	Bundle   string        `required:"" help:"File to write the bundle to."`
	Token    time.Duration `default:"1ms" help:"Time between tokens."`
	LoadTime time.Duration `default:"500ms" help:"Time of a load."`
	Slots    int           `default:"64" help:"Requests at once for each endpoint."`
	Writes   int           `default:"300" help:"The platform's writes a second."`
	Reads    int           `default:"2000" help:"The platform's reads and watches a second."`
}

// Sizes in MiB: the memory of an engine, the part of it that the bundle
// reserves for KV caches, and a model.
const (
	fleetMemory  = 81920
	fleetReserve = 8192
	modelMemory  = 14336
)

var domains = []string{"hall-a", "hall-b", "hall-c"}

// Run starts the stand-ins, writes the bundle and serves until a listener fails
// or the process ends.
func (c *fleetCmd) Run() error {
	p := platform.New(platform.Options{WritesPerSecond: c.Writes, ReadsPerSecond: c.Reads})
	b := bundle.Bundle{
		Format: bundle.Format, FailureDomains: domains, AddressTTL: bundle.Duration(5 * time.Second), DefaultClass: "crew",
		Classes: []bundle.Class{{Name: "crew", Worth: 100, Timeout: bundle.Duration(30 * time.Second)}},
		Claims:  bundle.Claims{Shards: 8, Retention: bundle.Duration(time.Hour)},
		Policy: bundle.Policy{ColdStartWeight: 40, IdleWeight: 1, MinIdle: bundle.Duration(time.Minute), MaxIdle: bundle.Duration(time.Hour),
			LoadsAtOnce: 4, LoadsPerSecond: 3},
	}
	var g errgroup.Group
	var hosts []platform.Host
	add := func(name string, h http.Handler) (string, error) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		g.Go(func() error { return http.Serve(l, h) })
		hosts = append(hosts, platform.Host{Name: name, Address: l.Addr().String(), Role: "endpoint"})
		return l.Addr().String(), nil
	}
	for n := range c.Groups {
		b.Services = append(b.Services, bundle.Service{Name: fmt.Sprintf("lm%d", n), Kind: bundle.KindEngine, Mode: bundle.ModeManaged})
	}
	for i := range c.Engines {
		name := fmt.Sprintf("w%d", i)
		address, err := add(name, engine.New(engine.Options{Name: name, MemoryMiB: fleetMemory, Slots: c.Slots, ChecksFencing: true, TokenTime: c.Token, LoadTime: c.LoadTime, ReportLag: 500 * time.Millisecond}).Handler())
		if err != nil {
			return err
		}
		s := &b.Services[i%c.Groups]
		s.Endpoints = append(s.Endpoints, bundle.Endpoint{Name: name, Address: address, FailureDomain: domains[i%len(domains)],
			MemoryMiB: fleetMemory, KVReserveMiB: fleetReserve, Slots: c.Slots, ChecksFencing: true})
	}
	app := bundle.Service{Name: "app", Kind: bundle.KindPlain, Mode: bundle.ModeManaged, NonRepeatable: []bundle.Route{{Method: "POST", Path: "/orders"}}}
	for i := range c.Services {
		name := fmt.Sprintf("app%d", i)
		address, err := add(name, service.New(name, 0).Handler())
		if err != nil {
			return err
		}
		app.Endpoints = append(app.Endpoints, bundle.Endpoint{Name: name, Address: address, FailureDomain: domains[i%len(domains)], Slots: c.Slots})
	}
	b.Services = append(b.Services, app)
	for i := range c.Models {
		b.Models = append(b.Models, bundle.Model{Name: fmt.Sprintf("m%d", i), Service: fmt.Sprintf("lm%d", i%c.Groups), Version: "1", MemoryMiB: modelMemory, Load: bundle.Duration(c.LoadTime), MaxReplicas: 1})
	}
	for i := range c.Adapters {
		b.Adapters = append(b.Adapters, bundle.Adapter{Name: fmt.Sprintf("a%d", i), Base: fmt.Sprintf("m%d", i%c.Models), Version: "1", MemoryMiB: 256, Load: bundle.Duration(c.LoadTime), MaxReplicas: 1})
	}
	content, err := json.MarshalIndent(b, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(c.Bundle, content, 0o600); err != nil {
		return err
	}
	p.SetHosts(hosts)
	g.Go(func() error { return serve(c.Platform, p.Handler()) })
	return g.Wait()
}
