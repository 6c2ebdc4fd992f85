// Package platform is a stand-in for the platform: its object API with
// versions, conditional updates and watches, and its host list, which lags
// behind changes.
package platform

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/doorvalve/doorvalve/standin/fault"
)

// MaxValueBytes is the largest size of an object's value.
const MaxValueBytes = 1 << 20

// Object is one stored object, or a deletion in the answer to a watch.
type Object struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
	Deleted bool            `json:"deleted,omitempty"`
}

// Host is one entry of the host list.
type Host struct {
	Name    string `json:"name"`
	Address string `json:"address"` // IP number, or IP:port of a daemon's peer listener
	Role    string `json:"role"`    // "entry" or "endpoint"
	Leaving bool   `json:"leaving"`
}

// Counts are the numbers of calls since the start.
type Counts struct {
	Reads    int            `json:"reads"`
	Writes   int            `json:"writes"`
	Watches  int            `json:"watches"`
	Hosts    int            `json:"hosts"` // reads of the host list
	Conflict int            `json:"conflicts"`
	Refused  int            `json:"refused"` // calls above the rate limits
	Bytes    int            `json:"bytes_written"`
	ByKind   map[string]int `json:"writes_by_kind"`
}

type hostChange struct {
	at   time.Time
	list []Host
}

// Platform is the stand-in. It is safe for concurrent use.
type Platform struct {
	Faults *fault.Injector

	mu         sync.Mutex
	generation uint64 // rises with each restore
	revision   uint64
	objects    map[string]*Object
	log        []Object      // all changes, ordered by version, for watches
	changed    chan struct{} // closed at each change
	restored   chan struct{} // closed at the next restore, which ends waiting watches without an answer
	counts     Counts
	hosts      []hostChange
	hostLag    time.Duration
	writes     *rate.Limiter
	reads      *rate.Limiter
}

// Options are the rate limits of the stand-in and the lag of its host list.
type Options struct {
	WritesPerSecond int           // 0: unlimited
	ReadsPerSecond  int           // 0: unlimited
	HostLag         time.Duration // from a change of the host list until readers see it
}

// New returns an empty platform.
func New(opt Options) *Platform {
	return &Platform{
		Faults: fault.New(), generation: 1, objects: map[string]*Object{}, changed: make(chan struct{}), restored: make(chan struct{}),
		counts: Counts{ByKind: map[string]int{}}, hostLag: opt.HostLag,
		writes: limiter(opt.WritesPerSecond), reads: limiter(opt.ReadsPerSecond),
	}
}

func limiter(perSecond int) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// Counts returns the numbers of calls since the start.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.counts
	c.ByKind = map[string]int{}
	for k, v := range p.counts.ByKind {
		c.ByKind[k] = v
	}
	return c
}

// SetHosts changes the host list; readers see it after the lag.
func (p *Platform) SetHosts(list []Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = append(p.hosts, hostChange{time.Now(), slices.Clone(list)})
}

// Handler serves the API.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{kind}/{name}", p.get)
	mux.HandleFunc("PUT /objects/{kind}/{name}", p.put)
	mux.HandleFunc("DELETE /objects/{kind}/{name}", p.remove)
	mux.HandleFunc("GET /objects/{kind}", p.list)
	mux.HandleFunc("GET /watch", p.watch)
	mux.HandleFunc("GET /hosts", p.getHosts)
	mux.HandleFunc("POST /control/hosts", p.postHosts)
	mux.HandleFunc("GET /control/counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Counts()) })
	return p.Faults.Wrap(p.withGeneration(mux))
}

// headerGeneration is the header of each answer with the platform's generation.
const headerGeneration = "Platform-Generation"

// withGeneration adds the generation's header to the answers of next.
func (p *Platform) withGeneration(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		w.Header().Set(headerGeneration, strconv.FormatUint(p.generation, 10))
		p.mu.Unlock()
		next.ServeHTTP(w, r)
	})
}

// Backup is a copy of the stored objects that Restore accepts.
type Backup struct {
	revision uint64
	objects  map[string]*Object
	log      []Object
}

// Backup returns a copy of the stored objects for Restore.
func (p *Platform) Backup() Backup {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Backup{p.revision, maps.Clone(p.objects), slices.Clone(p.log)}
}

// Restore replaces the objects by those of a backup and begins the next generation. Updates that
// were acknowledged since the backup are lost, and later updates reuse their versions. Waiting
// watches end without an answer.
func (p *Platform) Restore(c Backup) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.generation++
	p.revision, p.objects, p.log = c.revision, maps.Clone(c.objects), slices.Clone(c.log)
	close(p.restored)
	p.restored = make(chan struct{})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// allow reports whether a call is within the rate limit. It answers and counts calls above it.
