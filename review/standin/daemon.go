package main

import (
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// program is the daemon as the deploy file builds and starts it.
var program = []string{"target/doorvalved", "edge"}

// daemon is one doorvalved process.
type daemon struct {
	host, dir                          string
	callers, directory, ready, control string
	settings                           map[string]any

	mu  sync.Mutex
	cmd *exec.Cmd
	out *os.File
}

// newDaemon prepares a daemon with the settings of the template, filled in with the figures of a small
// site.
func newDaemon(dir, host, zone, storeAddress string, seeds []string) *daemon {
	d := &daemon{host: host, dir: dir, callers: freeAddress(), directory: freeAddress(), ready: freeAddress(), control: freeAddress()}
	if len(seeds) == 0 {
		seeds = []string{d.control}
	}
	d.settings = map[string]any{
		"host": host, "failure_domain": zone, "first_start": true,
		"listen": map[string]any{"callers": d.callers, "directory": d.directory, "readiness": d.ready, "peers": d.control},
		"peers":  map[string]any{"seeds": seeds},
		"store":  map[string]any{"address": storeAddress, "timeout": "1500ms"},
		"limits": map[string]any{"memory_mb": 284, "descriptors": 4100, "cpu_share": 0.4, "cores": 1},
		"timing": map[string]any{
			"address_ttl": "2s", "grace": "8s", "order_gap": "3000ms", "leave_within": "2000ms", "apply_within": "2000ms", "revoke_within": "0ms", "endpoint_heartbeat": "1200ms", "pass": "120ms",
		},
		"retries": map[string]any{"ratio": 0.2, "extra": 52},
		"quotas":  map[string]any{"window": "0s", "overage": 0, "slack": 0},
		"loads":   map[string]any{"window": "5s", "factor": 1.1, "at_once": 2},
	}
	return d
}

// start starts the process.
func (d *daemon) start() error {
	content, err := json.Marshal(d.settings)
	if err != nil {
		return err
	}
	file := filepath.Join(d.dir, d.host+".json")
	if err := os.WriteFile(file, content, 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(d.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(program[0], program[1:]...)
	cmd.Env = append(os.Environ(), "DOORVALVE_BOOT="+file)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cmd, d.out = cmd, out
	d.settings["first_start"] = false // later starts are restarts
	return cmd.Start()
}

func (d *daemon) logFile() string { return filepath.Join(d.dir, d.host+".log") }

// signal sends a signal to the process.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil && d.cmd.Process != nil {
		_ = d.cmd.Process.Signal(s)
	}
}

// wait waits for the end of the process.
func (d *daemon) wait() {
	d.mu.Lock()
	cmd, out := d.cmd, d.out
	d.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Wait()
	_ = out.Close()
}

// end kills the process.
func (d *daemon) end() {
	d.signal(syscall.SIGKILL)
	d.wait()
}

// isReady reports whether the daemon answers its readiness check with 200.
func (d *daemon) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + d.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// logged returns the lines of the log that hold all the texts.
func (d *daemon) logged(texts ...string) []map[string]any {
	content, _ := os.ReadFile(d.logFile())
	var list []map[string]any
lines:
	for line := range strings.Lines(string(content)) {
		for _, t := range texts {
			if !strings.Contains(line, t) {
				continue lines
			}
		}
		fields := map[string]any{}
		if json.Unmarshal([]byte(line), &fields) == nil {
			list = append(list, fields)
		}
	}
	return list
}
