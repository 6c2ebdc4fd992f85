// Package e2e_test runs real daemons against the stand-ins, injects failures and
// checks that the guarantees to callers and operators hold.
package e2e_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/daemon"
	"github.com/doorvalve/doorvalve/internal/freeport"
	"github.com/doorvalve/doorvalve/internal/syncbuf"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/standin/engine"
	"github.com/doorvalve/doorvalve/standin/fault"
	standin "github.com/doorvalve/doorvalve/standin/platform"
	"github.com/doorvalve/doorvalve/standin/service"
	"github.com/doorvalve/doorvalve/standin/silence"
	"github.com/doorvalve/doorvalve/state/bundle"
	"github.com/doorvalve/doorvalve/transport/callers"
	"github.com/doorvalve/doorvalve/transport/operators"
)

// eventTimeout is the longest time that tests wait for an event that must occur. It
// is generous on purpose: it is no requirement on how soon the event occurs.
const eventTimeout = 60 * time.Second

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "doorvalve-e2e")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "doorvalved")
	args := []string{"build", "-o", binary}
	if raceEnabled {
		args = append(args, "-race")
	}
	build := exec.Command("go", append(args, "../cmd/doorvalved")...)
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// testbed holds the daemons of a test and the stand-ins for the systems around them.
type testbed struct {
	t        *testing.T
	platform *standin.Platform
	engines  map[string]*engine.Engine
	services map[string]*service.Service
	hosts    []standin.Host
	url      string // of the platform
	bundle   bundle.Bundle
	daemons  []*proc
	silence  silence.Switch // of all endpoints
	client   *http.Client
}

// options configure a testbed; defaults returns the usual ones.
type options struct {
	daemons     int
	engines     int
	plain       int
	models      int
	memoryMiB   int64
	slots       int
	fencing     bool
	loadTime    time.Duration
	tokenTime   time.Duration
	work        time.Duration
	hostLag     time.Duration
	addressTTL  time.Duration
	leaseTerm   time.Duration
	timeout     time.Duration // of the default class
	adapters    int
	change      func(*bundle.Bundle)
	noRollout   bool
	queueLength int
}

func defaults() options {
	return options{
		daemons: 3, engines: 2, plain: 2, models: 6, memoryMiB: 40000, slots: 8, fencing: true, loadTime: 300 * time.Millisecond,
		tokenTime: time.Millisecond, work: time.Millisecond, addressTTL: time.Second, leaseTerm: 2 * time.Second, timeout: 30 * time.Second, queueLength: 256,
	}
}

const (
	modelMiB   = 10000
	adapterMiB = 500
	reserveMiB = 4000
)