func (p *Platform) allow(w http.ResponseWriter, l *rate.Limiter) bool {
	if l.Allow() {
		return true
	}
	p.mu.Lock()
	p.counts.Refused++
	p.mu.Unlock()
	http.Error(w, "over the rate", http.StatusTooManyRequests)
	return false
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	if !p.allow(w, p.reads) {
		return
	}
	p.mu.Lock()
	p.counts.Reads++
	o, ok := p.objects[r.PathValue("kind")+"/"+r.PathValue("name")]
	var found Object
	if ok {
		found = *o
	}
	p.mu.Unlock()
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	writeJSON(w, found)
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	if !p.allow(w, p.reads) {
		return
	}
	p.mu.Lock()
	p.counts.Reads++
	found := []Object{}
	for _, o := range p.objects {
		if o.Kind == r.PathValue("kind") {
			found = append(found, *o)
		}
	}
	p.mu.Unlock()
	slices.SortFunc(found, func(a, b Object) int { return strings.Compare(a.Name, b.Name) })
	writeJSON(w, found)
}

// put writes an object if its version is the one in If-Match; "0" means that
// the object must not exist.
func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	if !p.allow(w, p.writes) {
		return
	}
	want, err := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	if err != nil {
		http.Error(w, "If-Match must be a version", http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, MaxValueBytes+1))
	if err != nil || len(value) > MaxValueBytes || !json.Valid(value) {
		http.Error(w, "a JSON value of at most 1 MiB is needed", http.StatusRequestEntityTooLarge)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Writes++
	kind, name := r.PathValue("kind"), r.PathValue("name")
	p.counts.ByKind[kind]++
	p.counts.Bytes += len(value)
	if p.versionOf(kind+"/"+name) != want {
		p.counts.Conflict++
		http.Error(w, "version differs", http.StatusConflict)
		return
	}
	o := p.store(Object{Kind: kind, Name: name, Value: value})
	o.Value = nil
	writeJSON(w, o)
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	if !p.allow(w, p.writes) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Writes++
	p.counts.ByKind[r.PathValue("kind")]++
	key := r.PathValue("kind") + "/" + r.PathValue("name")
	if p.objects[key] != nil {
		p.store(Object{Kind: r.PathValue("kind"), Name: r.PathValue("name"), Deleted: true})
		delete(p.objects, key)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) versionOf(key string) uint64 {
	if o := p.objects[key]; o != nil {
		return o.Version
	}
	return 0
}

// store gives a change of an object the next revision as its version, records
// it and wakes watches. The caller holds p.mu.
func (p *Platform) store(o Object) Object {
	p.revision++
	o.Version = p.revision
	p.objects[o.Kind+"/"+o.Name] = &o
	p.log = append(p.log, o)
	close(p.changed)
	p.changed = make(chan struct{})
	return o
}

// WatchResponse is the answer to a watch.
type WatchResponse struct {
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"` // changes of the requested kinds, ordered by version
}

// watch answers with the changes of objects of the requested kinds after a
// revision. It waits for a change if there is none yet, for at most wait_ms
// milliseconds. A revision above the platform's own, as after a restore, is
// answered with status 410.
func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	if !p.allow(w, p.reads) {
		return
	}
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("since"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("wait_ms"))
	kinds := strings.Split(q.Get("kinds"), ",")
	p.mu.Lock()
	p.counts.Watches++
	restored := p.restored
	p.mu.Unlock()
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		found, changed := p.since(since, kinds)
		if found.Revision < since {
			http.Error(w, "no such revision", http.StatusGone)
			return
		}
		if len(found.Objects) > 0 {
			writeJSON(w, found)
			return
		}
		select {
		case <-changed:
		case <-restored:
			panic(http.ErrAbortHandler)
		case <-timeout:
			writeJSON(w, found)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the changes of objects of the kinds after a revision, and the
// channel that is closed at the next change.
func (p *Platform) since(revision uint64, kinds []string) (WatchResponse, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := WatchResponse{Revision: p.revision}
	first, _ := slices.BinarySearchFunc(p.log, revision+1, func(o Object, v uint64) int {
		switch {
		case o.Version < v:
			return -1
		case o.Version > v:
			return 1
		}
		return 0
	})
	for _, o := range p.log[first:] {
		if slices.Contains(kinds, o.Kind) {
			found.Objects = append(found.Objects, o)
		}
	}
	return found, p.changed
}

func (p *Platform) getHosts(w http.ResponseWriter, r *http.Request) {
	if !p.allow(w, p.reads) {
		return
	}
	p.mu.Lock()
	p.counts.Hosts++
	list, version := []Host{}, 0
	for i, c := range p.hosts {
		if time.Since(c.at) >= p.hostLag {
			list, version = c.list, i+1
		}
	}
	p.mu.Unlock()
	tag := strconv.Quote(strconv.Itoa(version))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, list)
}

func (p *Platform) postHosts(w http.ResponseWriter, r *http.Request) {
	var list []Host
	if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetHosts(list)
	w.WriteHeader(http.StatusNoContent)
}

// Replay sends watches the first content of an object once more, under a new
// revision, as a watch that lags and repeats events does. Reads and conditional
// updates of the object are not affected.
func (p *Platform) Replay(kind, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, o := range p.log {
		if o.Kind == kind && o.Name == name {
			p.revision++
			o.Version = p.revision
			p.log = append(p.log, o)
			close(p.changed)
			p.changed = make(chan struct{})
			return
		}
	}
}
