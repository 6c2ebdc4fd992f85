package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync"
	"time"
)

func init() { cases["lives"] = runLives }

const (
	// lateBy is how late the order is carried out: between 2 and 12 s.
	lateBy = 11800 * time.Millisecond
	// lateModel is the model that it loads.
	lateModel = "m4"
	// downTime is from the end of an engine to its next start.
	downTime = 400 * time.Millisecond
	// soundWorkers are the workers beside the engine, which is a tenth of all.
	soundWorkers = 9
)

// front is the way to one engine. It may hold one order, which gets no answer and reaches the engine later.
type front struct {
	f       *fleet
	address string
	backend string
	proxy   *httputil.ReverseProxy

	mu     sync.Mutex
	armed  bool
	heldAt time.Time // when the order was held; zero before
}

func newFront(f *fleet, backend string) *front {
	x := &front{f: f, address: freeAddress(), backend: backend}
	x.proxy = httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: backend})
	x.proxy.FlushInterval = -1
	x.proxy.ErrorLog = log.New(io.Discard, "", 0)
	x.proxy.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) } // the engine is down
	go func() { _ = http.ListenAndServe(x.address, x) }()
	return x
}

// ServeHTTP implements http.Handler.
func (x *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/order" {
		x.proxy.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	var o struct{ Operation, Model, Adapter string }
	_ = json.Unmarshal(body, &o)
	x.mu.Lock()
	hold := x.armed && o.Operation == "load" && o.Model == lateModel && o.Adapter == ""
	if hold {
		x.armed, x.heldAt = false, time.Now()
	}
	x.mu.Unlock()
	if !hold {
		r.Body = io.NopCloser(bytes.NewReader(body))
		x.proxy.ServeHTTP(w, r)
		return
	}
	x.f.note("no answer for %s; it is carried out in %v", body, lateBy)
	header := r.Header.Clone()
	time.AfterFunc(lateBy, func() { x.deliver(header, body) })
	<-r.Context().Done()
}

// deliver sends the held order to whatever life the engine has now.
func (x *front) deliver(header http.Header, body []byte) {
	req, err := http.NewRequest(http.MethodPost, "http://"+x.backend+"/order", bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header = header
	x.f.note("the late order reaches the engine: %s", body)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		x.f.note("the late order: %v", err)
		return
	}
	_ = resp.Body.Close()
	x.f.note("the late order is answered %d", resp.StatusCode)
}

// arm lets the front hold the next load of lateModel.
func (x *front) arm() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.armed = true
}

// held returns when the order was held; zero before.
func (x *front) held() time.Time {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.heldAt
}

// report returns the number of orders that the engine has accepted, and its models.
func (x *front) report() (sequence uint64, models []string) {
	resp, err := http.Get("http://" + x.backend + "/report")
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	var said struct {
		Sequence uint64
		Models   []struct{ Name string }
	}
	_ = json.NewDecoder(resp.Body).Decode(&said)
	for _, m := range said.Models {
		models = append(models, m.Name)
	}
	return said.Sequence, models
}

// lives plays an engine that starts again twice under its id while an order to its first life is late.
type lives struct {
	f      *fleet
	x      *front
	engine *process
	asked  int
}

func (l *lives) begin(models string) (err error) {
	l.engine, err = l.f.startWorker("i-engine", "-engine", "-born", "-service", "bid-llm", "-listen", l.x.backend, "-listed", l.x.address, "-slots", "64", "-models", models, "-copies", "m0,m1,m2,m3,m4,m5")
	return err
}

// restart ends the life of the engine and begins the next one, which holds nothing.
func (l *lives) restart() error {
	l.f.note("the engine crashes")
	l.engine.kill()
	time.Sleep(downTime)
	return l.begin("")
}

// ask asks for a model until it is served, and reports whether it was within the time.
func (l *lives) ask(unit string, within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		l.asked++
		id := fmt.Sprintf("draft%011d", l.asked)
		r := l.f.request(l.f.daemons[l.asked%len(l.f.daemons)], "POST", "/draft/2f", id, min(2500*time.Millisecond, time.Until(end)), map[string]string{headerModel: unit, "Doorvalve-Token-Count": "600,60"}, "prompt")
		l.f.note("%s for %s: status %d, %v", id, unit, r.status, r.err)
		if r.status == http.StatusOK && r.err == nil {
			return true
		}
	}
	return false
}

// runLives plays a late order to the first of three lives of an engine.
func runLives(f *fleet, trouble bool) (broken bool, err error) {
	if err = f.configure(append(streamRoutes(12000), plainRoutes()...), append(engineServices(models), plainServices()...)); err != nil {
		return false, err
	}
	l := &lives{f: f, x: newFront(f, freeAddress())}
	if err = l.begin("m1,m2"); err != nil {
		return false, err
	}
	for i := range soundWorkers {
		address := freeAddress()
		if _, err = f.startWorker(fmt.Sprintf("i-app%d", i+1), "-service", "settle-app", "-listen", address, "-listed", address); err != nil {
			return false, err
		}
	}
	if err = f.awaitWorkers(1 + soundWorkers); err != nil {
		return false, err
	}
	if err = f.startDaemons(3); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	// The first life accepts three orders and has room for one more model.
	for _, unit := range []string{"m1/a1", "m1/a2", "m2/a1"} {
		if !l.ask(unit, 10*time.Second) {
			return false, fmt.Errorf("%s was not served", unit)
		}
	}
	if n, held := l.x.report(); n != 3 || len(held) != 2 {
		return false, fmt.Errorf("the first life has accepted %d orders and holds %v", n, held)
	}
	if trouble {
		l.x.arm()
	}
	l.ask(lateModel, 1200*time.Millisecond)
	late := l.x.held()
	if trouble && late.IsZero() {
		return false, fmt.Errorf("no order for %s came", lateModel)
	}
	if err = l.restart(); err != nil {
		return false, err
	}
	// The second life accepts more orders than the late one expects.
	for _, unit := range []string{lateModel, "m1", "m1/a1", "m1/a2", "m1/a3"} {
		l.ask(unit, 3*time.Second)
	}
	n, held := l.x.report()
	f.note("the second life has accepted %d orders and holds %v", n, held)
	if err = l.restart(); err != nil {
		return false, err
	}
	// The third life accepts as many as the late one expects.
	for _, unit := range []string{"m1", "m2", "m3"} {
		l.ask(unit, 3*time.Second)
	}
	n, held = l.x.report()
	f.note("the third life has accepted %d orders and holds %v, %v after the late order was sent", n, held, time.Since(late).Round(time.Millisecond))
	if trouble && (n != 3 || time.Since(late) > lateBy) {
		return false, fmt.Errorf("the third life has accepted %d orders", n)
	}
	ended := make(chan bool, 1)
	engine := l.engine
	go func() {
		_ = engine.cmd.Wait()
		ended <- engine.cmd.ProcessState.ExitCode() == exitOverLimit
	}()
	select {
	case broken = <-ended:
	case <-time.After(max(0, time.Until(late.Add(lateBy))) + 3*time.Second):
	}
	if broken {
		f.note("LIMIT is broken: the engine was ordered to load more than it holds")
	}
	if !strings.Contains(strings.Join(held, ","), "m1") {
		return false, fmt.Errorf("the third life holds %v", held)
	}
	return broken, nil
}
