// Package inbound follows the connections of callers: it keeps them to limits that may change, and tells how a caller's
// bytes have ended. net/http has fixed limits, and tells a handler only that the bytes have ended.
package inbound

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/doorvalve/doorvalve/coordination/intake"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/protocol"
)

// End is how the bytes of a caller have ended.
type End int

// The ends of a caller's bytes.
const (
	// NotEnded: the caller may send more.
	NotEnded End = iota
	// SendingClosed: the caller has closed its sending side. It may read on, or have closed the connection: the two
	// look the same until something is written.
	SendingClosed
	// Broken: the connection was reset, or this daemon has closed it.
	Broken
)

// String returns the name used in logs.
func (e End) String() string {
	return [...]string{"not-ended", "sending-side-closed", "broken"}[e]
}

// Conn is the connection of a caller. It is safe for concurrent use.
type Conn struct {
	*net.TCPConn
	listener *Listener

	// refused: Read has refused a request. net/http then answers the end of the bytes with a 400, which nobody gets.
	refused atomic.Bool

	// serving is what a handler does with the present request.
	serving atomic.Int32

	mu     sync.Mutex
	end    End
	intake intake.Connection
	served bool // a request was answered
}

// States of Conn.serving.
const (
	noHandler     = int32(iota) // there is no request yet, or net/http refuses it
	handlerServes               // a handler serves it
	handlerEnded                // net/http writes what is left of the answer
)

func (c *Conn) setServing(state int32) {
	if c != nil {
		c.serving.Store(state)
	}
}

// Write implements net.Conn. It observes what net/http writes without a handler.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	switch state := c.serving.Load(); {
	case state == noHandler && !c.refused.Load() && c.serving.CompareAndSwap(noHandler, handlerServes): // once, however many writes it takes
		c.listener.opt.OnOwn(statusOf(p))
	case state == handlerEnded && err != nil && c.serving.CompareAndSwap(handlerEnded, handlerServes):
		c.listener.opt.OnEndLost()
		if log := c.listener.opt.Log; log != nil {
			log.Info(decisions.EventEndNotWritten, "connection", c.End().String(), "error", err)
		}
	}
	return n, err
}

// ProbeChunk writes a leading zero of the size of the next chunk of an answer, which changes nothing for a caller that reads on. The
// answer must be in chunks, and none may be in progress.
func (c *Conn) ProbeChunk() error {
	_, err := c.TCPConn.Write([]byte("0"))
	return err
}

// statusOf returns the status in the first line of an answer; zero if there is none.
func statusOf(answer []byte) int {
	_, rest, _ := bytes.Cut(answer[:min(len(answer), len("HTTP/1.1 400"))], []byte(" "))
	status, err := strconv.Atoi(string(rest))
	if err != nil {
		return 0
	}
	return status
}

type contextKey struct{}

// Of returns the connection of a request; nil if its server does not follow connections.
func Of(r *http.Request) *Conn {
	c, _ := r.Context().Value(contextKey{}).(*Conn)
	return c
}

// Read implements net.Conn. Outside of requests it keeps the caller to the limits: a head beyond them is answered here,
// and the error is then io.EOF. It records how the caller's bytes end.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		if err := c.beginRead(); err != nil {
			return 0, err
		}
		n, err := c.TCPConn.Read(p)
		if c.observeRead(p[:n], err) {
			return n, err
		}
	}
}

// beginRead refuses what is beyond the limits, and sets the deadline of a read outside of requests.
func (c *Conn) beginRead() error {
	if c.refused.Load() {
		return io.EOF
	}
	verdict, err := c.check()
	switch verdict {
	case intake.Expired:
		return os.ErrDeadlineExceeded // net/http closes the connection without an answer
	case intake.HeadTooSlow:
		return c.refuse(protocol.Refuse(http.StatusRequestTimeout, "head-too-slow", "the head of the request did not arrive in time", 0))
	case intake.HeadTooLarge:
		return c.refuse(RefuseHead())
	}
	return err
}

// check returns the verdict on a connection that has to read on. If it is open and outside of requests, check sets the
// deadline of the read.
func (c *Conn) check() (intake.Verdict, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	verdict := c.intake.Check(time.Now())
	if verdict != intake.Open || !c.intake.ReadsHead() {
		return verdict, nil
	}
	return verdict, c.TCPConn.SetReadDeadline(c.intake.Deadline())
}

// ExceedsHead reports whether the head of a request is larger than its connection's limit. Read refuses what takes more
// than one read; this finds the others. White space that net/http drops does not count.
func ExceedsHead(r *http.Request) bool {
	c := Of(r)
	return c != nil && headBytes(r) > c.headLimit()
}

