package main

import (
	"fmt"
	"os"
	"syscall"
	"time"
)

const (
	silenceRounds = 3
	quietWorkers  = 9
	quietEvents   = 18
	quietGap      = 30 * time.Millisecond
	quietAt       = 9                       // the stream pauses before this event
	quietPause    = 1000 * time.Millisecond // well below the 10 s after which requesters leave
)

// silenceCase plays: a worker is replaced and its entry is removed, as of those that never report that
// they drain. While it serves on, the machine with a stream from it gets SIGTERM. The stream pauses
// for a moment.
func silenceCase(record *os.File, trouble bool) (bool, error) {
	held := make([][]string, quietWorkers+1)
	for i := range held {
		held[i] = []string{"m1"}
	}
	s, err := newSite(record, func(string) plan {
		return plan{events: quietEvents, gap: quietGap, pauseAt: quietAt, pause: quietPause}
	}, held...)
	if err != nil {
		return false, err
	}
	next := s.workers[quietWorkers] // takes the place of the first worker that is replaced
	s.store.remove("servers", next.id)
	defer func() { s.end(os.Getenv("KEEP_LOGS")) }()
	if err := s.startDaemons(3); err != nil {
		return false, err
	}
	kept := true
	q := newRequester()
	for round := range silenceRounds {
		ok, err := s.silenceRound(q, round, trouble, &next)
		if err != nil {
			return false, err
		}
		kept = kept && ok
	}
	return kept, nil
}

// silenceRound plays one round. A different machine is stopped in each. next is the worker that takes the
// place of the one that is replaced.
func (s *site) silenceRound(q *requester, round int, trouble bool, next **worker) (held bool, err error) {
	d := s.daemons[round]
	if warm := q.stream(d.callers, host, "/report-draft/x", fmt.Sprintf("warm-%d", round), "m1", 25*time.Second); !inOrder(warm.events, quietEvents) {
		return false, fmt.Errorf("before the disruption: %v", warm)
	}
	id := fmt.Sprintf("quiet-%d", round)
	answer := make(chan reply, 1)
	go func() {
		s.note("%s is sent to %s", id, d.host)
		answer <- q.stream(d.callers, host, "/report-draft/x", id, "m1", 25*time.Second)
	}()
	time.Sleep(150 * time.Millisecond)
	serving := s.workerOf(id)
	if serving == nil {
		return false, fmt.Errorf("%s has not begun", id)
	}
	if trouble {
		(*next).startAnew(fmt.Sprintf("i-%08x", 0x1c90e000+round))
		s.note("worker %s starts, to take the place of %s", (*next).id, serving.id)
		d.signal(syscall.SIGTERM)
		s.note("%s gets SIGTERM", d.host)
		s.store.remove("servers", serving.id)
		s.note("the entry of %s is removed; it serves on for 2 s and more", serving.id)
	}
	r := <-answer
	s.note("%s is answered: %v", id, r)
	time.Sleep(200 * time.Millisecond)
	s.noteRuns(id)
	held = r.status == 200 && r.complete && inOrder(r.events, quietEvents)
	if !held {
		s.note("broken: the channel ended without the complete answer of %d events", quietEvents)
	}
	if trouble {
		d.wait()
		s.note("%s has ended, and starts again", d.host)
		if err := d.start(); err != nil {
			return held, err
		}
		*next = serving
	}
	if !within(10*time.Second, d.isReady) {
		return held, fmt.Errorf("%s is not ready again", d.host)
	}
	time.Sleep(4 * time.Second)
	return held, nil
}

// workerOf returns the worker that runs a request.
func (s *site) workerOf(id string) *worker {
	for _, w := range s.workers {
		if len(w.runsOf(id)) > 0 {
			return w
		}
	}
	return nil
}

// startAnew starts the worker under a new id, empty.
func (w *worker) startAnew(id string) {
	w.mu.Lock()
	w.id = id
	w.mu.Unlock()
	w.engine.empty()
	w.register()
}
