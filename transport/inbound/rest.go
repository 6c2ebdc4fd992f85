package inbound

import (
	"io"
	"net/http"
	"time"
)

const (
	// arrivalTime is how long a refusal waits for a body that is on its way, so that the connection can be kept.
	arrivalTime = 20 * time.Millisecond
	// arrivalBytes bounds the body of which that holds.
	arrivalBytes = 256 << 10
)

// Rest is what a request that is refused leaves unread of its body. net/http would hold the refusal until it has read a
// part of the body, without a deadline. A connection that is closed with unread bytes is reset, and a caller that sends
// its whole request before it reads would then lose the refusal.
type Rest struct {
	w       http.ResponseWriter
	control *http.ResponseController
	body    io.Reader
	expects bool  // the caller may wait for "100 Continue", which reading the body sends
	conn    *Conn // nil if the server does not follow connections
	pending bool  // the refusal was written before the body had arrived
}

// RestOf returns the rest of a request's body. It must be called before r.Body is replaced.
func RestOf(w http.ResponseWriter, r *http.Request) *Rest {
	return &Rest{w: w, control: http.NewResponseController(w), conn: Of(r), body: r.Body, expects: r.Header.Get("Expect") != ""}
}

// Whole records that the body was read to its end.
func (x *Rest) Whole() { x.body = nil }

// BeforeRefusal must be called before a refusal is written. Unless the body has arrived, or arrives at once, it has the
// connection closed after the answer.
func (x *Rest) BeforeRefusal() {
	if x.body == nil || x.body == http.NoBody || !x.expects && x.arrives() {
		return
	}
	x.pending = true
	x.w.Header().Set("Connection", "close")
}

// arrives reports whether the body ends within arrivalTime and arrivalBytes.
func (x *Rest) arrives() bool {
	x.setDeadline(time.Now().Add(arrivalTime))
	defer x.setDeadline(time.Time{})
	n, err := io.CopyN(io.Discard, x.body, arrivalBytes+1)
	return n <= arrivalBytes && err == io.EOF
}

// Discard closes the connection in writing and discards what arrives until the caller has closed it, too, or the given time
// is over. It must be called after the refusal was flushed. It does nothing if the body had arrived.
func (x *Rest) Discard(d time.Duration) {
	switch {
	case !x.pending:
	case x.conn != nil:
		x.conn.discard(d) // a body whose reading has failed, as at a deadline, cannot be read on
	default:
		x.setDeadline(time.Now().Add(d))
		_, _ = io.CopyN(io.Discard, x.body, discardBytes) // errors don't matter, as the bytes are discarded
	}
}

func (x *Rest) setDeadline(t time.Time) {
	_ = x.control.SetReadDeadline(t) // not all writers support deadlines
}
