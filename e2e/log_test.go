package e2e_test

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/standin/fault"
)

// logLine is a line of a daemon's log, with the fields that tests look at.
type logLine struct {
	Message  string `json:"@message"`
	Level    string `json:"@level"`
	Request  string `json:"request"`
	Reason   string `json:"reason"`
	Verdict  string `json:"verdict"`
	Endpoint string `json:"endpoint"`
}

// lines returns the complete lines of a daemon's log so far.
func (p *proc) lines() []logLine {
	var all []logLine
	for text := range strings.Lines(p.log.String()) {
		if !strings.HasSuffix(text, "\n") {
			break // still being written
		}
		var l logLine
		if err := json.Unmarshal([]byte(text), &l); err != nil {
			p.w.t.Fatalf("%s: not JSON: %q", p.name, text)
		}
		all = append(all, l)
	}
	return all
}

// waitForLog waits until any daemon has logged an event for a request, and returns the line.
func (w *testbed) waitForLog(event, request string) logLine {
	var found logLine
	w.eventually(event+" of "+request+" is logged", func() bool {
		for _, p := range w.daemons {
			for _, l := range p.lines() {
				if l.Message == event && l.Request == request {
					found = l
					return true
				}
			}
		}
		return false
	})
	return found
}

// Each final answer must be logged with the reason and the verdict that the caller
// got, and every event that is logged above debug level must be described in
// docs/OPERATIONS.md.
func TestLogCoversEachRequest(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	w := newTestbed(t, defaults())
	_, served := w.daemons[0].complete("m0", "x", 2)
	if l := w.waitForLog(decisions.EventAnswered, served.header.Get(protocol.HeaderRequestID)); l.Endpoint == "" {
		t.Errorf("no endpoint: %+v", l)
	}
	unknown := w.daemons[1].call("POST", "/v1/completions", `{"model":"nobody's","prompt":"p"}`)
	if l := w.waitForLog(decisions.EventRefused, unknown.header.Get(protocol.HeaderRequestID)); l.Reason != "unknown-model" || l.Verdict != protocol.NotRun.String() {
		t.Errorf("refused: %+v", l)
	}
	for _, e := range w.engines {
		e.SetWrongAttemptID(true)
	}
	_, crossed := w.daemons[0].complete("m0", "y", 2, protocol.HeaderTimeout, "3000")
	id := crossed.header.Get(protocol.HeaderRequestID)
	if l := w.waitForLog(decisions.EventFailed, id); l.Verdict == protocol.NotRun.String() {
		t.Errorf("failed: %+v", l)
	}
	if l := w.waitForLog(decisions.EventAttemptFailed, id); l.Endpoint == "" || l.Reason == "" {
		t.Errorf("attempt: %+v", l)
	}
	w.platform.Faults.Set(fault.Settings{Fail: true})
	w.eventually("the loss of the platform is logged", func() bool { return w.hasLogged(decisions.EventDependencyLost) })
	w.platform.Faults.Set(fault.Settings{})
	w.eventually("its return is logged", func() bool { return w.hasLogged(decisions.EventDependencyRegained) })
	w.daemons[0].stop()
	<-w.daemons[0].exited
	for _, p := range w.daemons {
		for _, l := range p.lines() {
			if l.Level != "debug" && !strings.Contains(string(page), "`"+l.Message+"`") {
				t.Errorf("docs/OPERATIONS.md does not describe the event %q", l.Message)
			}
		}
	}
}

// hasLogged reports whether any daemon has logged an event.
func (w *testbed) hasLogged(event string) bool {
	for _, p := range w.daemons {
		for _, l := range p.lines() {
			if l.Message == event {
				return true
			}
		}
	}
	return false
}
