package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["foreign"] = runForeign }

const (
	drainTime = 2 * time.Second // drain_ms
	// servesOn is how much longer a worker that drains serves before it exits.
	servesOn = 3 * time.Second
	// nested is how deep the value of the other writer is nested. As text it takes 20 KB of the megabyte that the store takes.
	nested = 10_001
)

// nestedEntry is an entry with fields missing, and one of another type: lists in lists.
func nestedEntry() json.RawMessage {
	return json.RawMessage(`{"service":` + strings.Repeat("[", nested) + strings.Repeat("]", nested) + `}`)
}

// otherWriter writes an entry that names no worker, every heartbeat, until the case ends.
func otherWriter(f *fleet, entry json.RawMessage) {
	for {
		f.store.mu.Lock()
		f.store.put(serversKind, "note-of-another-writer", entry)
		f.store.mu.Unlock()
		time.Sleep(heartbeat)
	}
}

// runForeign plays a worker that drains while an entry of another writer lies beside those of the workers.
func runForeign(f *fleet, trouble bool) (broken bool, err error) {
	if err = f.configure(plainRoutes(), plainServices()); err != nil {
		return false, err
	}
	var workers []*process
	for i := range 3 {
		address := freeAddress()
		p, err := f.startWorker(fmt.Sprintf("i-app%d", i+1), "-service", "settle-app", "-listen", address, "-listed", address)
		if err != nil {
			return false, err
		}
		workers = append(workers, p)
	}
	if err = f.awaitWorkers(len(workers)); err != nil {
		return false, err
	}
	if err = f.startDaemons(3); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	entry := json.RawMessage(`{"service":["settle-app"],"address":17}`)
	if trouble {
		entry = nestedEntry()
	}
	f.note("another writer begins to write an entry of %d bytes", len(entry))
	go otherWriter(f, entry)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { postUntil(f, stop) })
	time.Sleep(3 * time.Second)
	leaver := workers[0].name
	workers[0].signal(syscall.SIGTERM)
	if !eventually(2*heartbeat, func() bool { return f.store.says(leaver, `"draining"`) }) {
		return false, fmt.Errorf("%s does not drain", leaver)
	}
	confirmed := time.Now()
	f.note("the store has confirmed that %s drains", leaver)
	time.Sleep(drainTime + servesOn)
	f.note("%s exits", leaver)
	workers[0].kill()
	time.Sleep(2 * time.Second)
	close(stop)
	wg.Wait()
	late, other := 0, 0
	for _, line := range f.linesAfter(confirmed.Add(drainTime)) {
		switch {
		case strings.Contains(line, "worker "+leaver+" runs "):
			late++
		case strings.Contains(line, " runs "):
			other++
		}
	}
	f.note("later than drain_ms after that, %d requests have reached %s, and %d the other workers", late, leaver, other)
	if late > 0 {
		f.note("DRAIN is broken")
	}
	if late == 0 && other == 0 {
		return false, fmt.Errorf("no request has reached a worker")
	}
	return late > 0, nil
}

// postUntil sends requests to all daemons in turn until stop is closed.
func postUntil(f *fleet, stop <-chan struct{}) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		p, id := f.daemons[n%len(f.daemons)], fmt.Sprintf("post%012d", n)
		wg.Go(func() {
			f.note("sent %s to %s", id, p.name)
			r := f.request(p, "POST", "/post/2f", id, postLimit, nil, "position "+id)
			f.note("%s: status %d, seal %q, error %v", id, r.status, r.seal, r.err)
		})
	}
}