// newTestbed starts the stand-ins and the daemons, rolls out a bundle, unless
// o.noRollout is set, and waits until all daemons run it.
func newTestbed(t *testing.T, o options) *testbed {
	t.Helper()
	w := &testbed{
		t: t, platform: standin.New(standin.Options{HostLag: o.hostLag}), engines: map[string]*engine.Engine{},
		services: map[string]*service.Service{}, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	w.url = w.serve(w.platform.Handler(), w.platform.Faults)
	w.bundle = bundle.Bundle{
		Format: bundle.Format, FailureDomains: []string{"hall-a", "hall-b", "hall-c"}, AddressTTL: bundle.Duration(o.addressTTL), DefaultClass: "crew",
		Classes: []bundle.Class{{Name: "crew", Worth: 100, Timeout: bundle.Duration(o.timeout)}, {Name: "batch", Worth: 10, Timeout: bundle.Duration(o.timeout)}},
		Callers: []bundle.Caller{{Name: "night", Class: "batch", TokenSHA256: bundle.Digest([]byte("night"))}},
		Claims:  bundle.Claims{Shards: 4, Retention: bundle.Duration(time.Hour)},
		Policy: bundle.Policy{ColdStartWeight: 10, IdleWeight: 1, MinIdle: bundle.Duration(time.Minute), MaxIdle: bundle.Duration(time.Hour),
			LoadsAtOnce: 4, LoadsPerSecond: 100},
	}
	w.addEngines(o)
	w.addServices(o)
	for i := range o.models {
		w.bundle.Models = append(w.bundle.Models, bundle.Model{
			Name: fmt.Sprintf("m%d", i), Service: "lm", Version: "1", MemoryMiB: modelMiB, Load: bundle.Duration(o.loadTime), MaxReplicas: 1,
		})
	}
	for i := range o.adapters {
		w.bundle.Adapters = append(w.bundle.Adapters, bundle.Adapter{
			Name: fmt.Sprintf("a%d", i), Base: "m0", Version: "1", MemoryMiB: adapterMiB, Load: bundle.Duration(o.loadTime), MaxReplicas: 1,
		})
	}
	if o.change != nil {
		o.change(&w.bundle)
	}
	for i := range o.daemons {
		w.startDaemon(fmt.Sprintf("entry%d", i), w.bundle.FailureDomains[i%3], o)
	}
	if o.daemons > 0 && !o.noRollout {
		w.rollout(w.bundle)
		w.inForce(1)
	}
	return w
}

// serve runs a stand-in and returns its URL. At the end of the test its faults
// are removed before the server closes, since closing waits for frozen calls.
func (w *testbed) serve(h http.Handler, f *fault.Injector) string {
	s := httptest.NewUnstartedServer(h)
	if f != w.platform.Faults {
		s.Listener = w.silence.Listen(s.Listener)
	}
	s.Start()
	w.t.Cleanup(func() {
		w.silence.End()
		f.Set(fault.Settings{})
		s.CloseClientConnections()
		s.Close()
	})
	return s.URL
}

func (w *testbed) addEngines(o options) {
	svc := bundle.Service{Name: "lm", Kind: bundle.KindEngine, Mode: bundle.ModeManaged}
	for i := range o.engines {
		name := fmt.Sprintf("w%d", i)
		e := engine.New(engine.Options{Name: name, MemoryMiB: o.memoryMiB, Slots: o.slots, ChecksFencing: o.fencing, TokenTime: o.tokenTime, LoadTime: o.loadTime})
		w.engines[name] = e
		address := strings.TrimPrefix(w.serve(e.Handler(), e.Faults), "http://")
		w.hosts = append(w.hosts, standin.Host{Name: name, Address: address, Role: "endpoint"})
		svc.Endpoints = append(svc.Endpoints, bundle.Endpoint{
			Name: name, Address: address, FailureDomain: w.bundle.FailureDomains[i%3], MemoryMiB: o.memoryMiB, KVReserveMiB: reserveMiB,
			Slots: o.slots, ChecksFencing: o.fencing,
		})
	}
	w.bundle.Services = append(w.bundle.Services, svc)
}

func (w *testbed) addServices(o options) {
	svc := bundle.Service{Name: "app", Kind: bundle.KindPlain, Mode: bundle.ModeManaged, NonRepeatable: []bundle.Route{{Method: "POST", Path: "/orders"}}}
	for i := range o.plain {
		name := fmt.Sprintf("app%d", i)
		s := service.New(name, o.work)
		w.services[name] = s
		address := strings.TrimPrefix(w.serve(s.Handler(), s.Faults), "http://")
		w.hosts = append(w.hosts, standin.Host{Name: name, Address: address, Role: "endpoint"})
		svc.Endpoints = append(svc.Endpoints, bundle.Endpoint{Name: name, Address: address, FailureDomain: w.bundle.FailureDomains[i%3], Slots: o.slots})
	}
	w.bundle.Services = append(w.bundle.Services, svc)
	w.platform.SetHosts(w.hosts)
}

// proc is one daemon process.
type proc struct {
	w                        *testbed
	name                     string
	cmd                      *exec.Cmd
	callers, peers, operator string
	settings                 string
	log                      *syncbuf.Buffer
	exited                   chan struct{}
	err                      error
}

func freeAddress(t *testing.T) string {
	address, err := freeport.Address()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

func (w *testbed) startDaemon(name, domain string, o options) *proc {
	w.t.Helper()
	p := w.newProc(name, domain, o)
	p.start()
	w.daemons = append(w.daemons, p)
	return p
}

// newProc returns a daemon that is listed as a host and not started yet, with its settings written.
func (w *testbed) newProc(name, domain string, o options) *proc {
	w.t.Helper()
	p := &proc{w: w, name: name, callers: freeAddress(w.t), peers: freeAddress(w.t), operator: freeAddress(w.t)}
	p.settings = filepath.Join(w.t.TempDir(), name+".hujson")
	text := fmt.Sprintf(`{
		// written by the test
		"host": %q, "failure_domain": %q, "log_level": "debug", "lease_term": %q, "first_start": true,
		"callers": {"listen": %q}, "peers": {"listen": %q, "token": "shared-by-all-daemons"},
		"operators": {"listen": %q, "tokens": [{"name": "anna", "token_sha256": %q}, {"name": "bo", "token_sha256": %q}]},
		"platform": {"url": %q, "timeout": "500ms"},
		"limits": {"queue_length": %d, "body_bytes": 100000},
	}`, name, domain, o.leaseTerm, p.callers, p.peers, p.operator, bundle.Digest([]byte("anna")), bundle.Digest([]byte("bo")), w.url, o.queueLength)
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		w.t.Fatal(err)
	}
	w.hosts = append(w.hosts, standin.Host{Name: name, Address: p.peers, Role: "entry"})
	w.platform.SetHosts(w.hosts)
	return p
}

// markRestarted sets first_start to false in the settings, as the next process is
// not the first one of its host.
func (p *proc) markRestarted() {
	text, err := os.ReadFile(p.settings)
	if err == nil {
		err = os.WriteFile(p.settings, bytes.Replace(text, []byte(`"first_start": true`), []byte(`"first_start": false`), 1), 0o600)
	}
	if err != nil {
		p.w.t.Fatal(err)
	}
}

func (p *proc) start() {
	if p.log != nil {
		p.markRestarted()
	}
	p.log = &syncbuf.Buffer{}
	p.exited = make(chan struct{})
	p.cmd = exec.Command(binary, "--settings", p.settings)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log // log lines come on stdout, reports of data races on stderr
	if err := p.cmd.Start(); err != nil {
		p.w.t.Fatal(err)
	}
	cmd, exited := p.cmd, p.exited
	go func() {
		p.err = cmd.Wait()
		close(exited)
	}()
	p.w.t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		<-exited
		if p.w.t.Failed() {
			p.w.t.Logf("log of %s:\n%s", p.name, tail(p.log.String(), 6000))
		}
		if strings.Contains(p.log.String(), "DATA RACE") {
			p.w.t.Errorf("%s: data race:\n%s", p.name, p.log.String())
		}
	})
	p.w.eventually(p.name+" listens", func() bool {
		c, err := net.Dial("tcp", p.callers)
		if err == nil {
			_ = c.Close()
		}
		return err == nil
	})
}

