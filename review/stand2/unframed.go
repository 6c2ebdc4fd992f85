package main

import (
	"bytes"
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["unframed"] = runUnframed }

// Times of the case of answers without a length.
const (
	halfAfter   = 150 * time.Millisecond // the first half of each answer is on its way by then
	workerGap   = 700 * time.Millisecond // between the two halves of an answer
	restartTime = 300 * time.Millisecond // from the end of a worker to its next start
	freezeTime  = 1200 * time.Millisecond
	cutTime     = 1200 * time.Millisecond
	postLimit   = 4 * time.Second // time limit of a requester
	perWorker   = 3               // requests sent at once, for each worker
)

func plainServices() []map[string]any {
	return []map[string]any{{"name": "settle-app", "health_path": "/health", "connection_limit": 100, "protocol": "h1", "tls": false}}
}

func plainRoutes() []map[string]any {
	return []map[string]any{{
		"name": "position-post", "host": "desk.example", "path_prefix": "/post/", "kind": "unsafe", "timeout_ms": 4000, "target_latency_ms": 300, "priority": 2,
		"service": "settle-app", "attempts": 1,
	}}
}

// plainWorker is a worker that may be restarted at its address. Daemons reach it through a link.
type plainWorker struct {
	f       *fleet
	number  int
	life    int
	address string
	link    *link
	process *process
}

// begin starts the next life of the worker, under a new id.
func (w *plainWorker) begin() error {
	w.life++
	id := fmt.Sprintf("i-app%d-%d", w.number, w.life)
	var err error
	w.process, err = w.f.startWorker(id, "-service", "settle-app", "-listen", w.address, "-listed", w.link.address, "-unframed", "-gap", workerGap.String())
	return err
}

// crash kills the worker, and starts it again after restartTime.
func (w *plainWorker) crash() error {
	w.f.note("%s is killed", w.process.name)
	w.process.kill()
	time.Sleep(restartTime)
	return w.begin()
}

// runUnframed plays workers that crash and start again in the middle of answers without a length: once while a daemon is
// frozen, and once behind a cut of the worker's link.
func runUnframed(f *fleet, trouble bool) (broken bool, err error) {
	if err = f.configure(plainRoutes(), plainServices()); err != nil {
		return false, err
	}
	var workers []*plainWorker
	for i := range 3 {
		w := &plainWorker{f: f, number: i + 1, address: freeAddress()}
		if w.link, err = newLink(w.address); err != nil {
			return false, err
		}
		if err = w.begin(); err != nil {
			return false, err
		}
		workers = append(workers, w)
	}
	if err = f.awaitWorkers(len(workers)); err != nil {
		return false, err
	}
	if err = f.startDaemons(3); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	rounds := []struct {
		name    string
		disrupt func() error
	}{
		{"nothing happens", func() error { return nil }},
		{"a worker crashes and starts again while the daemon is frozen", func() error { return duringFreeze(f, workers[0]) }},
		{"a worker crashes behind a cut and starts again", func() error { return behindCut(workers[1]) }},
	}
	for i, round := range rounds {
		if !trouble {
			round.name, round.disrupt = "nothing happens", func() error { return nil }
		}
		f.note("round %d: %s", i+1, round.name)
		wrong, whole, err := post(f, i, round.disrupt, len(workers)*perWorker)
		if err != nil {
			return false, err
		}
		f.note("round %d: %d whole answers, %d successes with a part of an answer", i+1, whole, wrong)
		if i == 0 && whole < perWorker {
			return false, fmt.Errorf("%d whole answers without any disruption", whole)
		}
		broken = broken || wrong > 0
		time.Sleep(6 * time.Second)
	}
	return broken, nil
}

// duringFreeze freezes the first daemon, and lets a worker crash and start again meanwhile.
func duringFreeze(f *fleet, w *plainWorker) error {
	p := f.daemons[0]
	f.note("%s is frozen", p.name)
	p.signal(syscall.SIGSTOP)
	began := time.Now()
	err := w.crash()
	time.Sleep(freezeTime - time.Since(began))
	p.signal(syscall.SIGCONT)
	f.note("%s goes on", p.name)
	return err
}

// behindCut cuts the link of a worker, which crashes and starts again behind the cut.
func behindCut(w *plainWorker) error {
	w.f.note("the link of %s is cut", w.process.name)
	w.link.cut()
	began := time.Now()
	err := w.crash()
	time.Sleep(cutTime - time.Since(began))
	w.link.heal()
	w.f.note("the link heals")
	return err
}

// post sends requests to the first daemon, disrupts while half of each answer is on its way, and counts the successes with a
// part of an answer and the whole answers.
func post(f *fleet, round int, disrupt func() error, n int) (wrong, whole int, err error) {
	results := make([]result, n)
	var wg sync.WaitGroup
	for i := range n {
		id := fmt.Sprintf("post%d%011d", round, i)
		wg.Go(func() {
			f.note("sent %s", id)
			results[i] = f.request(f.daemons[0], "POST", "/post/2f", id, postLimit, nil, "position "+id)
		})
	}
	time.Sleep(halfAfter)
	err = disrupt()
	wg.Wait()
	for _, r := range results {
		success := r.status/100 == 2 && r.err == nil
		isWhole := bytes.Equal(r.body, bodyOf(r.id))
		verdict := ""
		switch {
		case success && isWhole:
			whole++
		case success:
			wrong++
			verdict = ": MIXED is broken: a success with a part of the worker's answer"
		}
		f.note("%s: status %d, seal %q, %d of %d bytes, error %v%s", r.id, r.status, r.seal, len(r.body), answerBytes, r.err, verdict)
	}
	return wrong, whole, err
}
