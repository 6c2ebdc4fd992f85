package edge

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/fleet"
)

// answer writes an endpoint's answer to the caller and records its progress.
type answer struct {
	w        http.ResponseWriter
	server   *Server
	q        *request
	begun    bool // the header was sent to the caller
	status   int
	endpoint fleet.Incarnation // the last one that answered
	sent     time.Time         // when the request was last sent to an endpoint
	viewAge  time.Duration     // age of the view from which that endpoint was chosen
	lastID   string            // id of the last forwarded event; empty before the first
	first    time.Time         // when the first event was forwarded; zero before it
	last     time.Time         // when events were last forwarded
	gap      time.Duration     // the longest pause between two writes of events
}

// firstAfter returns the time from the request's arrival to the first event; zero if none was
// forwarded.
func (a *answer) firstAfter() time.Duration {
	if a.first.IsZero() {
		return 0
	}
	return a.first.Sub(a.q.arrived)
}

// whole forwards an answer that is not a stream, once it has been read completely. again reports
// whether the request may be retried at another endpoint: a server error is then a failure of the
// attempt, and is not forwarded.
func (a *answer) whole(resp *http.Response, w *silenceWatch, again bool) *failure {
	content, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return &failure{verdict: protocol.MayHaveRun, reason: "answer-cut", err: err, broken: true}
	}
	if !w.begin() {
		return &failure{verdict: protocol.MayHaveRun, reason: "no-answer-in-time", err: errSilent}
	}
	if len(content) > maxAnswerBytes {
		return &failure{verdict: protocol.MayHaveRun, reason: "answer-too-large"}
	}
	if resp.StatusCode >= http.StatusInternalServerError && again {
		return &failure{verdict: protocol.MayHaveRun, reason: "endpoint-error"}
	}
	if a.begun {
		// The caller has a part of a stream: a whole answer can't continue it.
		return &failure{verdict: protocol.MayHaveRun, reason: "not-a-stream", err: errors.New(resp.Status)}
	}
	a.header(resp)
	if resp.StatusCode != http.StatusNoContent && resp.StatusCode != http.StatusNotModified {
		a.w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	}
	a.w.WriteHeader(resp.StatusCode)
	_, _ = a.w.Write(content) // a disconnected caller shows in the request's context
	return nil
}

// header copies the header of the endpoint's answer to the caller's.
func (a *answer) header(resp *http.Response) {
	a.begun, a.status = true, resp.StatusCode
	h := a.w.Header()
	for name, values := range a.server.opt.Dialect.Inbound(resp.Header) {
		h[name] = values
	}
}

// eventEnd separates the events of a stream.
var eventEnd = []byte("\n\n")

// maxEventBytes bounds the buffered part of an incomplete event.
const maxEventBytes = 1 << 20

// stream forwards complete events as they arrive, unless the watch has abandoned the attempt
// before the first. An incomplete event is never forwarded, so that another endpoint can
// continue the stream after the last complete event.
func (a *answer) stream(resp *http.Response, w *silenceWatch) *failure {
	var pending []byte // the received part of an incomplete event
	buf := make([]byte, bufferBytes)
	for {
		n, err := resp.Body.Read(buf)
		pending = append(pending, buf[:n]...)
		if end := bytes.LastIndex(pending, eventEnd); end >= 0 {
			end += len(eventEnd)
			if !w.begin() {
				return &failure{verdict: protocol.MayHaveRun, reason: "no-answer-in-time", err: errSilent}
			}
			if f := a.events(resp, pending[:end]); f != nil {
				return f
			}
			w.heard(a.lastID != "")
			pending = append(pending[:0], pending[end:]...)
		}
		switch {
		case errors.Is(err, io.EOF) && len(bytes.TrimSpace(pending)) == 0:
			return a.finish(resp)
		case errors.Is(err, io.EOF):
			return &failure{verdict: protocol.MayHaveRun, reason: "stream-cut", err: io.ErrUnexpectedEOF, broken: true}
		case err != nil:
			return &failure{verdict: protocol.MayHaveRun, reason: "stream-cut", err: err, broken: true}
		case len(pending) > maxEventBytes:
			return &failure{verdict: protocol.MayHaveRun, reason: "event-too-large"}
		}
		if !a.first.IsZero() {
			time.Sleep(a.server.opt.FlushEvery) // further events collect in the connection's buffer
		}
	}
}

// finish completes a stream that the endpoint has ended. It sends the header if there were no
// events.
func (a *answer) finish(resp *http.Response) *failure {
	if !a.begun {
		a.header(resp)
		a.w.Header().Del("Content-Length")
		a.w.WriteHeader(resp.StatusCode)
	}
	return nil
}

// events forwards complete events.
func (a *answer) events(resp *http.Response, content []byte) *failure {
	if !a.begun {
		a.header(resp)
		a.w.Header().Del("Content-Length")
		a.w.WriteHeader(resp.StatusCode)
	}
	a.timeEvents(time.Now())
	if _, err := a.w.Write(content); err != nil {
		return &failure{verdict: protocol.MayHaveRun, reason: "caller-gone", err: err}
	}
	if f, ok := a.w.(http.Flusher); ok {
		f.Flush()
	}
	if id := lastEventID(content); id != "" {
		a.lastID = id
	}
	return nil
}

// timeEvents records that events were forwarded at the given time.
func (a *answer) timeEvents(now time.Time) {
	if a.first.IsZero() {
		a.first = now
		a.server.metrics.firstEvent.RecordDuration(a.firstAfter())
		a.server.countFirst(a.q, a.endpoint, now.Sub(a.sent))
	} else {
		a.gap = max(a.gap, now.Sub(a.last))
	}
	a.last = now
}

var idField = []byte("id:")

// lastEventID returns the id of the last event in content that has an id; empty if none has.
func lastEventID(content []byte) string {
	for len(content) > 0 {
		start := bytes.LastIndexByte(content[:len(content)-1], '\n') + 1
		line := bytes.TrimRight(content[start:], "\r\n")
		if bytes.HasPrefix(line, idField) {
			return string(bytes.TrimSpace(line[len(idField):]))
		}
		content = content[:start]
	}
	return ""
}
