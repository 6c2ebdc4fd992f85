package edge

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/doorvalve/doorvalve/coordination/buffering"
	"github.com/doorvalve/doorvalve/coordination/hangup"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/transport/inbound"
)

// Why a caller that reads too slowly was closed.
const (
	closedUnread   = "unread"   // it has read nothing for the time of its route
	closedMemory   = "memory"   // it was the slowest reader while the daemon's limit on bytes was reached
	closedDeadline = "deadline" // it had not read all when the time of its request was over
)

// reasonSendingClosed is the reason of a refusal because the caller has closed its sending side and its answer has not
// begun soon after (coordination/hangup).
const reasonSendingClosed = "sending-side-closed"

// reasonStopping is the reason of a refusal because the daemon stops.
const reasonStopping = "stopping"

// reasonSlowCaller is the reason in the log of a request whose caller was closed because it read too
// slowly, reasonCallerGone that of one whose caller has closed the connection, and reasonMemoryFull that
// of a refusal for lack of memory.
const (
	reasonCallerGone = "caller-gone"
	reasonSlowCaller = "caller-too-slow"
	reasonMemoryFull = "memory-full"
)

var (
	errSlowCaller = errors.New("the caller reads too slowly")
	errMemoryFull = errors.New("this daemon holds as many bytes for callers as it may")
)

// pieceBytes is the size of the pieces in which content is read and written whose size counts
// against the limit. Each piece has the time of its route to be read, so that a caller that reads
// slowly but steadily is not closed.
const pieceBytes = 32 << 10

// heldBytes is the ledger of the bytes that a server holds, with the callers that hold them. It is
// safe for concurrent use.
type heldBytes struct {
	mu      sync.Mutex
	ledger  *buffering.Ledger
	callers map[*buffering.Holder]*caller
}

func newHeldBytes(limit int64) *heldBytes {
	return &heldBytes{ledger: buffering.New(limit), callers: map[*buffering.Holder]*caller{}}
}

// decide runs a decision of the ledger, and closes the caller that it names.
func (h *heldBytes) decide(decision func(*buffering.Ledger) buffering.Decision) buffering.Decision {
	h.mu.Lock()
	defer h.mu.Unlock()
	d := decision(h.ledger)
	if c := h.callers[d.Evict]; c != nil {
		_ = c.conn.SetWriteDeadline(time.Unix(1, 0)) // ends the blocked write; not all writers support deadlines
	}
	return d
}

func (h *heldBytes) held() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ledger.Held()
}

// caller is the connection to a request's caller.
type caller struct {
	w      http.ResponseWriter
	conn   *http.ResponseController
	all    *heldBytes
	holder buffering.Holder
	unread time.Duration // how long the caller may leave an answer unread
	latest time.Time     // when the answer must have been written
	// deadline is the connection's write deadline. It is renewed only when writeShare of unread is
	// not left of it, since a change takes a microsecond or two and a stream has many writes.
	deadline time.Time
	// writing is held while a piece or a probe is written. probes are those since the last piece; ended: the answer is complete.
	writing sync.Mutex
	probes  int
	ended   bool
	closed  string // why the caller was closed as a slow reader; empty if it was not
}

// writeShare is the least share of the time for which an answer may remain unread that a write has.
const writeShare = 2.0 / 3

// open returns the caller of a request. end must be called when the request has ended; it may be
// called twice.
func (h *heldBytes) open(w http.ResponseWriter) *caller {
	c := &caller{w: w, conn: http.NewResponseController(w), all: h}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.callers[&c.holder] = c
	return c
}

// end releases all bytes of the request. It restores the deadline for the rest of the answer, such as
// the end of a stream that comes long after its last event.
func (c *caller) end() {
	c.writing.Lock()
	c.ended = true
	c.writing.Unlock()
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	if c.deadline != c.latest && !c.holder.Evicted() {
		c.setDeadline(c.latest)
	}
	delete(c.all.callers, &c.holder)
	c.all.ledger.End(time.Now(), &c.holder)
}

// setTimes sets how long the caller may leave an answer unread, and when the answer must have been
// written.
func (c *caller) setTimes(unread time.Duration, latest time.Time) {
	c.unread, c.latest = unread, latest
	c.setDeadline(latest)
}