func tail(s string, n int) string { return s[max(0, len(s)-n):] }

func (p *proc) kill()     { _ = p.cmd.Process.Kill(); <-p.exited }
func (p *proc) freeze()   { _ = p.cmd.Process.Signal(syscall.SIGSTOP) }
func (p *proc) unfreeze() { _ = p.cmd.Process.Signal(syscall.SIGCONT) }
func (p *proc) stop()     { _ = p.cmd.Process.Signal(syscall.SIGTERM) }

func (p *proc) alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// eventually waits until f returns true, and fails the test after eventTimeout.
func (w *testbed) eventually(what string, f func() bool) {
	w.t.Helper()
	for deadline := time.Now().Add(eventTimeout); time.Now().Before(deadline); {
		if f() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	w.t.Fatalf("did not happen: %s", what)
}

// callOperators sends a request to the daemon's operators' listener and decodes the
// answer into v, unless v is nil. An answer with status 300 or above is returned
// as an error with the body.
func (p *proc) callOperators(token, method, path string, body []byte, v any) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.operator+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := p.w.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp.StatusCode, err
	}
	if resp.StatusCode >= 300 {
		return resp.StatusCode, errors.New(string(answer))
	}
	if v != nil {
		err = json.Unmarshal(answer, v)
	}
	return resp.StatusCode, err
}

// propose stores and signs off a bundle and returns its digest.
func (p *proc) propose(b bundle.Bundle) string {
	p.w.t.Helper()
	content, _ := json.Marshal(b)
	var proposed operators.ProposeResponse
	if _, err := p.callOperators("anna", "POST", "/v1/bundles", content, &proposed); err != nil {
		p.w.t.Fatal(err)
	}
	if _, err := p.callOperators("bo", "POST", "/v1/bundles/"+proposed.Digest+"/signoff", nil, nil); err != nil {
		p.w.t.Fatal(err)
	}
	return proposed.Digest
}

func (p *proc) advance(digest string, expected uint64) (int, error) {
	body, _ := json.Marshal(operators.RolloutRequest{Digest: digest, Expected: expected})
	return p.callOperators("anna", "POST", "/v1/rollout", body, nil)
}

// rollout proposes a bundle, has it signed off and rolls it out through the first
// running daemon.
func (w *testbed) rollout(b bundle.Bundle) {
	w.t.Helper()
	p := w.runningDaemons()[0]
	digest := p.propose(b)
	var now struct {
		Generation uint64 `json:"generation"`
	}
	if _, err := p.callOperators("anna", "GET", "/v1/history", nil, &now); err != nil {
		w.t.Fatal(err)
	}
	if _, err := p.advance(digest, now.Generation); err != nil {
		w.t.Fatal(err)
	}
}

// runningDaemons returns the daemons whose processes run.
func (w *testbed) runningDaemons() []*proc {
	var list []*proc
	for _, p := range w.daemons {
		if p.alive() {
			list = append(list, p)
		}
	}
	return list
}

