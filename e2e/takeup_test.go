package e2e_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/standin/engine"
)

// Guards against callers of the own interface that take a stream up after a restart of all daemons and get events of another
// version. Callers cannot name an attempt there; headers that do so elsewhere, or that daemons send to engines, must
// change nothing.
func TestCallersCannotTakeUpStreams(t *testing.T) {
	w := newTestbed(t, defaults())
	if _, _, r := w.daemons[0].stream("m0", "warm", 2); !r.ok() {
		t.Fatalf("warm-up: %d %v", r.status, r.refusal)
	}
	for _, e := range w.engines {
		e.CutStreamsAfter(7)
		e.SetSoftware("v1")
	}
	body := `{"model":"m0","prompt":"prompt","max_tokens":12,"stream":true}`
	first := w.daemons[0].call("POST", "/v1/completions", body)
	for _, d := range w.daemons {
		d.kill()
	}
	for _, e := range w.engines {
		e.CutStreamsAfter(0)
		e.SetSoftware("v2")
	}
	for _, d := range w.daemons {
		d.start()
	}
	w.eventually("the daemons serve", func() bool {
		_, _, r := w.daemons[1].stream("m0", fmt.Sprint("warm", time.Now()), 2)
		return r.ok()
	})
	headers := []string{
		"Last-Event-Id", "5", "Resumes", first.header.Get(protocol.HeaderRequestID), protocol.HeaderRequestID, first.header.Get(protocol.HeaderRequestID),
		protocol.HeaderResumeOffset, "5", protocol.HeaderExpectSoftware, "v1", protocol.HeaderAttemptID, "a",
	}
	text, whole, r := w.daemons[1].streamWith("m0", "prompt", 12, headers...)
	if !r.ok() || !whole || text != engine.Answer("prompt", 12) {
		t.Errorf("the stream does not begin anew: %d, whole: %v, %q, %v", r.status, whole, text, r.refusal)
	}
}
