package main

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

const (
	relayRounds   = 3
	unframedName  = "unframed"
	longEvents    = 40
	longGap       = 100 * time.Millisecond
	shortEvents   = 5
	shortGap      = 20 * time.Millisecond
	framedBetween = 19 // framed answers for each one without a length: 5 in 100 have none
)

// relayCase plays: the opening packet of a connection from one machine to a worker is lost, so that its
// request goes through another machine. The worker's answer has no length and ends with its channel.
// The process of the other machine is killed while the stream is under way.
func relayCase(record *os.File, trouble bool) (bool, error) {
	s, err := newSite(record, relayPlan, []string{"m1"}, []string{"m2"})
	if err != nil {
		return false, err
	}
	defer func() { s.end(os.Getenv("KEEP_LOGS")) }()
	if err := s.startDaemons(3); err != nil {
		return false, err
	}
	held, shown := true, 0
	q := newRequester()
	for round := range relayRounds {
		ok, played, err := s.relayRound(q, round, trouble)
		if err != nil {
			return false, err
		}
		if played {
			shown++
		}
		held = held && ok
	}
	if shown == 0 {
		return false, errors.New("no request went through another machine")
	}
	return held, nil
}

func relayPlan(id string) plan {
	if strings.HasPrefix(id, unframedName) {
		return plan{events: longEvents, gap: longGap, unframed: true}
	}
	return plan{events: shortEvents, gap: shortGap}
}

// relayRound plays one round. played reports whether the request went as the case needs it.
func (s *site) relayRound(q *requester, round int, trouble bool) (held, played bool, err error) {
	first := s.daemons[0]
	held = true
	for i := range framedBetween {
		id := fmt.Sprintf("framed-%d-%d", round, i)
		r := q.stream(first.callers, host, "/summary/x", id, "m1", 15*time.Second)
		if !inOrder(r.events, shortEvents) {
			s.note("%s: %v", id, r)
		}
		if r.status == 200 && r.complete && !inOrder(r.events, shortEvents) {
			held = false
			s.note("broken: %s of %d events: %v", id, shortEvents, r)
		}
	}
	s.note("round %d: %d framed streams were sent to %s", round, framedBetween, first.host)
	time.Sleep(6 * time.Second) // idle channels to the worker close
	if trouble {
		if err := s.gates[0].drop(); err != nil {
			return held, false, err
		}
		time.AfterFunc(250*time.Millisecond, s.gates[0].pass)
		s.note("the opening packets of connections to %s are lost for 250 ms", s.workers[0].id)
	}
	id := fmt.Sprintf("%s-%d", unframedName, round)
	answer := make(chan reply, 1)
	go func() {
		s.note("%s is sent to %s", id, first.host)
		answer <- q.stream(first.callers, host, "/summary/x", id, "m1", 15*time.Second)
	}()
	time.Sleep(1500 * time.Millisecond)
	played = !trouble
	if trouble {
		if relay := s.relayOf(id); relay != nil {
			played = true
			relay.signal(syscall.SIGKILL)
			s.note("%s goes through %s, whose process is killed", id, relay.host)
			relay.wait()
			time.Sleep(500 * time.Millisecond)
			if err := relay.start(); err != nil {
				return held, false, err
			}
		} else {
			s.note("%s did not go through another machine", id)
		}
	}
	r := <-answer
	s.note("%s is answered: %v", id, r)
	s.noteRuns(id)
	if r.status == 200 && r.complete && !inOrder(r.events, longEvents) {
		held = false
		s.note("broken: the stream of %d events ended as complete", longEvents)
	}
	time.Sleep(3 * time.Second)
	return held, played, nil
}

// relayOf returns the daemon through which a request was sent.
func (s *site) relayOf(id string) *daemon {
	for _, line := range s.daemons[0].logged("through another daemon", `"`+id+`"`) {
		name, _ := line["relay"].(string)
		for _, d := range s.daemons[1:] {
			if strings.HasPrefix(name, d.host+"-") {
				return d
			}
		}
	}
	return nil
}
