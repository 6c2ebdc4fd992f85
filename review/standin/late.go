package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

const (
	lateRounds   = 3
	lateAdapters = 28
)

// lateOrders decides which orders get no answer: the first load of an adapter that is asked for as
// "late", and the first load of the model that is asked for after it. The first is carried out when the
// second has arrived, 2 s after it was sent or later.
type lateOrders struct {
	mu             sync.Mutex
	trouble        bool
	adapter, model string // of this round
	adapterAt      time.Time
	carryOut       chan struct{}
	unanswered     int
}

func (l *lateOrders) unansweredOrder(o order) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !l.trouble || o.Operation != "load":
		return nil
	case o.Adapter != "" && o.Adapter == l.adapter && l.adapterAt.IsZero():
		l.adapterAt, l.unanswered = time.Now(), l.unanswered+1
		return l.carryOut
	case o.Adapter == "" && o.Model == l.model && !l.adapterAt.IsZero():
		l.model, l.unanswered = "", l.unanswered+1
		carryOut := l.carryOut
		time.AfterFunc(max(100*time.Millisecond, lateLeast-time.Since(l.adapterAt)), func() { close(carryOut) })
		late := make(chan struct{})
		time.AfterFunc(lateLeast+time.Second, func() { close(late) })
		return late
	}
	return nil
}

// lateCase plays: the worker leaves two orders in a row without an answer and carries them out late.
func lateCase(record *os.File, trouble bool) (bool, error) {
	held := true
	for round := range lateRounds {
		ok, err := lateRound(record, round, trouble)
		if err != nil {
			return false, err
		}
		held = held && ok
	}
	return held, nil
}

// lateRound plays one round on a site of its own.
func lateRound(record *os.File, round int, trouble bool) (bool, error) {
	s, err := newSite(record, latePlan, []string{"m0"})
	if err != nil {
		return false, err
	}
	defer func() { s.end(os.Getenv("KEEP_LOGS")) }()
	s.note("round %d", round)
	l := &lateOrders{trouble: trouble, adapter: "a8", model: "m1", carryOut: make(chan struct{})}
	w := s.workers[0]
	w.engine.onDisk, w.engine.unanswered, w.engine.onChange = []string{"m0", "m1"}, l.unansweredOrder, w.register
	w.register()
	s.store.set("config", "main", desiredState(2, []string{"m0", "m1"}))
	if err := s.startDaemons(3); err != nil {
		return false, err
	}
	s.lateRequests(l)
	s.note("%d of %d orders got no answer", l.unanswered, w.engine.orders)
	return !w.engine.isOverloaded(), nil
}

func latePlan(id string) plan {
	if id == "running" {
		return plan{events: longEvents, gap: longGap}
	}
	return plan{events: shortEvents, gap: shortGap}
}

// lateRequests sends the requests of a round: seven adapters of eight slots are loaded, then an eighth, a
// model and a ninth adapter are asked for.
func (s *site) lateRequests(l *lateOrders) {
	q := newRequester()
	d := s.daemons[1]
	send := func(path, id, model string, timeLeft time.Duration) {
		s.note("%s for %s is sent, with %d ms left", id, model, timeLeft.Milliseconds())
		r := q.stream(d.callers, host, path, id, model, timeLeft)
		s.note("%s is answered: %v", id, r)
	}
	for i := range adapterSlots - 1 {
		send("/summary/x", fmt.Sprintf("before-%d", i+1), fmt.Sprintf("m0/a%d", i+1), 15*time.Second)
	}
	go send("/summary/x", "late", "m0/"+l.adapter, 350*time.Millisecond)
	time.Sleep(lateLeast)
	go send("/report-draft/x", "running", "m0", 25*time.Second)
	go send("/summary/x", "model", "m1", 15*time.Second)
	time.Sleep(450 * time.Millisecond)
	go send("/summary/x", "next", "m0/a9", 15*time.Second)
	time.Sleep(5 * time.Second)
	s.noteRuns("running")
}
