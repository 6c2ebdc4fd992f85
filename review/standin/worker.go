package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// plan says how a worker serves one stream.
type plan struct {
	events   int
	gap      time.Duration
	unframed bool          // the answer has neither a length nor chunks, and ends with its channel
	pauseAt  int           // number of the event before which the stream pauses; 0: none
	pause    time.Duration // length of that pause
	beginsAt time.Duration // time until the first event
}

// run is one run of a request at a worker.
type run struct {
	worker, id string
	from       int // first event
	begun      time.Time
	ended      time.Time
	complete   bool
	written    int // number of the last event written
}

// worker is a stand-in of a model worker. It is sound: it serves what it holds, in full.
type worker struct {
	id      string
	service string
	address string // as registered
	store   *store
	plans   func(id string) plan
	engine  *engine

	mu   sync.Mutex
	runs []*run
}

// register writes the worker's entry.
func (w *worker) register() {
	models := w.engine.models()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.store.set("servers", w.id, map[string]any{
		"service": w.service, "address": w.address, "zone": "z1", "version": "v1", "slots": 64, "state": "ready", "cold_remaining_ms": 0,
		"stage": "both", "models": models, "sequence": 4, "at_hand": map[string]any{"in_memory": []string{}, "on_disk": w.engine.onDisk},
	})
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if w.engine.isOverloaded() {
		if conn, _, err := rw.(http.Hijacker).Hijack(); err == nil {
			reset(conn)
		}
		return
	}
	switch r.URL.Path {
	case "/health":
		rw.Header().Set("Doorvalve-Instance-Id", w.id)
		rw.WriteHeader(http.StatusOK)
	case "/report":
		w.engine.report(rw)
	case "/order":
		w.engine.order(rw, r)
	default:
		w.serve(rw, r)
	}
}

// serve runs a stream.
func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Doorvalve-Expect-Instance"); expected != "" && expected != w.id {
		rw.Header().Set("Doorvalve-Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	model, adapter, _ := strings.Cut(r.Header.Get("Doorvalve-Model"), "/")
	if !w.engine.holds(model, adapter) {
		rw.Header().Set("Doorvalve-Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("Doorvalve-Request-Id")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	p := w.plans(id)
	_, _ = io.Copy(io.Discard, r.Body)
	conn, buffer, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	gone := make(chan struct{})
	var once sync.Once
	go func() { // the end of the channel ends the work
		_, _ = buffer.Reader.ReadByte()
		once.Do(func() { close(gone) })
	}()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-w.engine.crashed:
			reset(conn)
			once.Do(func() { close(gone) })
		case <-stop:
		}
	}()
	this := &run{worker: w.id, id: id, from: last + 1, begun: time.Now(), written: last}
	w.mu.Lock()
	w.runs = append(w.runs, this)
	w.mu.Unlock()
	complete := w.stream(conn, buffer.Writer, id, last, p, this, gone)
	w.mu.Lock()
	this.ended, this.complete = time.Now(), complete
	w.mu.Unlock()
}

// stream writes the header and the events, and reports whether it has written all.
func (w *worker) stream(conn net.Conn, out *bufio.Writer, id string, last int, p plan, this *run, gone chan struct{}) bool {
	if !sleep(p.beginsAt, gone) {
		return false
	}
	_, _ = fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nDoorvalve-Request-Id: %s\r\nDoorvalve-Server-Seal: seal-of-%s\r\nConnection: close\r\n", id, w.id)
	if !p.unframed {
		_, _ = out.WriteString("Transfer-Encoding: chunked\r\n")
	}
	_, _ = out.WriteString("\r\n")
	for n := last + 1; n <= p.events; n++ {
		wait := p.gap
		if n == p.pauseAt {
			wait = p.pause
		}
		if !sleep(wait, gone) {
			return false
		}
		content := fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, id, n)
		if !p.unframed {
			content = fmt.Sprintf("%x\r\n%s\r\n", len(content), content)
		}
		_, _ = out.WriteString(content)
		if out.Flush() != nil {
			return false
		}
		w.mu.Lock()
		this.written = n
		w.mu.Unlock()
	}
	if !p.unframed {
		_, _ = out.WriteString("0\r\n\r\n")
	}
	if out.Flush() != nil {
		return false
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	return true
}

// sleep reports whether the channel was still open after d.
func sleep(d time.Duration, gone chan struct{}) bool {
	select {
	case <-gone:
		return false
	case <-time.After(d):
		return true
	}
}

// runsOf returns copies of the runs of a request.
func (w *worker) runsOf(id string) []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []run
	for _, r := range w.runs {
		if r.id == id {
			list = append(list, *r)
		}
	}
	return list
}
