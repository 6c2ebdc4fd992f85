package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/doorvalve/doorvalve/internal/freeport"
)

// fleet is a small installation: a store, daemons and workers, with one record of what happens.
type fleet struct {
	store   *store
	dir     string // for settings and logs
	self    string // this program
	daemons []*process
	version int
	// revokeWithin is revoke_ms, zero where the site has none; tenants are those of the next desired state, nil for none.
	revokeWithin time.Duration
	tenants      []map[string]any

	mu     sync.Mutex
	record *os.File
	lines  []line // of the workers
	all    []*process
}

// line is a line of a worker, and when it came.
type line struct {
	at   time.Time
	text string
}

// process is a program that the fleet has started.
type process struct {
	name string
	make func() *exec.Cmd
	cmd  *exec.Cmd
	// Addresses of a daemon.
	callers, directory, readiness, peers string
}

// newFleet starts the store and opens the record.
func newFleet(recordFile string) (*fleet, error) {
	f := &fleet{}
	var err error
	if f.record, err = os.Create(recordFile); err != nil {
		return nil, err
	}
	if f.self, err = os.Executable(); err != nil {
		return nil, err
	}
	if f.dir, err = os.MkdirTemp("", "doorvalve-case-"); err != nil {
		return nil, err
	}
	f.store, err = startStore()
	return f, err
}

