package edge

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/doorvalve/doorvalve/coordination/balance"
	"github.com/doorvalve/doorvalve/coordination/quarantine"
	"github.com/doorvalve/doorvalve/driver/largeanswers"
	"github.com/doorvalve/doorvalve/driver/quarantiner"
	"github.com/doorvalve/doorvalve/internal/clock"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/fleet"
	"github.com/doorvalve/doorvalve/transport/bodies"
	"github.com/doorvalve/doorvalve/transport/inbound"
)

// answer writes an endpoint's answer to the caller and records its progress.
type answer struct {
	caller       *caller
	server       *Server
	q            *request
	headerSent   bool // the header was sent to the caller
	status       int
	endpoint     fleet.Incarnation // the last one that answered
	software     string            // its software
	address      string            // its address
	sentAt       time.Time         // when the request was last sent to an endpoint
	ticket       balance.Ticket    // of the last attempt
	viewAge      time.Duration     // age of the view from which that endpoint was chosen
	lastEventID  string            // id of the last forwarded event; empty before the first
	conn         *inbound.Conn     // nil unless the answer is in chunks if its length is not known
	firstEventAt time.Time         // when the first event was forwarded; zero before it
	lastEventAt  time.Time         // when events were last forwarded
	longestGap   time.Duration     // the longest pause between two writes of events
	attemptBegan time.Time         // when the first events of the last attempt were forwarded
	proven       bool              // the quarantine knows that the last attempt goes on
	onTaken      func()            // called when an endpoint has begun to answer
}

// timeToFirstEvent returns the time from the request's arrival to the first event; zero if none was
// forwarded.
func (a *answer) timeToFirstEvent() time.Duration {
	if a.firstEventAt.IsZero() {
		return 0
	}
	return a.firstEventAt.Sub(a.q.arrived)
}

// forwardWhole forwards an answer that is not a stream, once it has been read completely. mayRetry
// reports whether the request may be retried at another endpoint: a server error is then a failure
// of the attempt, and is not forwarded. An answer for which this daemon has no memory is forwarded
// while it is read.
func (a *answer) forwardWhole(ctx context.Context, resp *http.Response, w *silenceWatch, mayRetry bool) *failure {
	if bodies.AnnouncesMore(resp, maxAnswerBytes) {
		return &failure{verdict: protocol.MayHaveRun, reason: protocol.ReasonAnswerTooLarge, err: errTooLarge}
	}
	content := &wholeAnswer{caller: a.caller, turn: a.turn(a.q.route.Repeatable())}
	defer content.release()
	err := content.read(ctx, resp.Body)
	unread := errors.Is(err, errMemoryFull)
	switch {
	case errors.Is(err, largeanswers.ErrWithoutEnd):
		return &failure{verdict: protocol.MayHaveRun, reason: protocol.ReasonWithoutEnd, err: err}
	case err != nil && !unread:
		return &failure{verdict: protocol.MayHaveRun, reason: reasonAnswerCut, err: err, connBroken: true}
	case content.size > maxAnswerBytes:
		return a.withoutEnd(protocol.ReasonAnswerTooLarge, errTooLarge)
	}
	if !unread {
		if f := a.checkUnframedEnd(ctx, resp, reasonAnswerCut); f != nil {
			return f
		}
	}
	if !w.beginAnswer() {
		return &failure{verdict: protocol.MayHaveRun, reason: "no-answer-in-time", err: errSilent}
	}
	if resp.StatusCode >= http.StatusInternalServerError && mayRetry {
		return &failure{verdict: protocol.MayHaveRun, reason: "endpoint-error"}
	}
	if a.headerSent {
		// The caller has a part of a stream: a whole answer can't continue it.
		return &failure{verdict: protocol.MayHaveRun, reason: "not-a-stream", err: errors.New(resp.Status)}
	}
	if f := a.begin(resp); f != nil {
		return f
	}
	if !unread && resp.StatusCode != http.StatusNoContent && resp.StatusCode != http.StatusNotModified {
		a.caller.w.Header().Set("Content-Length", strconv.Itoa(content.size))
	}
	a.caller.w.WriteHeader(resp.StatusCode)
	if f := content.write(); f != nil || !unread {
		return f
	}
	return a.forwardRest(ctx, resp, content)
}

// turn returns a function that waits for the turn of a large answer of the endpoint; mayLeave says that the request can
// be given up.
func (a *answer) turn(mayLeave bool) func(context.Context) (end func(whole bool), err error) {
	return func(ctx context.Context) (func(bool), error) {
		return a.server.largeAnswers.Begin(ctx, a.address, mayLeave)
	}
}

