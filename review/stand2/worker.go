package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Headers of the protocol between callers, daemons and workers.
const (
	headerRequestID = "Doorvalve-Request-Id"
	headerSeal      = "Doorvalve-Server-Seal"
	headerNotRun    = "Doorvalve-Not-Run"
	headerExpect    = "Doorvalve-Expect-Instance"
	headerInstance  = "Doorvalve-Instance-Id"
	headerModel     = "Doorvalve-Model"
	headerTimeLeft  = "Doorvalve-Time-Remaining"
)

// exitOverLimit is the exit code of an engine that was ordered to load more than it holds.
const exitOverLimit = 3

// worker is a stand-in of a worker: a plain service, or an engine that holds models.
type worker struct {
	id, service, zone, listed, storeAddress string
	slots                                   int
	gap                                     time.Duration // between the two halves of an answer without a length
	unframed, engine                        bool
	weightsMB, modelMB                      float64
	load, loadAgain                         time.Duration

	mu       sync.Mutex
	models   []string
	adapters map[string][]string // by model
	born     int64               // start in Unix ms, where workers tell it; else 0
	copies   map[string]bool
	busy     bool
	sequence uint64
	beats    uint64
	running  int
	last     string // the entry without its count
}

// record prints a line for the record of the case.
func record(format string, args ...any) {
	fmt.Printf("%s "+format+"\n", append([]any{time.Now().UTC().Format("15:04:05.000")}, args...)...)
}

// runWorker runs a worker until the process is killed.
func runWorker(args []string) error {
	w := &worker{zone: "fko-a", copies: map[string]bool{}, adapters: map[string][]string{}}
	var listen, models, copies string
	var tellsStart bool
	f := flag.NewFlagSet("worker", flag.ExitOnError)
	f.StringVar(&listen, "listen", "", "address")
	f.StringVar(&w.listed, "listed", "", "address in the entry")
	f.StringVar(&w.id, "id", "", "instance")
	f.StringVar(&w.service, "service", "", "service")
	f.StringVar(&w.storeAddress, "store", "", "address of the store")
	f.IntVar(&w.slots, "slots", 6, "requests at once")
	f.BoolVar(&w.unframed, "unframed", false, "answers have no length and end with the connection")
	f.DurationVar(&w.gap, "gap", time.Second, "between the two halves of such an answer")
	f.BoolVar(&w.engine, "engine", false, "holds models")
	f.StringVar(&models, "models", "", "models that it holds at first")
	f.StringVar(&copies, "copies", "", "models on its disk")
	f.BoolVar(&tellsStart, "born", false, "tells its start, since it may start again under its id")
	f.Float64Var(&w.weightsMB, "weights", 220000, "memory for weights, in MB")
	f.Float64Var(&w.modelMB, "model", 72700, "size of each model, in MB")
	f.DurationVar(&w.load, "load", 6*time.Second, "load from the store")
	f.DurationVar(&w.loadAgain, "load-again", 840*time.Millisecond, "load from its own disk")
	_ = f.Parse(args)
	if models != "" {
		w.models = strings.Split(models, ",")
	}
	if tellsStart {
		w.born = time.Now().UnixMilli()
	}
	for _, m := range strings.Split(copies, ",") {
		w.copies[m] = copies != ""
	}
	for _, m := range w.models {
		w.copies[m] = true
	}
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	go w.beat()
	mux := http.NewServeMux()
	mux.HandleFunc("/report", w.report)
	mux.HandleFunc("/order", w.order)
	mux.HandleFunc("/", w.serve)
	record("worker %s listens", w.id)
	return http.Serve(l, mux)
}

// entry returns what the worker says of itself in the store.
func (w *worker) entry() map[string]any {
	e := map[string]any{"service": w.service, "address": w.listed, "zone": w.zone, "version": "v1", "slots": w.slots, "state": "ready", "cold_remaining_ms": 0}
	if w.born != 0 {
		e["born"] = w.born
	}
	if w.engine {
		e["stage"], e["models"], e["at_hand"] = "both", w.listModels(), map[string]any{"in_memory": []string{}, "on_disk": w.onDisk()}
	}
	return e
}

func (w *worker) listModels() []map[string]any {
	list := []map[string]any{}
	for _, m := range w.models {
		list = append(list, map[string]any{"name": m, "version": 1, "adapters": append([]string{}, w.adapters[m]...)})
	}
	return list
}

func (w *worker) onDisk() []string {
	list := []string{}
	for m, has := range w.copies {
		if has {
			list = append(list, m)
		}
	}
	return list
}

// beat writes the entry every heartbeat, and when it changes.
func (w *worker) beat() {
	for next := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		w.mu.Lock()
		plain, _ := json.Marshal(map[string]any{"models": w.listModels()})
		due := time.Now().After(next) || string(plain) != w.last
		w.last = string(plain)
		w.beats++
		e := w.entry()
		e["sequence"] = w.beats
		w.mu.Unlock()
		if !due {
			continue
		}
		next = time.Now().Add(heartbeat)
		specification, _ := json.Marshal(e)
		body, _ := json.Marshal(object{Metadata: metadata{Name: w.id}, Specification: specification})
		if status := w.call(http.MethodPut, "/objects/servers/"+w.id, body); status == http.StatusNotFound {
			w.call(http.MethodPost, "/objects/servers", body)
		}
	}
}