// ensureTime gives an answer that begins now the time to be written, though its request's time may be over, as after a
// suspension of this process: an answer that is ready is delivered.
func (c *caller) ensureTime() {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	if least := time.Now().Add(writeSlack); c.latest.Before(least) && !c.holder.Evicted() {
		c.latest = least
		c.setDeadline(least)
	}
}

func (c *caller) setDeadline(t time.Time) {
	c.deadline = t
	_ = c.conn.SetWriteDeadline(t) // not all writers support deadlines
}

// holdBody counts n more bytes of the request's body. size is the size of the body as far as known.
func (c *caller) holdBody(n, size int64) buffering.Decision {
	return c.all.decide(func(l *buffering.Ledger) buffering.Decision { return l.HoldBody(time.Now(), &c.holder, n, size) })
}

// holdAnswer counts n more bytes of the answer, and reports whether they may be held.
func (c *caller) holdAnswer(n int64) bool {
	return c.all.decide(func(l *buffering.Ledger) buffering.Decision { return l.HoldAnswer(time.Now(), &c.holder, n) }).Admitted
}

// release counts n bytes of the answer as released.
func (c *caller) release(n int64) {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	c.all.ledger.Release(&c.holder, n)
}

// write writes content to the caller at once. It blocks while the caller does not read, and closes
// the caller when that lasts too long.
func (c *caller) write(content []byte) *failure {
	for len(content) > 0 {
		n := min(len(content), pieceBytes)
		if err := c.writePiece(content[:n]); err != nil {
			return c.writeFailure(err)
		}
		content = content[n:]
	}
	return nil
}

func (c *caller) writePiece(content []byte) error {
	if !c.beginWrite() {
		return errSlowCaller
	}
	defer c.endWrite()
	c.writing.Lock()
	defer c.writing.Unlock()
	c.probes = 0
	if _, err := c.w.Write(content); err != nil {
		return err
	}
	if err := c.conn.Flush(); !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	return nil
}

// probe writes a byte that makes the connection of a caller that is gone fail. A write in progress shows as much.
func (c *caller) probe(conn *inbound.Conn) error {
	if !c.writing.TryLock() {
		return nil
	}
	defer c.writing.Unlock()
	if c.ended || c.probes >= hangup.MaxProbes {
		return nil
	}
	c.probes++
	if err := conn.ProbeChunk(); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	return nil
}

// beginWrite sets the time that the caller has to read the next piece. It reports false if the
// caller was closed.
func (c *caller) beginWrite() bool {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	now := time.Now()
	if !c.all.ledger.WriteBegan(now, &c.holder) {
		return false
	}
	if left := c.deadline.Sub(now); left > c.unread || float64(left) < writeShare*float64(c.unread) {
		deadline := now.Add(c.unread)
		if c.latest.Before(deadline) {
			deadline = c.latest
		}
		c.setDeadline(deadline)
	}
	return true
}

func (c *caller) endWrite() {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	c.all.ledger.WriteEnded(&c.holder)
}

// writeFailure returns the failure of a write to the caller. The endpoint has no part in it, and
// another one could not help.
func (c *caller) writeFailure(err error) *failure {
	reason := reasonCallerGone
	switch {
	case c.isEvicted():
		c.closed = closedMemory
	case errors.Is(err, os.ErrDeadlineExceeded) && c.deadline.Equal(c.latest):
		c.closed = closedDeadline
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.closed = closedUnread
	}
	if c.closed != "" {
		reason = reasonSlowCaller
	}
	return &failure{verdict: protocol.MayHaveRun, reason: reason, err: err, final: true}
}

func (c *caller) isEvicted() bool {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	return c.holder.Evicted()
}

// meteredReader reads content that is held in memory, in pieces. hold counts each piece; the reader
// returns errMemoryFull with the first piece that hold refuses.
type meteredReader struct {
	io.Reader
	hold func(n int64) bool
}

func (r *meteredReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p[:min(len(p), pieceBytes)])
	if n > 0 && !r.hold(int64(n)) {
		return n, errMemoryFull
	}
	return n, err
}
