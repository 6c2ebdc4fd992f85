package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["limit"] = runLimit }

// models of the service in the case of a model that leaves the desired state.
var models = []string{"m0", "m1", "m2", "m3", "m4", "m5"}

const (
	modelMB   = 72700.0
	engineMB  = 220000.0 // three models
	modelLoad = 6.0      // seconds, from the weight store

)

func engineServices(list []string) []map[string]any {
	var declared []map[string]any
	for _, m := range list {
		declared = append(declared, map[string]any{"name": m, "weights_mb": modelMB, "load_time_s": modelLoad, "adapters": 4, "adapter_mb": 1.0, "warm_s": 0.4, "disk_load_s": 0.84})
	}
	return []map[string]any{{"name": "bid-llm", "health_path": "/health", "connection_limit": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
		"slots": 64, "kv_cache_tokens": 156843, "kv_token_bytes": 163840, "link_mbps": 550000.0, "host_memory_mb": 0, "disk_mb": 1300000.0,
		"models": declared, "weights_mb": engineMB, "adapter_slots": 8, "loads_per_s": 3.1,
	}}}
}

func streamRoutes(timeoutMs int) []map[string]any {
	return []map[string]any{{
		"name": "bid-draft", "host": "desk.example", "path_prefix": "/draft/", "kind": "streaming", "timeout_ms": timeoutMs, "target_latency_ms": 400, "priority": 1,
		"service": "bid-llm", "attempts": 2, "sticky_sessions": true, "resumable": true, "gap_target_ms": 300,
	}}
}

// runLimit plays a desired state that no longer lists a model which engines hold, while the other models are asked for.
func runLimit(f *fleet, trouble bool) (broken bool, err error) {
	if err = f.configure(streamRoutes(12000), engineServices(models)); err != nil {
		return false, err
	}
	var engines []*process
	for i := range 2 {
		address := freeAddress()
		p, err := f.startWorker(fmt.Sprintf("i-engine%d", i+1), "-engine", "-service", "bid-llm", "-listen", address, "-listed", address, "-slots", "64", "-models", "m0,m1,m2")
		if err != nil {
			return false, err
		}
		engines = append(engines, p)
	}
	if err = f.awaitWorkers(2); err != nil {
		return false, err
	}
	if err = f.startDaemons(3); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	over := make(chan string, len(engines))
	for _, p := range engines {
		go func() {
			if p.cmd.Wait(); p.cmd.ProcessState.ExitCode() == exitOverLimit {
				over <- p.name
			}
		}()
	}
	asked := newDemand(f)
	asked.set("m0", "m1", "m2")
	time.Sleep(6 * time.Second)
	f.note("m0 is retired: nobody asks for it any more")
	asked.set("m1", "m2")
	time.Sleep(2 * time.Second)
	if trouble {
		err = f.configure(streamRoutes(12000), engineServices(models[1:]))
	} else {
		err = f.configure(streamRoutes(11000), engineServices(models))
	}
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	f.note("m3, m4 and m5 are asked for")
	asked.set("m1", "m2", "m3", "m4", "m5")
	select {
	case name := <-over:
		f.note("LIMIT is broken: %s was ordered to load more than it holds", name)
		broken = true
	case <-time.After(35 * time.Second):
	}
	asked.end()
	f.note("requests: %d served, %d not", asked.served, asked.failed)
	if !broken && asked.served < asked.failed {
		return false, fmt.Errorf("%d of %d requests were served", asked.served, asked.served+asked.failed)
	}
	return broken, nil
}

// demand asks for models until end is called.
type demand struct {
	f              *fleet
	mu             sync.Mutex
	models         []string
	stopped        bool
	served, failed int
	wg             sync.WaitGroup
}

func newDemand(f *fleet) *demand {
	d := &demand{f: f}
	d.wg.Add(1)
	go d.run()
	return d
}

func (d *demand) set(list ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.models = list
}

func (d *demand) end() {
	d.mu.Lock()
	d.stopped = true
	d.mu.Unlock()
	d.wg.Wait()
}

func (d *demand) run() {
	defer d.wg.Done()
	for n := 0; ; n++ {
		d.mu.Lock()
		list, stopped := d.models, d.stopped
		d.mu.Unlock()
		if stopped {
			return
		}
		if len(list) > 0 {
			model, p := list[rand.IntN(len(list))], d.f.daemons[rand.IntN(len(d.f.daemons))]
			d.wg.Add(1)
			go d.ask(p, model, n)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (d *demand) ask(p *process, model string, n int) {
	defer d.wg.Done()
	id := fmt.Sprintf("draft%011d", n)
	d.f.note("sent %s for %s to %s", id, model, p.name)
	r := d.f.request(p, "POST", "/draft/2f", id, 12*time.Second, map[string]string{
		headerModel: model, "Doorvalve-Token-Count": "600,60", "Doorvalve-Prompt-Prefix": fmt.Sprintf("5c1e07a2:300,%x:300", 1000+n),
	}, "prompt")
	d.f.note("%s for %s: status %d, %d bytes, %v", id, model, r.status, len(r.body), r.err)
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.status == 200 && r.err == nil {
		d.served++
	} else {
		d.failed++
	}
}
