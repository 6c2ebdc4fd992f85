package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"regexp"
	"strconv"
	"sync"
	"time"
)

func init() { cases["stale"] = runStale }

const (
	engineCut    = 3600 * time.Millisecond // the engine is cut off
	storeDown    = 2200 * time.Millisecond // the store is down, from storeDownAt after the cut
	storeDownAt  = 100 * time.Millisecond
	staleRounds  = 6
	healSlack    = 300 * time.Millisecond  // orders that come so soon after the heal do not count
	leaseTime    = 3000 * time.Millisecond // lease_ms
	betweenStale = 7 * time.Second
)

// resends are the times after which bytes that were not confirmed are sent again: 0.2 s, and twice as long each time.
var resends = []time.Duration{200, 600, 1400, 3000, 6200, 12600}

type openedAt struct{}

// cutter is the network before one engine. While it is cut, nothing passes. An order that was sent on a connection that was open
// before waits at its sender, whose system sends it again and again, also after the connection is closed: it arrives at the first
// of resends after the network is healed.
type cutter struct {
	f       *fleet
	address string
	backend string
	proxy   *httputil.ReverseProxy

	mu     sync.Mutex
	cutAt  time.Time // zero while it passes
	healed chan struct{}
}

func newCutter(f *fleet, backend string) *cutter {
	x := &cutter{f: f, address: freeAddress(), backend: backend}
	x.proxy = httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: backend})
	x.proxy.FlushInterval = -1
	x.proxy.ErrorLog = log.New(io.Discard, "", 0) // connections end with the cut
	x.proxy.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	server := &http.Server{Addr: x.address, Handler: x, ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, openedAt{}, time.Now())
	}}
	go func() { _ = server.ListenAndServe() }()
	return x
}

func (x *cutter) cut() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cutAt, x.healed = time.Now(), make(chan struct{})
}

func (x *cutter) heal() {
	x.mu.Lock()
	defer x.mu.Unlock()
	close(x.healed)
	x.cutAt = time.Time{}
}

// ServeHTTP implements http.Handler.
func (x *cutter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x.mu.Lock()
	cutAt, healed := x.cutAt, x.healed
	x.mu.Unlock()
	if cutAt.IsZero() {
		x.proxy.ServeHTTP(w, r)
		return
	}
	opened, _ := r.Context().Value(openedAt{}).(time.Time)
	if r.URL.Path == "/order" && opened.Before(cutAt) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		x.f.note("on its way to the engine, which is cut off: %s", body)
		go x.deliver(r.Header.Clone(), body, time.Now(), healed)
		<-r.Context().Done()
		return
	}
	select {
	case <-healed:
		x.proxy.ServeHTTP(w, r)
	case <-r.Context().Done():
	}
}

// deliver brings an order to the engine when its bytes are next sent again after the heal.
func (x *cutter) deliver(header http.Header, body []byte, sent time.Time, healed chan struct{}) {
	<-healed
	for _, d := range resends {
		if wait := time.Until(sent.Add(d * time.Millisecond)); wait > 0 {
			time.Sleep(wait)
			break
		}
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+x.backend+"/order", bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header = header
	x.f.note("the order that was sent %v ago reaches the engine: %s", time.Since(sent).Round(time.Millisecond), body)
	if resp, err := http.DefaultClient.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}

// arrived is an order at a worker.
type arrived struct {
	at     time.Time
	holder string
	fence  uint64
}

var orderLine = regexp.MustCompile(`holder (\S+) fence (\d+): `)

// ordersAfter returns the orders that have arrived at workers later.
func (f *fleet) ordersAfter(at time.Time) (list []arrived) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range f.lines {
		if m := orderLine.FindStringSubmatch(l.text); m != nil && l.at.After(at) {
			fence, _ := strconv.ParseUint(m[2], 10, 64)
			list = append(list, arrived{l.at, m[1], fence})
		}
	}
	return list
}

// awaitOrder waits until an order arrives: others follow it.
func (f *fleet) awaitOrder() {
	now := time.Now()
	eventually(3*time.Second, func() bool { return len(f.ordersAfter(now)) > 0 })
}

// judge reports whether ONE is broken by the orders. Those that come within healSlack after the heal do not count.
func (f *fleet) judge(orders []arrived, healed time.Time) (broken bool) {
	var counted []arrived
	for _, o := range orders {
		if o.at.Before(healed) || o.at.After(healed.Add(healSlack)) {
			counted = append(counted, o)
		}
	}
	for i, o := range counted {
		for _, before := range counted[:i] {
			if before.fence > o.fence {
				f.note("an order with fence %d came %v after one with fence %d, %v after the heal", o.fence, o.at.Sub(before.at).Round(time.Millisecond), before.fence, o.at.Sub(healed).Round(time.Millisecond))
				broken = true
				break
			}
		}
		if i < 2 {
			continue
		}
		if before := counted[i-1]; before.holder != o.holder && o.at.Sub(before.at) < leaseTime {
			for _, first := range counted[:i-1] {
				if first.holder == o.holder && o.at.Sub(first.at) < leaseTime {
					f.note("holders take turns: %s, %s, %s within %v", first.holder, before.holder, o.holder, o.at.Sub(first.at).Round(time.Millisecond))
					broken = true
					break
				}
			}
		}
	}
	return broken
}

// runStale plays an engine that is cut off while orders are sent to it and the store is down for a moment.
func runStale(f *fleet, trouble bool) (broken bool, err error) {
	if err = f.configure(append(streamRoutes(12000), plainRoutes()...), append(engineServices(models), plainServices()...)); err != nil {
		return false, err
	}
	backend := freeAddress()
	x := newCutter(f, backend)
	if _, err = f.startWorker("i-engine", "-engine", "-service", "bid-llm", "-listen", backend, "-listed", x.address, "-slots", "64", "-models", "m0,m1,m2", "-copies", "m0,m1,m2,m3,m4,m5"); err != nil {
		return false, err
	}
	for i := range 2 { // the engine is one of three workers
		address := freeAddress()
		if _, err = f.startWorker(fmt.Sprintf("i-app%d", i+1), "-service", "settle-app", "-listen", address, "-listed", address); err != nil {
			return false, err
		}
	}
	if err = f.awaitWorkers(3); err != nil {
		return false, err
	}
	if err = f.startDaemons(3); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	var units []string
	for _, model := range models[:3] {
		for a := range 4 {
			units = append(units, fmt.Sprintf("%s/a%d", model, a+1))
		}
	}
	asked := newDemand(f)
	asked.set(units...)
	defer asked.end()
	time.Sleep(6 * time.Second)
	for round := range staleRounds {
		f.awaitOrder()
		begun := time.Now()
		if trouble {
			f.note("the engine is cut off")
			x.cut()
			time.Sleep(storeDownAt)
			f.note("the store is down")
			f.store.setFault(faultDown)
			time.Sleep(storeDown)
			f.note("the store is back")
			f.store.setFault(faultNone)
		}
		time.Sleep(time.Until(begun.Add(engineCut)))
		healed := time.Now()
		if trouble {
			f.note("the engine can be reached again")
			x.heal()
		}
		time.Sleep(betweenStale)
		orders := f.ordersAfter(begun.Add(-leaseTime))
		f.note("round %d: %d orders", round+1, len(orders))
		if len(orders) == 0 {
			return false, fmt.Errorf("no orders came")
		}
		if f.judge(orders, healed) {
			f.note("ONE is broken")
			broken = true
		}
	}
	if asked.served < asked.failed {
		return broken, fmt.Errorf("%d of %d requests were served", asked.served, asked.served+asked.failed)
	}
	return broken, nil
}