var errTooLarge = fmt.Errorf("the answer is larger than %d bytes", maxAnswerBytes)

// withoutEnd returns the failure of an answer that is larger than its bound, and tells those of its endpoint that
// wait for their turn.
func (a *answer) withoutEnd(reason string, err error) *failure {
	a.server.largeAnswers.NoteWithoutEnd(a.address)
	return &failure{verdict: protocol.MayHaveRun, reason: reason, err: err}
}

// forwardRest forwards the rest of an answer piece by piece, after what was read of it. It
// reads from the endpoint only as fast as the caller does.
func (a *answer) forwardRest(ctx context.Context, resp *http.Response, content *wholeAnswer) *failure {
	content.turn = a.turn(false) // the caller has a part of it
	piece := make([]byte, pieceBytes)
	for {
		err := content.awaitTurn(ctx)
		n := 0
		if err == nil {
			n, err = resp.Body.Read(piece)
		}
		if content.size += n; content.size > maxAnswerBytes {
			return a.withoutEnd(protocol.ReasonAnswerTooLarge, errTooLarge)
		}
		if f := a.caller.write(piece[:n]); f != nil {
			return f
		}
		switch {
		case errors.Is(err, io.EOF):
			content.whole = true
			return a.checkUnframedEnd(ctx, resp, reasonAnswerCut)
		case err != nil:
			return &failure{verdict: protocol.MayHaveRun, reason: reasonAnswerCut, err: err, connBroken: true}
		}
	}
}

// begin begins the answer to the caller with the header of the endpoint's, unless the request has been given up.
func (a *answer) begin(resp *http.Response) *failure {
	if !a.q.work.Begin() {
		return &failure{verdict: protocol.MayHaveRun, reason: reasonSendingClosed, err: inbound.ErrSendingClosed, final: true}
	}
	a.headerSent, a.status = true, resp.StatusCode
	a.caller.ensureTime()
	h := a.caller.w.Header()
	for name, values := range a.server.opt.Dialect.Inbound(resp.Header) {
		h[name] = values
	}
	a.server.announceEnd(h)
	return nil
}

// Reasons of the failure of an answer that has ended early.
const (
	reasonStreamCut = "stream-cut"
	reasonAnswerCut = "answer-cut"
)

// eventEnd separates the events of a stream.
var eventEnd = []byte("\n\n")

// maxEventBytes bounds the buffered part of an incomplete event.
const maxEventBytes = 1 << 20

var errEventTooLarge = fmt.Errorf("an event of the stream is larger than %d bytes", maxEventBytes)

// uncountedBytes is the capacity for events from which the buffer of a stream counts as held bytes.
// Nearly all streams stay below it.
const uncountedBytes = 4 * bufferBytes

// forwardStream forwards complete events as they arrive, unless the watch has abandoned the attempt
// before the first. An incomplete event is never forwarded, so that another endpoint can
// continue the stream after the last complete event.
func (a *answer) forwardStream(ctx context.Context, resp *http.Response, w *silenceWatch) *failure {
	var pending []byte // the received part of an incomplete event
	held := int64(0)   // the part of its capacity that counts as held bytes
	defer func() { a.caller.release(held) }()
	var endTurn func(whole bool) // nil unless the incomplete event is large
	defer func() {
		if endTurn != nil {
			endTurn(false)
		}
	}()
	buf := make([]byte, bufferBytes)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			a.server.opt.Balancer.Heard(clock.Now(), a.endpoint)
		}
		pending = append(pending, buf[:n]...)
		if more := int64(cap(pending)) - max(held, uncountedBytes); more > 0 {
			if !a.caller.holdAnswer(more) {
				return &failure{verdict: protocol.MayHaveRun, reason: reasonMemoryFull, err: errMemoryFull, final: true}
			}
			held += more
		}
		if end := completeEvents(pending, n); end > 0 {
			w.observeArrival()
			if a.ticket.Awaiting() {
				a.server.opt.Balancer.FirstEvent(clock.Now(), &a.ticket, time.Since(a.sentAt))
			}
			if !w.beginAnswer() {
				return &failure{verdict: protocol.MayHaveRun, reason: "no-answer-in-time", err: errSilent}
			}
			if f := a.recordOrigin(ctx); f != nil {
				return f
			}
			if f := a.writeEvents(resp, pending[:end]); f != nil {
				return f
			}
			a.observeProgress()
			w.observeEvents(a.lastEventID != "")
			pending = append(pending[:0], pending[end:]...)
			if endTurn != nil {
				endTurn(true)
				endTurn = nil
			}
		}
		if err == nil && endTurn == nil && len(pending) > largeanswers.Threshold {
			endTurn, err = a.turn(true)(ctx) // sound events are small
		}
		switch {
		case errors.Is(err, largeanswers.ErrWithoutEnd):
			return &failure{verdict: protocol.MayHaveRun, reason: protocol.ReasonWithoutEnd, err: err}
		case errors.Is(err, io.EOF) && len(bytes.TrimSpace(pending)) == 0:
			if f := a.checkUnframedEnd(ctx, resp, reasonStreamCut); f != nil {
				return f
			}
			return a.finishStream(resp)
		case errors.Is(err, io.EOF):
			return &failure{verdict: protocol.MayHaveRun, reason: reasonStreamCut, err: io.ErrUnexpectedEOF, connBroken: true}
		case err != nil:
			return &failure{verdict: protocol.MayHaveRun, reason: reasonStreamCut, err: err, connBroken: true}
		case len(pending) > maxEventBytes:
			return a.withoutEnd(protocol.ReasonEventTooLarge, errEventTooLarge)
		}
		if !a.firstEventAt.IsZero() && n < len(buf) { // a full buffer means that more is ready
			time.Sleep(a.server.opt.FlushEvery) // further events collect in the connection's buffer
		}
	}
}