func (w *worker) call(method, path string, body []byte) int {
	req, err := http.NewRequest(method, "http://"+w.storeAddress+path, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	client := http.Client{Timeout: time.Second} // the store may be silent
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// isOther answers 421 if a request expects another instance.
func (w *worker) isOther(rw http.ResponseWriter, r *http.Request) bool {
	if e := r.Header.Get(headerExpect); e == "" || e == w.id {
		return false
	}
	rw.Header().Set(headerInstance, w.id)
	rw.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
	rw.WriteHeader(http.StatusMisdirectedRequest)
	return true
}

func (w *worker) report(rw http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	said := map[string]any{
		"stage": "both", "models": w.listModels(), "busy": w.busy, "sequence": w.sequence, "waiting_requests": 0, "running_requests": w.running,
		"kv_cache_used": 0, "kv_cache_total": 156843, "handles": 0, "at_hand": map[string]any{"in_memory": []string{}, "on_disk": w.onDisk()},
	}
	if w.born != 0 {
		said["born"] = w.born
	}
	answer(rw, http.StatusOK, said)
}

func (w *worker) order(rw http.ResponseWriter, r *http.Request) {
	if w.isOther(rw, r) {
		return
	}
	var o struct {
		Operation, Model, Adapter, Holder string
		Fence                             uint64
		Expect                            *uint64
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.Fence == 0 || o.Model == "" {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	hasModel := slices.Contains(w.models, o.Model)
	held := hasModel
	if o.Adapter != "" {
		held = slices.Contains(w.adapters[o.Model], o.Adapter)
	}
	status := http.StatusAccepted
	switch {
	case w.busy, o.Expect != nil && *o.Expect != w.sequence:
		status = http.StatusConflict
	case o.Adapter != "" && !hasModel:
		status = http.StatusBadRequest
	case held == (o.Operation == "load"):
		status = http.StatusOK
	}
	expect := "nothing"
	if o.Expect != nil {
		expect = strconv.FormatUint(*o.Expect, 10)
	}
	record("worker %s order %s %s %s expects %s of %d, holder %s fence %d: %d, holds %v", w.id, o.Operation, o.Model, o.Adapter, expect, w.sequence, o.Holder, o.Fence, status, w.models)
	rw.WriteHeader(status)
	if status != http.StatusAccepted {
		return
	}
	w.sequence++
	if o.Adapter != "" {
		w.adapters[o.Model] = without(w.adapters[o.Model], o.Adapter)
		if o.Operation == "load" {
			w.adapters[o.Model] = append(w.adapters[o.Model], o.Adapter)
		}
		return
	}
	if o.Operation == "unload" {
		w.models = without(w.models, o.Model)
		delete(w.adapters, o.Model)
		return
	}
	if sum := float64(len(w.models)+1) * w.modelMB; sum > w.weightsMB {
		record("worker %s OVER-LIMIT: it holds %v, %.0f MB, and is ordered to load %s: %.0f of %.0f MB; it crashes", w.id, w.models, sum-w.modelMB, o.Model, sum, w.weightsMB)
		if f, ok := rw.(http.Flusher); ok {
			f.Flush()
		}
		os.Exit(exitOverLimit)
	}
	d := w.load
	if w.copies[o.Model] {
		d = w.loadAgain
	}
	w.busy = true
	time.AfterFunc(d, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.busy, w.models = false, append(w.models, o.Model)
		w.copies[o.Model] = true
	})
}

func without(list []string, name string) []string {
	out := []string{}
	for _, x := range list {
		if x != name {
			out = append(out, x)
		}
	}
	return out
}

// answerBytes is the size of the answer of a plain service.
const answerBytes = 800

// bodyOf returns the whole answer of a plain service to a request.
func bodyOf(id string) []byte {
	return bytes.Repeat([]byte(id+"\n"), answerBytes/(len(id)+1)+1)[:answerBytes]
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	if w.isOther(rw, r) {
		return
	}
	id := r.Header.Get(headerRequestID)
	if w.engine {
		w.serveStream(rw, r, id)
		return
	}
	record("worker %s runs %s %s", w.id, id, r.URL.Path)
	if w.unframed {
		w.answerUnframed(rw, id)
		return
	}
	time.Sleep(60 * time.Millisecond)
	rw.Header().Set(headerRequestID, id)
	rw.Header().Set(headerSeal, w.id+"."+id)
	rw.Header().Set("Content-Length", strconv.Itoa(answerBytes))
	_, _ = rw.Write(bodyOf(id))
	record("worker %s answered %s, whole", w.id, id)
}

// answerUnframed writes an answer that has no length and ends with its connection, in two halves.
func (w *worker) answerUnframed(rw http.ResponseWriter, id string) {
	c, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	body := bodyOf(id)
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n%s: %s\r\n%s: %s\r\nContent-Type: text/plain\r\n\r\n", headerRequestID, id, headerSeal, w.id+"."+id)
	_, _ = c.Write(body[:answerBytes/2])
	record("worker %s has written half of the answer to %s", w.id, id)
	time.Sleep(w.gap)
	if _, err = c.Write(body[answerBytes/2:]); err == nil {
		record("worker %s answered %s, whole", w.id, id)
	}
}

// Events of a stream: streamEvents of them, streamGap apart.
const (
	streamEvents = 10
	streamGap    = 20 * time.Millisecond
)

func (w *worker) serveStream(rw http.ResponseWriter, r *http.Request, id string) {
	model, adapter, _ := strings.Cut(r.Header.Get(headerModel), "/")
	w.mu.Lock()
	held := slices.Contains(w.models, model) && (adapter == "" || slices.Contains(w.adapters[model], adapter))
	w.mu.Unlock()
	rw.Header().Set(headerRequestID, id)
	if !held {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	w.running++
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.running--
		w.mu.Unlock()
	}()
	rw.Header().Set(headerSeal, w.id+"."+id)
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.Header().Set("Doorvalve-Weight-Versions", "1")
	for n := 1; n <= streamEvents; n++ {
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s-%d\n\n", n, id, n); err != nil {
			return
		}
		_ = http.NewResponseController(rw).Flush()
		time.Sleep(streamGap)
	}
}
