package main

import (
	"fmt"
	"os"
	"syscall"
	"time"
)

const (
	silenceRounds = 3
	quietEvents   = 18
	quietGap      = 30 * time.Millisecond
	quietAt       = 9                       // the stream pauses before this event
	quietPause    = 1000 * time.Millisecond // well below the 10 s after which requesters leave
)

// silenceCase plays: a worker is replaced and its entry is removed, as of those that never report that
// they drain. While it serves on, the machine with a stream from it gets SIGTERM. The stream pauses
// for a moment.
func silenceCase(record *os.File, trouble bool) (bool, error) {
	s, err := newSite(record, func(string) plan {
		return plan{events: quietEvents, gap: quietGap, pauseAt: quietAt, pause: quietPause}
	}, []string{"m1"}, []string{"m1"})
	if err != nil {
		return false, err
	}
	defer func() { s.end(os.Getenv("KEEP_LOGS")) }()
	if err := s.startDaemons(3); err != nil {
		return false, err
	}
	held := true
	q := newRequester()
	for round := range silenceRounds {
		ok, err := s.silenceRound(q, round, trouble)
		if err != nil {
			return false, err
		}
		held = held && ok
	}
	return held, nil
}

// silenceRound plays one round. A different machine is stopped in each.
func (s *site) silenceRound(q *requester, round int, trouble bool) (held bool, err error) {
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
		serving.replace(fmt.Sprintf("%s-%d", serving.id[:10], round+1))
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

// replace starts the worker again under a new id.
func (w *worker) replace(id string) {
	w.mu.Lock()
	w.id = id
	w.mu.Unlock()
	w.register()
}