// note writes a line to the record.
func (f *fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, _ = fmt.Fprintf(f.record, "%s %s\n", time.Now().UTC().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

// copyRecord copies the lines of a worker to the record.
func (f *fleet) copyRecord(r io.Reader) {
	for s := bufio.NewScanner(r); s.Scan(); {
		f.mu.Lock()
		_, _ = fmt.Fprintln(f.record, s.Text())
		f.lines = append(f.lines, line{time.Now(), s.Text()})
		f.mu.Unlock()
	}
}

// linesAfter returns the lines of the workers that came later.
func (f *fleet) linesAfter(at time.Time) (list []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range f.lines {
		if l.at.After(at) {
			list = append(list, l.text)
		}
	}
	return list
}

// freeAddress returns a loopback address on which nothing listens.
func freeAddress() string {
	address, err := freeport.Address()
	if err != nil {
		panic(err)
	}
	return address
}

// start starts a process that ends with this one.
func (f *fleet) start(p *process) error {
	p.cmd = p.make()
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	f.mu.Lock()
	f.all = append(f.all, p)
	f.mu.Unlock()
	return nil
}

// signal sends a signal to the process.
func (p *process) signal(sig syscall.Signal) { _ = p.cmd.Process.Signal(sig) }

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	_ = p.cmd.Wait()
}

// end ends all processes, and removes the logs.
func (f *fleet) end() {
	for _, p := range f.all {
		p.signal(syscall.SIGCONT)
		p.kill()
	}
	_ = f.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

// settings returns the settings of a daemon, as deploy/settings.hujson has them for the site hinokuni-bid.
func settings(name, zone, store string, p *process, seeds []string, revokeWithin time.Duration) map[string]any {
	within := "2000ms"
	if revokeWithin > 0 { // the site tsasan-doorvalve-now-grown has such a bound, and these
		within = "3000ms"
	}
	return map[string]any{
		"host": name, "failure_domain": zone, "first_start": true,
		"listen": map[string]any{"callers": p.callers, "directory": p.directory, "readiness": p.readiness, "peers": p.peers, "metrics": freeAddress()},
		"peers":  map[string]any{"seeds": seeds},
		"store":  map[string]any{"address": store, "timeout": "1500ms"},
		"limits": map[string]any{"memory_mb": 284, "descriptors": 4100, "cpu_share": 0.4, "cores": 1},
		"timing": map[string]any{
			"address_ttl": "2s", "grace": "8s", "order_gap": "3000ms", "leave_within": within, "apply_within": within, "revoke_within": revokeWithin.String(),
			"endpoint_heartbeat": "1200ms", "pass": "120ms",
		},
		"retries": map[string]any{"ratio": 0.2, "extra": 54, "window": "10s"},
		"quotas":  map[string]any{"window": "0s", "overage": 0, "slack": 0},
		"loads":   map[string]any{"window": "5s", "factor": 1.1, "at_once": 2},
	}
}

// startDaemons starts daemons with the command of the deploy file, and waits until they are ready.
func (f *fleet) startDaemons(n int) error {
	var seeds []string
	for i := range n {
		name := fmt.Sprintf("front-%d", i+1)
		p := &process{name: name, callers: freeAddress(), directory: freeAddress(), readiness: freeAddress(), peers: freeAddress()}
		if len(seeds) < 3 {
			seeds = append(seeds, p.peers)
		}
		file := filepath.Join(f.dir, name+".json")
		content, err := json.Marshal(settings(name, fmt.Sprintf("fko-%c", 'a'+i), f.store.address, p, seeds, f.revokeWithin))
		if err != nil {
			return err
		}
		if err = os.WriteFile(file, content, 0o600); err != nil {
			return err
		}
		log, err := os.Create(filepath.Join(f.dir, name+".log"))
		if err != nil {
			return err
		}
		p.make = func() *exec.Cmd {
			cmd := exec.Command("target/doorvalved", "edge")
			cmd.Env = []string{"DOORVALVE_BOOT=" + file, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
			cmd.Stdout, cmd.Stderr = log, log
			return cmd
		}
		if err := f.start(p); err != nil {
			return err
		}
		f.daemons = append(f.daemons, p)
	}
	for _, p := range f.daemons {
		if !eventually(20*time.Second, p.isReady) {
			return fmt.Errorf("%s isn't ready", p.name)
		}
	}
	f.note("%d daemons are ready", n)
	return nil
}

func (p *process) isReady() bool {
	resp, err := http.Get("http://" + p.readiness + "/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startWorker starts a worker of this program.
func (f *fleet) startWorker(id string, args ...string) (*process, error) {
	p := &process{name: id}
	p.make = func() *exec.Cmd {
		cmd := exec.Command(f.self, append([]string{"worker", "-id", id, "-store", f.store.address}, args...)...)
		out, err := cmd.StdoutPipe()
		if err == nil {
			go f.copyRecord(out)
		}
		return cmd
	}
	return p, f.start(p)
}

// awaitWorkers waits until the store lists so many workers.
func (f *fleet) awaitWorkers(n int) error {
	if !eventually(10*time.Second, func() bool { return len(f.store.names(serversKind)) == n }) {
		return fmt.Errorf("the store lists %v, not %d workers", f.store.names(serversKind), n)
	}
	return nil
}

func eventually(within time.Duration, condition func() bool) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// configure writes the next desired state as the operator does.
func (f *fleet) configure(routes, services []map[string]any) error {
	f.version += 3
	f.note("operator writes version %d", f.version)
	state := map[string]any{
		"version": f.version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	if f.tenants != nil {
		state["tenants"] = f.tenants
	}
	return f.store.operate("config", "main", state)
}

// result is what a requester got.
type result struct {
	id     string
	status int
	seal   string
	body   []byte
	err    error
}

// request is one attempt of a requester, on a connection of its own.
func (f *fleet) request(p *process, method, path, id string, limit time.Duration, header map[string]string, body string) result {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r := result{id: id}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.callers+path, strings.NewReader(body))
	if err != nil {
		r.err = err
		return r
	}
	req.Host = "desk.example"
	req.Header.Set(headerRequestID, id)
	req.Header.Set(headerTimeLeft, fmt.Sprint(limit.Milliseconds()))
	for name, value := range header {
		req.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		r.err = err
		return r
	}
	defer func() { _ = resp.Body.Close() }()
	r.status, r.seal = resp.StatusCode, resp.Header.Get(headerSeal)
	r.body, r.err = io.ReadAll(resp.Body)
	return r
}
