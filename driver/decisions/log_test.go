package decisions

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/doorvalve/doorvalve/internal/syncbuf"
)

// answered writes the line that is logged for each served request.
func answered(l *Log) {
	l.InfoSampled(EventAnswered, "request", "9c41d07be2a35f68", "route", "r-6z8sdh6", "model", "daka510000", "status", 200,
		"ms", 412, "first_event_ms", 63, "waited_ms", 0, "endpoint", "i-7f3a91c2", "version", 12)
}

// Bounds on the cost of a request's line, which is 40 allocations (43 with the race
// detector) and 274 bytes in the log.
const (
	maxAllocations = 50
	maxLineBytes   = 350
)

func TestLineIsCheap(t *testing.T) {
	l := New(io.Discard, "doorvalved", hclog.Info)
	defer l.Close()
	if n := testing.AllocsPerRun(100, func() { answered(l) }); n > maxAllocations {
		t.Errorf("%.0f allocations a line", n)
	}
	c := &syncbuf.Buffer{}
	one := New(c, "doorvalved", hclog.Info)
	answered(one)
	one.Close()
	if n := len(c.String()); n == 0 || n > maxLineBytes {
		t.Errorf("%d bytes a line", n)
	}
}

// stuck is a writer that blocks until it is released.
type stuck struct{ released chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.released
	return len(p), nil
}

// If the reader stops, lines are dropped and counted, and callers are not blocked.
func TestFullQueueDropsCountedLines(t *testing.T) {
	released := make(chan struct{})
	l := New(stuck{released}, "doorvalved", hclog.Info)
	const lines = 3 * maxQueuedLines
	for range lines {
		l.Info(EventRefused, "request", "x")
	}
	lost, _ := l.Dropped()
	close(released)
	if lost < lines-maxQueuedLines-maxBatch || lost >= lines {
		t.Errorf("%d of %d lines lost", lost, lines)
	}
	l.Close()
}

// Successes beyond the bound are left out and counted, so that failures are still logged.
func TestSuccessesAreSampled(t *testing.T) {
	var b syncbuf.Buffer
	l := New(&b, "doorvalved", hclog.Info)
	second := time.Now().Unix()
	const lines = 5 * maxSampledPerSecond
	for range lines {
		answered(l.With("part", "callers"))
	}
	l.Info(EventRefused, "request", "y")
	seconds := int(time.Now().Unix() - second + 1)
	_, skipped := l.Dropped()
	l.Close()
	if kept := lines - int(skipped); kept > seconds*maxSampledPerSecond {
		t.Errorf("%d successes in %d s", kept, seconds)
	}
	if !strings.Contains(b.String(), EventRefused) {
		t.Error("the refusal was not logged")
	}
}

func BenchmarkLine(b *testing.B) {
	l := New(io.Discard, "doorvalved", hclog.Info)
	defer l.Close()
	b.ReportAllocs()
	for b.Loop() {
		l.Info(EventAnswered, "request", "9c41d07be2a35f68", "route", "r-6z8sdh6", "model", "daka510000", "status", 200,
			"ms", 412, "first_event_ms", 63, "waited_ms", 0, "endpoint", "i-7f3a91c2", "version", 12)
	}
}

func BenchmarkDisabledLine(b *testing.B) {
	l := New(io.Discard, "doorvalved", hclog.Error)
	defer l.Close()
	b.ReportAllocs()
	for b.Loop() {
		answered(l)
	}
}
