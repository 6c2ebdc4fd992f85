package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a small stand-in of the platform's metadata store: objects by kind and name, conditional
// writes, lists and watches. It is always sound.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]*object
	events   []event
	changed  chan struct{} // closed at the next change
}

type metadata struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
}

type object struct {
	Metadata      metadata        `json:"metadata"`
	Specification json.RawMessage `json:"specification"`
}

type event struct {
	kind    string
	at      uint64
	Removed bool    `json:"removed"`
	Object  *object `json:"object"`
}

func newStore() *store {
	return &store{objects: map[string]map[string]*object{}, changed: make(chan struct{}), revision: 1}
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind)
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.put(w, r, kind)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []*object{}
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "truncated": false, "as_of": s.revision})
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	if o == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(o)
}

func (s *store) put(w http.ResponseWriter, r *http.Request, kind string) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.objects[kind][o.Metadata.Name]
	create := r.Method == http.MethodPost
	switch {
	case create && old != nil, !create && old != nil && o.Metadata.Revision != 0 && o.Metadata.Revision != old.Metadata.Revision:
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(old)
	case !create && old == nil:
		w.WriteHeader(http.StatusNotFound)
	default:
		s.write(kind, &o)
		_ = json.NewEncoder(w).Encode(&o)
	}
}

// write stores an object under the next revision. The caller holds the mutex.
func (s *store) write(kind string, o *object) {
	s.revision++
	o.Metadata.Revision = s.revision
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	s.objects[kind][o.Metadata.Name] = o
	s.add(event{kind: kind, at: s.revision, Object: o})
}

func (s *store) add(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// set writes an object without a condition, as the operator and the workers do.
func (s *store) set(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, &object{Metadata: metadata{Name: name}, Specification: raw})
}

// remove removes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	if o == nil {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	s.add(event{kind: kind, at: s.revision, Removed: true, Object: &object{Metadata: metadata{Name: name, Revision: s.revision}, Specification: o.Specification}})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		list, asOf, changed := s.since(kind, since)
		timedOut := false
		if len(list) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-end:
				timedOut = true
			}
		}
		if timedOut {
			list, asOf, _ = s.since(kind, since)
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"events": list, "as_of": asOf})
		return
	}
}

func (s *store) since(kind string, revision uint64) (list []event, asOf uint64, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list = []event{}
	for _, e := range s.events {
		if e.kind == kind && e.at > revision {
			list = append(list, e)
		}
	}
	return list, s.revision, s.changed
}
