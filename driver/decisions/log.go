// Package decisions writes a daemon's decision log: one JSON line for each
// decision that affects a request or changes the daemon's local state. Writing
// never blocks: if the reader stops, lines are dropped and counted.
package decisions

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Events of the log. docs/OPERATIONS.md explains each.
const (
	EventStart                = "daemon started"
	EventStop                 = "daemon stopping"
	EventStopped              = "daemon stopped"
	EventReload               = "settings reloaded"
	EventDependencyLost       = "dependency lost"
	EventDependencyRegained   = "dependency regained"
	EventDesiredState         = "desired state in force"
	EventDesiredRejected      = "desired state rejected"
	EventEndpoints            = "endpoints changed"
	EventEndpointRejected     = "endpoint entry rejected"
	EventStoreConcurrency     = "store places learned"
	EventEndpointRestarted    = "endpoint started again"
	EventStoreRole            = "role towards the store changed"
	EventLateAnswer           = "answer came late"
	EventUpstreamDropped      = "upstream left"
	EventStaleDiscarded       = "answer set aside as older"
	EventGenerationChanged    = "store generation changed"
	EventEndpointsRestored    = "endpoints taken anew after a restore"
	EventGenerationUnreadable = "store generation cannot be read"
	EventMissingEndpointKept  = "missing endpoint kept"
	EventLease                = "lease changed"
	EventOrder                = "order sent"
	EventAnswered             = "request answered"
	EventRefused              = "request refused"
	EventFailed               = "request failed"
	EventUnaccounted          = "request without an outcome"
	EventEndNotWritten        = "end of an answer not written"
	EventPanicked             = "request handler panicked"
	EventAttemptFailed        = "attempt failed"
	EventStreamLost           = "silent stream lost"
	EventNotResumed           = "request not resumed"
	EventStreamsCopied        = "records of streams copied"
	EventSoftwareRecord       = "record of software seen"
	EventStoredOrigins        = "stored origins of streams"
	EventOriginFound          = "origin of a stream found"
	EventRequestWaiting       = "request waits for a model"
	EventEndpointAvoided      = "endpoint avoided"
	EventRetriesEmpty         = "retry budget of a service empty"
	EventRetriesAvailable     = "retry budget of a service available again"
	EventDaemonsRecord        = "record of the number of daemons"
	EventEndpointCrashed      = "endpoint ended under requests"
	EventCrashNotConfirmed    = "end of an endpoint not confirmed"
	EventUnframedEnd          = "answer without a length ended"
	EventRequestQuarantined   = "request held back"
	EventQuarantineLifted     = "request held back no more"
	EventQuarantineProbe      = "trial of a request held back"
	EventQuarantineRecord     = "record of requests held back"
	EventOverQuota            = "workspace over its quota"
	EventWorkspaces           = "workspaces in force"
	EventUnknownHeader        = "unknown answer header"
	EventEndpointLimit        = "limit of an endpoint changed"
	EventEndpointLeaving      = "endpoint leaves, by its own word"
	EventEndpointPaused       = "endpoint asks for a pause"
	EventEndpointResumed      = "endpoint takes requests again"
	EventRejectionLimit       = "rejection limit of an endpoint changed"
	EventEndpointRejects      = "endpoint has no room"
	EventPauseUnreadable      = "pause of an endpoint cannot be read"
	EventPathLost             = "path to endpoints lost"
	EventPathRegained         = "path to endpoints regained"
	EventRelayed              = "connection relayed"
	EventRelayRefused         = "connection not relayed"
	EventSentRelayed          = "request sent through another daemon"
	EventFactUnreadable       = "fact cannot be read"
	EventLimitsRecord         = "record of endpoints' limits"
	EventGenerationRecord     = "record of the store's generation"
	EventLimitUnreadable      = "limit of an endpoint cannot be read"
)

// Events of daemons that take their configuration from bundles.
const (
	EventPhase          = "shutdown phase changed"
	EventBundlePending  = "bundle not fetched yet"
	EventProposed       = "bundle proposed"
	EventSignedOff      = "bundle signed off"
	EventRollout        = "rollout accepted"
	EventEndpointDrain  = "endpoint drain changed"
	EventStopRequested  = "shutdown asked for"
	EventStateDump      = "state dump"
	EventStateRewritten = "state written again after a restore"
)

