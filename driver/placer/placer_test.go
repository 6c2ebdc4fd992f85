package placer

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/internal/dial"
	"github.com/doorvalve/doorvalve/state/bundle"
	"github.com/doorvalve/doorvalve/state/snapshot"
	"github.com/doorvalve/doorvalve/transport/engine"
)

// Guards against a poll that reads fields of the placer without its lock while a
// new generation is applied (run with the race detector).
func TestPollDuringConfigure(t *testing.T) {
	b := &bundle.Bundle{Services: []bundle.Service{{
		Name: "g", Kind: bundle.KindEngine, Mode: bundle.ModeWatched, Endpoints: []bundle.Endpoint{{Name: "e", Address: "127.0.0.1:1"}},
	}}}
	p := New(Options{Group: "g", Self: "d", LeaseTerm: time.Second, Engines: engine.New(time.Second, dial.Direct(dial.TCP)), Log: decisions.New(io.Discard, "test", hclog.Off)})
	p.Configure(snapshot.New(1, "", nil, b))
	var wg sync.WaitGroup
	for generation := uint64(2); generation < 50; generation++ {
		p.mu.Lock()
		p.polls["e"].inProgress = false
		p.pollEndpoints(context.Background(), time.Now().Add(time.Duration(generation)*time.Hour))
		p.mu.Unlock()
		wg.Add(1)
		go func() {
			defer wg.Done()
			p.Configure(snapshot.New(generation, "", nil, b))
		}()
	}
	wg.Wait()
}
