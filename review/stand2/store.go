package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// serversKind is the kind of the entries of workers, which are removed after entryLife of silence: three heartbeats.
const (
	serversKind = "servers"
	entryLife   = 3 * heartbeat
	heartbeat   = 1200 * time.Millisecond
)

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Made       int64    `json:"made"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata      metadata        `json:"metadata"`
	Specification json.RawMessage `json:"specification"`
	Status        json.RawMessage `json:"status"`

	writtenAt time.Time
}

type event struct {
	kind    string
	at      uint64
	Removed bool    `json:"removed"`
	Object  *object `json:"object"`
}

// store is a stand-in of the platform's metadata store: revisions, conditional writes, lists and watches.
type store struct {
	address string

	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]*object
	events   []event
	changed  chan struct{} // closed at the next change
	fault    int
	oldest   uint64        // watches from an earlier revision are answered 410
	cut      chan struct{} // closed when waiting watches are cut
}

// Faults of the store.
const (
	faultNone = iota
	faultDeaf // watches hear nothing
	faultDown // no call is answered
)

// setFault begins a fault, or ends it.
func (s *store) setFault(fault int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	for _, o := range s.kinds[serversKind] {
		o.writtenAt = time.Now() // the entries of workers do not run out while they cannot be written
	}
}

// isDown reports whether no call is answered now.
func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault == faultDown
}

// dropHistory drops the history of changes, and cuts the waiting watches.
func (s *store) dropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events, s.oldest = nil, s.revision
	close(s.cut)
	s.cut = make(chan struct{})
}

// startStore serves a store on a free port.
func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), revision: 1, kinds: map[string]map[string]*object{}, changed: make(chan struct{}), cut: make(chan struct{})}
	go func() { _ = http.Serve(l, s) }()
	go s.expire()
	return s, nil
}

// expire removes the entries of workers that have been silent for entryLife.
func (s *store) expire() {
	for {
		time.Sleep(200 * time.Millisecond)
		s.mu.Lock()
		for name, o := range s.kinds[serversKind] {
			if s.fault != faultDown && time.Since(o.writtenAt) > entryLife {
				s.remove(serversKind, name)
			}
		}
		s.mu.Unlock()
	}
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isDown() {
		<-r.Context().Done() // silent
		return
	}
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	kind := parts[0]
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && len(parts) == 1:
		s.list(w, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o := s.kinds[kind][parts[1]]
		s.mu.Unlock()
		if o == nil {
			answer(w, http.StatusNotFound, struct{}{})
			return
		}
		answer(w, http.StatusOK, o)
	case r.Method == http.MethodDelete:
		s.mu.Lock()
		s.remove(kind, parts[1])
		s.mu.Unlock()
		answer(w, http.StatusOK, struct{}{})
	default:
		var o object
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			answer(w, http.StatusBadRequest, struct{}{})
			return
		}
		if r.Method == http.MethodPut && len(parts) > 1 {
			o.Metadata.Name = parts[1]
		}
		status, stored := s.write(kind, o, r.Method == http.MethodPost)
		answer(w, status, stored)
	}
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// write creates an object, or replaces it if its revision is the expected one or none is expected.
func (s *store) write(kind string, o object, create bool) (int, *object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.kinds[kind][o.Metadata.Name]
	expected := o.Metadata.Revision
	switch {
	case create && old != nil, old != nil && expected != 0 && expected != old.Metadata.Revision:
		return http.StatusConflict, old
	case !create && old == nil:
		return http.StatusNotFound, &object{}
	}
	return http.StatusOK, s.put(kind, o.Metadata.Name, o.Specification)
}

// put writes an object whatever it was. The caller holds the mutex.
func (s *store) put(kind, name string, specification json.RawMessage) *object {
	s.revision++
	o := &object{Metadata: metadata{Name: name, Revision: s.revision, Made: 1}, Specification: specification, writtenAt: time.Now()}
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]*object{}
	}
	s.kinds[kind][name] = o
	s.notify(event{kind: kind, at: s.revision, Object: o})
	return o
}

// remove removes an object. The caller holds the mutex.
func (s *store) remove(kind, name string) {
	o := s.kinds[kind][name]
	if o == nil {
		return
	}
	delete(s.kinds[kind], name)
	s.revision++
	s.notify(event{kind: kind, at: s.revision, Removed: true, Object: o})
}

func (s *store) notify(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// operate writes an object as the operator does.
func (s *store) operate(kind, name string, specification any) error {
	raw, err := json.Marshal(specification)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, raw)
	return nil
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items := []*object{}
	for _, o := range s.kinds[kind] {
		items = append(items, o)
	}
	revision := s.revision
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"items": items, "truncated": false, "as_of": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		if since < s.oldest {
			s.mu.Unlock()
			answer(w, http.StatusGone, struct{}{})
			return
		}
		found := []event{}
		as := since // what an answer without events is as of
		for _, e := range s.events {
			if e.kind == kind && e.at > since && s.fault != faultDeaf {
				found = append(found, e)
			}
		}
		if s.fault != faultDeaf {
			as = s.revision
		}
		changed, cut := s.changed, s.cut
		s.mu.Unlock()
		if over || len(found) > 0 {
			if s.isDown() {
				panic(http.ErrAbortHandler)
			}
			answer(w, http.StatusOK, map[string]any{"events": found, "as_of": as})
			return
		}
		select {
		case <-changed:
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-timeout:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// names returns the names of the objects of a kind.
func (s *store) names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []string{}
	for name := range s.kinds[kind] {
		list = append(list, name)
	}
	return list
}