func (p *proc) dump() (daemon.Dump, error) {
	var d daemon.Dump
	_, err := p.callOperators("anna", "GET", "/debug/state", nil, &d)
	return d, err
}

// inForce waits until every running daemon has at least the generation.
func (w *testbed) inForce(generation uint64) {
	w.t.Helper()
	w.eventually(fmt.Sprintf("generation %d in force", generation), func() bool {
		for _, p := range w.runningDaemons() {
			if d, err := p.dump(); err != nil || d.Generation < generation {
				return false
			}
		}
		return true
	})
}

// holder waits for a daemon that holds the placement lease of the engines' group
// and returns it.
func (w *testbed) holder() *proc {
	w.t.Helper()
	var found *proc
	w.eventually("a placement holder", func() bool {
		for _, p := range w.runningDaemons() {
			d, err := p.dump()
			for _, g := range d.Groups {
				if err == nil && g.Group == "lm" && g.Held {
					found = p
					return true
				}
			}
		}
		return false
	})
	return found
}

// reply is an answer as a caller gets it. The refusal is set if the answer is one.
type reply struct {
	status  int
	body    string
	refusal protocol.Refusal
	header  http.Header
	err     error
}

func (r reply) ok() bool { return r.err == nil && r.status == http.StatusOK }

// call sends a request to the daemon's listener for callers. Headers are pairs
// of a name and a value.
func (p *proc) call(method, path, body string, headers ...string) reply {
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.callers+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := p.w.client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	r := reply{status: resp.StatusCode, body: string(answer), header: resp.Header, err: err}
	if resp.Header.Get("Content-Type") == protocol.ContentTypeProblem && err == nil {
		r.err = json.Unmarshal(answer, &r.refusal)
	}
	return r
}

// complete sends a request for a completion and returns the text of the answer.
func (p *proc) complete(model, prompt string, tokens int, headers ...string) (string, reply) {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d}`, model, prompt, tokens)
	r := p.call("POST", "/v1/completions", body, headers...)
	var a struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if r.ok() {
		r.err = json.Unmarshal([]byte(r.body), &a)
	}
	if len(a.Choices) == 0 {
		return "", r
	}
	return a.Choices[0].Text, r
}

// stream sends a request for a streamed completion and returns the text of the
// stream; whole is true if the stream's end marker was received.
func (p *proc) stream(model, prompt string, tokens int) (text string, whole bool, r reply) {
	return p.streamWith(model, prompt, tokens)
}

// streamWith is stream with additional headers, pairs of a name and a value.
func (p *proc) streamWith(model, prompt string, tokens int, headers ...string) (text string, whole bool, r reply) {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, model, prompt, tokens)
	r = p.call("POST", "/v1/completions", body, headers...)
	for line := range strings.SplitSeq(r.body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			whole = true
			continue
		}
		var a struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(data), &a) == nil && len(a.Choices) > 0 {
			text += a.Choices[0].Text
		}
	}
	return text, whole, r
}

// replicas returns the number of engines that hold a unit.
func (w *testbed) replicas(unit string) int {
	n := 0
	for _, e := range w.engines {
		for _, u := range e.Units() {
			if u.Unit == unit {
				n++
			}
		}
	}
	return n
}

// checkMemory fails the test if any engine was ever overcommitted, or if its units
// ever took memory that is reserved for KV caches.
func (w *testbed) checkMemory() {
	w.t.Helper()
	for name, e := range w.engines {
		if s := e.Stats(); s.Overcommitted > 0 || s.PeakMemoryMiB > w.bundle.Services[0].Endpoints[0].MemoryMiB-reserveMiB {
			w.t.Errorf("engine %s: overcommitted %d times, peak %d MiB", name, s.Overcommitted, s.PeakMemoryMiB)
		}
	}
}

// watchReplicas samples the engines until the returned function is called,
// which fails the test if a unit ever had more than limit replicas.
func (w *testbed) watchReplicas(unit string, limit int) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	peak, done := 0, make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			peak = max(peak, w.replicas(unit))
			time.Sleep(time.Millisecond)
		}
	}()
	return func() {
		w.t.Helper()
		cancel()
		<-done
		if peak > limit {
			w.t.Errorf("%s had %d replicas, %d allowed", unit, peak, limit)
		}
	}
}

func (w *testbed) addressesOf(p *proc) (callers.Addresses, error) {
	var a callers.Addresses
	r := p.call("GET", "/v1/addresses", "")
	if r.err != nil {
		return a, r.err
	}
	return a, json.Unmarshal([]byte(r.body), &a)
}
