// Package largeanswers decides which of the large answers of an endpoint are read at a time. An endpoint in trouble may
// send bytes without end to all its callers at once: reading all of them up to the bound of an answer would take
// the daemon's memory and processor time before the first one shows that they are no answers.
package largeanswers

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	// Threshold is the size in bytes from which an answer, or an incomplete event of a stream, is large.
	Threshold = 64 << 10
	// atOnce is the number of large answers of an endpoint that are read at a time.
	atOnce = 2
	// maxWait bounds the wait of an answer while its endpoint is not in trouble. It is read beside the others then: an
	// endpoint may write a large answer as slowly as it computes it.
	maxWait = time.Second
	// troubleAfter is the number of answers without an end, with no large one between them that was whole, from which
	// an endpoint is in trouble. One may also be a sound answer that is too large.
	troubleAfter = 2
	// troubleFor is how long such answers are remembered after the last one.
	troubleFor = 2 * time.Second
)

// ErrWithoutEnd is the failure of a large answer of an endpoint in trouble.
var ErrWithoutEnd = errors.New("other answers of the endpoint had no end")

// Turns gives large answers their turns, by the address of the endpoint. The zero value is ready to use. It is safe for concurrent use.
type Turns struct {
	mu        sync.Mutex
	endpoints map[string]*endpoint
}

// endpoint is an endpoint with large answers that are read or wait, or in trouble.
type endpoint struct {
	answers    int
	reading    chan struct{} // has an element for each answer that is read
	withoutEnd int           // answers without an end since the last whole one
	lastAt     time.Time     // of the last of them
	trouble    chan struct{} // closed while the endpoint is in trouble
}

// Begin waits for the turn of a large answer. end must be called once, when the answer is whole or has failed.
// mayLeave says that the request can be given up: Begin then fails with ErrWithoutEnd while the endpoint is in
// trouble. Its other errors are that of ctx.
func (t *Turns) Begin(ctx context.Context, address string, mayLeave bool) (end func(whole bool), err error) {
	e, trouble := t.join(address)
	if !mayLeave {
		trouble = nil
	}
	ticker := time.NewTicker(maxWait)
	defer ticker.Stop()
	for err == nil {
		select {
		case <-trouble:
			err = ErrWithoutEnd
			continue
		default:
		}
		select {
		case e.reading <- struct{}{}:
			return func(whole bool) {
				<-e.reading
				t.leave(address, e, whole)
			}, nil
		case <-ticker.C:
			if !t.inTrouble(e) {
				return func(whole bool) { t.leave(address, e, whole) }, nil
			}
		case <-trouble:
			err = ErrWithoutEnd
		case <-ctx.Done():
			err = context.Cause(ctx)
		}
	}
	t.leave(address, e, false)
	return nil, err
}

func (t *Turns) inTrouble(e *endpoint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return e.inTrouble()
}

// NoteWithoutEnd tells that an answer of an endpoint had no end.
func (t *Turns) NoteWithoutEnd(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.of(address)
	e.lastAt = time.Now()
	if e.withoutEnd++; e.withoutEnd == troubleAfter {
		close(e.trouble)
	}
	time.AfterFunc(troubleFor, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if time.Since(e.lastAt) >= troubleFor {
			e.endTrouble()
			t.drop(address, e)
		}
	})
}

func (e *endpoint) inTrouble() bool { return e.withoutEnd >= troubleAfter }

// endTrouble forgets the answers without an end. The caller holds the mutex.
func (e *endpoint) endTrouble() {
	if e.inTrouble() {
		e.trouble = make(chan struct{})
	}
	e.withoutEnd = 0
}

// of returns the endpoint at an address. The caller holds the mutex.
func (t *Turns) of(address string) *endpoint {
	e := t.endpoints[address]
	if e == nil {
		e = &endpoint{reading: make(chan struct{}, atOnce), trouble: make(chan struct{})}
		if t.endpoints == nil {
			t.endpoints = map[string]*endpoint{}
		}
		t.endpoints[address] = e
	}
	return e
}

// drop forgets an endpoint about which nothing is known. The caller holds the mutex.
func (t *Turns) drop(address string, e *endpoint) {
	if e.answers == 0 && e.withoutEnd == 0 && t.endpoints[address] == e {
		delete(t.endpoints, address)
	}
}

func (t *Turns) join(address string) (e *endpoint, trouble <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e = t.of(address)
	e.answers++
	return e, e.trouble
}

func (t *Turns) leave(address string, e *endpoint, whole bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.answers--; whole {
		e.endTrouble()
	}
	t.drop(address, e)
}
