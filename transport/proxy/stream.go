package proxy

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/doorvalve/doorvalve/protocol"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// doneMark is the data of the last event of a complete stream.
const doneMark = "[DONE]"

// Sink receives the events of a stream and sends them to the caller.
type Sink interface {
	// WriteEvent writes the data of one event. It is called in order and without gaps.
	WriteEvent(data []byte) error
}

// ErrCallerGone reports that the sink could not write an event.
var ErrCallerGone = errors.New("the caller has gone")

// Progress is the progress of a stream, over all attempts.
type Progress struct {
	Offset int  // offset of the last event forwarded; 0 before the first
	Done   bool // the end mark was forwarded
	// Software is the version of the software that wrote the events; empty if unknown.
	Software string
}

// Stream writes the events of one attempt to the sink. It checks the attempt id and offset of each
// event, so that an event of another request and a duplicate are never forwarded, and a gap is a
// failure. After a failure, another attempt may continue from p.
func (c *Client) Stream(ctx context.Context, address string, r *Request, p *Progress, sink Sink) *Failure {
	r.ResumeFrom, r.ExpectSoftware = p.Offset, p.Software
	resp, f := c.send(ctx, address, r)
	if f != nil {
		return f
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK || !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return &Failure{Verdict: protocol.MayHaveRun, Reason: "not-a-stream", Err: fmt.Errorf("status %d", resp.StatusCode)}
	}
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	software := resp.Header.Get(protocol.HeaderSoftware)
	if p.Offset > 0 && software != p.Software {
		return &Failure{Verdict: protocol.MayHaveRun, Reason: ReasonOtherSoftware, Err: fmt.Errorf("begun by %q, the endpoint runs %q", p.Software, software)}
	}
	p.Software = software
	id, pending := "", 0 // bytes since the last event
	for scanner.Scan() {
		line := scanner.Bytes()
		if pending += len(line) + 1; pending > maxEventBytes {
			return errEventTooLarge(bufio.ErrTooLong)
		}
		switch {
		case bytes.HasPrefix(line, []byte("id: ")):
			id = string(line[len("id: "):])
		case bytes.HasPrefix(line, []byte("data: ")):
			if f := p.handle(r.AttemptID, id, line[len("data: "):], sink); f != nil {
				return f
			}
			if p.Done {
				return nil
			}
			pending = 0
		}
	}
	if err := scanner.Err(); errors.Is(err, bufio.ErrTooLong) {
		return errEventTooLarge(err)
	} else if err != nil {
		return brokenBy("stream-cut", err)
	}
	return &Failure{Verdict: protocol.MayHaveRun, Reason: "stream-cut", Broken: true}
}

func errEventTooLarge(err error) *Failure {
	return &Failure{Verdict: protocol.MayHaveRun, Reason: protocol.ReasonEventTooLarge, Err: err}
}

// handle checks one event and writes it to the sink.
func (p *Progress) handle(attempt, id string, data []byte, sink Sink) *Failure {
	name, offsetText, _ := strings.Cut(id, ":")
	offset, err := strconv.Atoi(offsetText)
	switch {
	case name != attempt || err != nil:
		return &Failure{Verdict: protocol.MayHaveRun, Reason: "crossed-answer"}
	case offset <= p.Offset:
		return nil // duplicate
	case offset != p.Offset+1:
		return &Failure{Verdict: protocol.MayHaveRun, Reason: "stream-gap"}
	}
	if err := sink.WriteEvent(data); err != nil {
		return &Failure{Verdict: protocol.MayHaveRun, Reason: "caller-gone", Err: ErrCallerGone}
	}
	p.Offset = offset
	p.Done = string(data) == doneMark
	return nil
}