const (
	// maxQueuedLines bounds the lines that wait to be written: one second of
	// the busiest daemon's output.
	maxQueuedLines = 2048
	// maxSampledPerSecond bounds the lines about successes; further ones are
	// counted and left out, so that there is always room for failures.
	maxSampledPerSecond = 200
)

// Log is safe for concurrent use.
type Log struct {
	hclog.Logger
	*shared
}

// shared is the state that a log shares with all logs derived from it.
type shared struct {
	sink    *sink
	second  atomic.Int64
	sampled atomic.Int64
	skipped atomic.Int64
}

// New returns a log that writes to w from a goroutine of its own.
func New(w io.Writer, name string, level hclog.Level) *Log {
	s := &sink{lines: make(chan []byte, maxQueuedLines), closing: make(chan struct{}), done: make(chan struct{})}
	go s.run(w)
	return &Log{shared: &shared{sink: s}, Logger: hclog.New(&hclog.LoggerOptions{Name: name, Level: level, JSONFormat: true, Output: s, TimeFormat: "2006-01-02T15:04:05.000Z07:00"})}
}

// With returns a log that adds fields to each line.
func (l *Log) With(args ...any) *Log { return &Log{shared: l.shared, Logger: l.Logger.With(args...)} }

// Component returns a log whose lines name a component of the daemon.
func (l *Log) Component(name string) *Log { return &Log{shared: l.shared, Logger: l.Named(name)} }

// ChangeLevel changes the level of this log and of all logs derived from the same one. It logs the event which changes it
// by the lower of the two levels.
func (l *Log) ChangeLevel(level hclog.Level, event string, args ...any) {
	l.SetLevel(min(l.GetLevel(), level))
	l.Info(event, args...)
	l.SetLevel(level)
}

// InfoSampled logs a success, unless maxSampledPerSecond successes have been
// logged in the current second.
func (l *Log) InfoSampled(event string, args ...any) {
	now := time.Now().Unix()
	if l.second.Swap(now) != now {
		l.sampled.Store(0)
	}
	if l.sampled.Add(1) > maxSampledPerSecond {
		l.skipped.Add(1)
		return
	}
	l.Info(event, args...)
}

// Dropped returns the number of lines lost, because the queue was full or a
// write failed (counted once a write), and the number of successes left out.
func (l *Log) Dropped() (lost, skipped int64) { return l.sink.lost.Load(), l.skipped.Load() }

// Close writes the lines that still wait, for closeTimeout at most.
func (l *Log) Close() {
	close(l.sink.closing)
	close(l.sink.lines)
	select {
	case <-l.sink.done:
	case <-time.After(closeTimeout):
	}
}

// closeTimeout bounds the writing of the last lines.
const closeTimeout = 200 * time.Millisecond

// sink passes lines to a goroutine that writes them.
type sink struct {
	lines   chan []byte
	closing chan struct{} // closed when lines are to be written without further delay
	done    chan struct{}
	lost    atomic.Int64
}

// Write implements io.Writer; it never blocks and never fails.
func (s *sink) Write(line []byte) (int, error) {
	defer func() { _ = recover() }() // a line written after Close is lost
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.lost.Add(1)
	}
	return len(line), nil
}

// maxBatch is the number of bytes at which a batch takes no further line.
const maxBatch = 16 << 10

// batchPause is the time for which lines gather, so that one call writes several.
const batchPause = 100 * time.Millisecond

func (s *sink) run(w io.Writer) {
	defer close(s.done)
	var batch []byte
	for line := range s.lines {
		batch = append(batch[:0], line...)
		s.pause()
		batch = s.gather(batch)
		if _, err := w.Write(batch); err != nil {
			s.lost.Add(1)
		}
	}
}

// pause waits for batchPause, or until the log is closed.
func (s *sink) pause() {
	t := time.NewTimer(batchPause)
	defer t.Stop()
	select {
	case <-s.closing:
	case <-t.C:
	}
}

// gather adds the waiting lines to a batch, up to maxBatch bytes.
func (s *sink) gather(batch []byte) []byte {
	for len(batch) < maxBatch {
		select {
		case line, ok := <-s.lines:
			if !ok {
				return batch
			}
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}