// completeEvents returns the length of the complete events in a buffer whose last added bytes are new, and which had no
// complete event before. It looks at those only: an event without an end would otherwise be searched again
// with each read.
func completeEvents(pending []byte, added int) int {
	from := max(0, len(pending)-added+1-len(eventEnd))
	end := bytes.LastIndex(pending[from:], eventEnd)
	if end < 0 {
		return 0
	}
	return from + end + len(eventEnd)
}

// finishStream completes a stream that the endpoint has ended. It sends the header if there were no
// events.
func (a *answer) finishStream(resp *http.Response) *failure {
	if a.headerSent {
		return nil
	}
	return a.beginStream(resp)
}

// beginStream sends the header of a stream.
func (a *answer) beginStream(resp *http.Response) *failure {
	if f := a.begin(resp); f != nil {
		return f
	}
	a.caller.w.Header().Del("Content-Length")
	a.caller.w.WriteHeader(resp.StatusCode)
	return nil
}

// probeCaller has the caller probed once it has closed its sending side, if the answer is in chunks: a stream with long gaps would keep
// its endpoint at work until the second event after its caller has left.
func (a *answer) probeCaller() {
	if conn := a.conn; conn != nil {
		a.q.work.SetProbe(func() error { return a.caller.probe(conn) })
	}
}

// writeEvents forwards complete events.
func (a *answer) writeEvents(resp *http.Response, content []byte) *failure {
	if !a.headerSent {
		if a.q.timeLeft() <= 0 { // as after a suspension of this process: the stream would break off at once
			return &failure{verdict: protocol.MayHaveRun, reason: reasonOutOfTime, final: true}
		}
		if f := a.beginStream(resp); f != nil {
			return f
		}
	}
	first := a.firstEventAt.IsZero()
	a.recordEventTimes(time.Now())
	if f := a.caller.write(content); f != nil {
		return f
	}
	if first { // the head and a whole chunk were written
		a.probeCaller()
	}
	if id := lastEventID(content); id != "" {
		a.lastEventID = id
	}
	return nil
}

// observeProgress tells the quarantine once that the endpoint goes on writing events of this attempt.
func (a *answer) observeProgress() {
	if a.attemptBegan.Before(a.sentAt) {
		a.attemptBegan, a.proven = a.lastEventAt, false
	}
	if !a.proven && a.lastEventAt.Sub(a.attemptBegan) >= quarantiner.ProvenAfter {
		a.proven = true
		a.server.opt.Quarantine.ObserveProgress(a.q.subject(), quarantine.SoftwareOf(a.software))
	}
}

// recordEventTimes records that events were forwarded at the given time.
func (a *answer) recordEventTimes(now time.Time) {
	if a.firstEventAt.IsZero() {
		a.firstEventAt = now
		a.server.metrics.firstEvent.RecordDuration(a.timeToFirstEvent())
		a.server.countFirstEvent(a.q, a.endpoint, now.Sub(a.sentAt))
	} else {
		a.longestGap = max(a.longestGap, now.Sub(a.lastEventAt))
	}
	a.lastEventAt = now
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
