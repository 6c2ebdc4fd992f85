// Package bounded bounds what is read of the answers to HTTP requests, and for how long, and checks their heads: whoever
// answers may send bytes that are no answer, without end.
package bounded

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"sync"
	"time"
)

const (
	// MaxHeadBytes bounds the head of an answer, informational answers before it included. It is that of requests.
	MaxHeadBytes = 32 << 10
	// HeadTimeout bounds the time from the first byte of a head to its end: a head is sent at once.
	HeadTimeout = time.Second
	// maxInformational bounds the informational answers before an answer.
	maxInformational = 8
)

// Errors of answers without an end.
var (
	ErrHeadTooLarge = fmt.Errorf("the head of the answer is larger than %d bytes", MaxHeadBytes)
	ErrHeadTooSlow  = fmt.Errorf("the head of the answer has begun and is not complete after %v", HeadTimeout)
	ErrBodyTooLarge = errors.New("the body of the answer is larger than its limit")
)

// Head sets the bound of heads in a transport, and returns it.
func Head(t *http.Transport) *http.Transport {
	t.MaxResponseHeaderBytes = MaxHeadBytes
	return t
}

// RoundTrip sends a request over a transport whose heads are bounded by Head, bounds the time of the head and checks it.
// Its own errors are ErrHeadTooLarge, ErrHeadTooSlow and ErrInvalidHead.
func RoundTrip(t http.RoundTripper, req *http.Request) (*http.Response, error) {
	h := &head{}
	resp, err := t.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: h.setConn, GotFirstResponseByte: h.begin, Got1xxResponse: h.informational,
	})))
	slow := h.end()
	switch {
	case err == nil:
		if err = CheckHead(resp); err != nil {
			_ = resp.Body.Close()
			h.closeConn() // what it brings next may belong to this answer
			return nil, err
		}
		return resp, nil
	case slow:
		return nil, ErrHeadTooSlow
	case errors.Is(err, errManyInformational), strings.Contains(err.Error(), "response headers exceeded"): // net/http has no error value for it
		return nil, ErrHeadTooLarge
	}
	return nil, err
}

var errManyInformational = errors.New("too many informational answers")

// head is the head of an answer that is awaited.
type head struct {
	mu             sync.Mutex
	conn           net.Conn
	informationals int
	ended, slow    bool
}

func (h *head) setConn(info httptrace.GotConnInfo) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.conn = info.Conn
}

// begin begins the time of the head. It may come after the end of a request that was cancelled.
func (h *head) begin() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.ended {
		incomplete.add(h)
	}
}

// informational ends the time of the head: an endpoint may work on the request for long after an informational answer.
func (h *head) informational(_ int, fields textproto.MIMEHeader) error {
	incomplete.remove(h)
	if err := checkFieldNames(fields); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.informationals++; h.informationals > maxInformational {
		return errManyInformational
	}
	return nil
}

// end ends the time of the head, and reports whether it was too slow.
func (h *head) end() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended = true
	incomplete.remove(h)
	return h.slow
}

// giveUp closes the connection of a head that is too slow.
func (h *head) giveUp() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.slow = true
	_ = h.conn.Close()
}

// closeConn closes the connection of a head that was received.
func (h *head) closeConn() {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.conn.Close()
}

// heads are those that have begun and are not complete. One timer looks at all of them: a timer for each would cost more
// than the rest of the watch.
type heads struct {
	mu    sync.Mutex
	since map[*head]time.Time
	armed bool
}

var incomplete = heads{since: map[*head]time.Time{}}

// lookInterval is the time between two looks at the heads.
const lookInterval = HeadTimeout / 4

func (l *heads) add(h *head) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.since[h] = time.Now()
	if !l.armed {
		l.armed = true
		time.AfterFunc(lookInterval, l.look)
	}
}

func (l *heads) remove(h *head) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.since, h)
}

func (l *heads) look() {
	for _, h := range l.takeSlow() {
		h.giveUp()
	}
}

// takeSlow removes and returns the heads that are too slow, and sets the timer if there are others.
func (l *heads) takeSlow() (slow []*head) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for h, began := range l.since {
		if time.Since(began) >= HeadTimeout {
			slow = append(slow, h)
			delete(l.since, h)
		}
	}
	if l.armed = len(l.since) > 0; l.armed {
		time.AfterFunc(lookInterval, l.look)
	}
	return slow
}

// Transport is a round tripper whose answers are bounded: their heads, if t was passed to Head, and their bodies.
type Transport struct {
	http.RoundTripper
	MaxBody int64 // bytes
}

// RoundTrip implements http.RoundTripper. Reading a body beyond MaxBody fails with ErrBodyTooLarge.
func (t Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := RoundTrip(t.RoundTripper, req)
	if err == nil {
		resp.Body = &limited{resp.Body, t.MaxBody}
	}
	return resp, err
}

// limited is a body that fails beyond a limit.
type limited struct {
	io.ReadCloser
	left int64
}

// Read implements io.Reader.
func (l *limited) Read(p []byte) (int, error) {
	if l.left < 0 {
		return 0, ErrBodyTooLarge
	}
	n, err := l.ReadCloser.Read(p[:min(int64(len(p)), l.left+1)])
	if l.left -= int64(n); l.left < 0 {
		return 0, ErrBodyTooLarge
	}
	return n, err
}