func (c *Conn) headLimit() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.intake.HeadLimit()
}

// headBytes returns the size of the head of a request.
func headBytes(r *http.Request) int {
	const separators = 4 // of a header line, and of the request line
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + separators + len("\r\n")
	if r.Host != "" {
		n += len("Host") + len(r.Host) + separators
	}
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + separators
		}
	}
	return n
}

// RefuseHead returns the refusal of a request whose head is larger than the limit.
func RefuseHead() *protocol.Refusal {
	return protocol.Refuse(http.StatusRequestHeaderFieldsTooLarge, "head-too-large", "the head of the request is larger than the limit", 0)
}

// observeRead records the outcome of a read, and reports whether it is final: a deadline outside of requests is this
// package's own, which may have been moved.
func (c *Conn) observeRead(content []byte, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	received := content
	if c.intake.IsIdle() {
		received = bytes.TrimLeft(content, "\r\n") // some callers end a body with a line break, which begins no head
	}
	c.intake.Receive(time.Now(), len(received))
	switch {
	case err == nil:
	case errors.Is(err, os.ErrDeadlineExceeded): // net/http interrupts its reads during requests so
		return len(content) > 0 || !c.intake.ReadsHead()
	case errors.Is(err, io.EOF):
		c.setEnd(SendingClosed)
	default:
		c.setEnd(Broken)
	}
	return true
}

// setEnd records the end of the caller's bytes. The caller holds c.mu.
func (c *Conn) setEnd(end End) {
	c.end = max(c.end, end)
}

const (
	// discardBytes bounds how much of a refused request is read and discarded: a connection that is closed with unread
	// bytes is reset, and the refusal might be lost. discardTime bounds it in time for one that was refused in its head.
	discardBytes = 64 << 20
	discardTime  = time.Second
	// refusalTime bounds the writing of a refusal.
	refusalTime = time.Second
)

// refuse writes the last answer on the connection.
func (c *Conn) refuse(r *protocol.Refusal) error {
	c.refused.Store(true)
	c.listener.opt.OnRefused(r)
	_ = c.TCPConn.SetDeadline(time.Now().Add(refusalTime)) // fails on closed connections only
	if err := r.WriteLast(c.TCPConn); err != nil {
		return err
	}
	c.discard(discardTime)
	return io.EOF
}

// SetReadDeadline implements net.Conn. Outside of requests, Read sets the deadlines, and those of net/http tell only when
// it has the first bytes of a head: they may have arrived with the request before, which no later read shows. Before its
// first request, a connection has such a deadline from the start.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.intake.ReadsHead() {
		return c.TCPConn.SetReadDeadline(t)
	}
	if c.served && !t.IsZero() {
		c.intake.BeginHead(time.Now())
	}
	return nil
}

// discard closes the connection in writing, and discards what arrives until the caller has closed it, too, or the given
// time is over.
func (c *Conn) discard(d time.Duration) {
	_ = c.TCPConn.CloseWrite()
	_ = c.TCPConn.SetReadDeadline(time.Now().Add(d))
	_, _ = io.CopyN(io.Discard, c.TCPConn, discardBytes) // errors don't matter, as the bytes are discarded
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.listener.forget(c)
	return c.TCPConn.Close()
}

// setState follows the state that net/http gives the connection.
func (c *Conn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive:
		c.setServing(noHandler)
		c.intake.BeginRequest()
		_ = c.TCPConn.SetReadDeadline(time.Time{}) // fails on closed connections only
	case http.StateIdle:
		c.setServing(noHandler)
		c.served = true
		c.listener.beginIdle(c)
	}
}

// changeLimits brings new limits into force, also for a read in progress.
func (c *Conn) changeLimits(l intake.Limits, e intake.Earlier, notice time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.intake.Change(time.Now(), l, e, notice)
	if c.intake.ReadsHead() {
		_ = c.TCPConn.SetReadDeadline(c.intake.Deadline()) // fails on closed connections only
	}
}

// stop begins the end of the connection; see intake.Connection.Stop.
func (c *Conn) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.intake.Stop(time.Now())
	if c.intake.ReadsHead() {
		_ = c.TCPConn.SetReadDeadline(c.intake.Deadline()) // fails on closed connections only
	}
}

// End returns how the caller's bytes have ended. A reset after SendingClosed shows in writes only.
func (c *Conn) End() End {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.end
}

// context returns the context of the requests on the connection.
func (c *Conn) context(ctx context.Context) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}
