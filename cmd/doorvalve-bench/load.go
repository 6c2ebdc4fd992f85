package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

type loadCmd struct {
	Daemon   string        `required:"" help:"URL of a request through a daemon."`
	Direct   string        `required:"" help:"URL of the same request at the endpoint."`
	Body     string        `default:"" help:"Body; with one, requests are POST."`
	Callers  int           `default:"16" help:"Callers at once."`
	Requests int           `default:"20000" help:"Requests of each kind."`
	Rounds   int           `default:"3" help:"Rounds, each of both kinds, one after the other."`
	Timeout  time.Duration `default:"30s" help:"Of each request."`
}

// maxRequests is the largest number of requests of each kind.
const maxRequests = 1_000_000

// measured holds the results of one kind of request: through a daemon or direct.
type measured struct {
	latency *hdrhistogram.Histogram // of successful requests, in microseconds
	took    time.Duration           // all rounds
	failed  int
}

// Run alternates between both kinds of request for all rounds and prints a table
// of their rates and latencies, with the ratio.
func (c *loadCmd) Run() error {
	for _, u := range []string{c.Daemon, c.Direct} {
		if err := loopback(u); err != nil {
			return err
		}
	}
	if c.Requests > maxRequests {
		return fmt.Errorf("at most %d requests", maxRequests)
	}
	client := &http.Client{Timeout: c.Timeout, Transport: &http.Transport{MaxIdleConnsPerHost: c.Callers}}
	through, direct := newMeasured(), newMeasured()
	for range c.Rounds {
		c.send(client, c.Daemon, through)
		c.send(client, c.Direct, direct)
	}
	print := func(name string, m *measured) {
		fmt.Printf("| %s | %.0f | %.2f | %.2f | %d |\n", name, m.rate(), m.quantile(50), m.quantile(99), m.failed)
	}
	fmt.Println("| way | requests/s | p50 ms | p99 ms | failed |")
	fmt.Println("| --- | --- | --- | --- | --- |")
	print("through a daemon", through)
	print("direct", direct)
	fmt.Printf("| ratio | %.2f | %.2f | %.2f | |\n", through.rate()/direct.rate(), through.quantile(50)/direct.quantile(50), through.quantile(99)/direct.quantile(99))
	return nil
}

func newMeasured() *measured {
	return &measured{latency: hdrhistogram.New(1, time.Minute.Microseconds(), 3)}
}

// rate returns the successful requests a second.
func (m *measured) rate() float64 { return float64(m.latency.TotalCount()) / m.took.Seconds() }

// quantile returns the latency at a percentile (0 to 100), in milliseconds.
func (m *measured) quantile(q float64) float64 { return float64(m.latency.ValueAtQuantile(q)) / 1000 }

// loopback returns an error if the target's host is not a loopback address. This
// tool must not send load to other machines.
func loopback(target string) error {
	u, err := url.Parse(target)
	if err != nil {
		return err
	}
	addr, err := netip.ParseAddr(u.Hostname())
	if err != nil || !addr.IsLoopback() {
		return errors.New("only loopback addresses are sent load: " + target)
	}
	return nil
}

// send sends one round of requests and adds the results to m.
func (c *loadCmd) send(client *http.Client, target string, m *measured) {
	start := time.Now()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range c.Callers {
		wg.Go(func() {
			latency, failed := hdrhistogram.New(1, time.Minute.Microseconds(), 3), 0
			for range c.Requests / c.Callers {
				begin := time.Now()
				if err := c.request(client, target); err != nil {
					failed++
					continue
				}
				_ = latency.RecordValue(max(1, time.Since(begin).Microseconds()))
			}
			mu.Lock()
			defer mu.Unlock()
			m.latency.Merge(latency)
			m.failed += failed
		})
	}
	wg.Wait()
	m.took += time.Since(start)
}

// request sends a request and reads the whole answer. Any status but 200 is an error.
func (c *loadCmd) request(client *http.Client, target string) error {
	method := http.MethodGet
	if c.Body != "" {
		method = http.MethodPost
	}
	req, err := http.NewRequest(method, target, bytes.NewReader([]byte(c.Body)))
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}
