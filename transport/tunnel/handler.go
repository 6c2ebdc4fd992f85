package tunnel

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/doorvalve/doorvalve/coordination/reach"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/internal/dial"
)

const (
	// copyBytes is the size of the buffer of each direction of a connection.
	copyBytes = 4 << 10
	// maxHeaderValue bounds the values of the headers of a request, in bytes.
	maxHeaderValue = 256
)

// Options configure a Handler.
type Options struct {
	// Listed reports whether an endpoint is listed at an address. Connections to others are refused.
	Listed func(address string) bool
	// Dial opens connections over the daemon's own path.
	Dial dial.Func
	// Examine tries the daemon's own path to an address.
	Examine func(ctx context.Context, address string) reach.Observation
	// Limit bounds the relayed connections.
	Limit int64
	// Closed reports whether the daemon takes no more requests because it is stopping. It then relays
	// no new connections.
	Closed  func() bool
	Log     *decisions.Log
	Metrics tally.Scope
}

// Handler relays connections for other daemons. It is safe for concurrent use.
type Handler struct {
	opt                    Options
	active                 atomic.Int64
	opened, refused, bytes tally.Counter
	open                   tally.Gauge
	buffers                sync.Pool
}

// NewHandler returns a handler.
func NewHandler(opt Options) *Handler {
	m := opt.Metrics.SubScope("relay")
	return &Handler{
		opt: opt, opened: m.Counter("connections_relayed_total"), refused: m.Counter("connections_refused_total"), bytes: m.Counter("bytes_relayed_total"),
		open: m.Gauge("connections_relayed"), buffers: sync.Pool{New: func() any { return new([frameBytes]byte) }},
	}
}

// Active returns the number of relayed connections.
func (h *Handler) Active() int { return int(h.active.Load()) }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	address, tunnel, from := r.Header.Get(headerAddress), r.Header.Get(headerTunnel), r.Header.Get(headerFrom)
	switch {
	case r.Header.Get("Upgrade") != protocolName || address == "" || max(len(address), len(tunnel), len(from)) > maxHeaderValue:
		h.refuse(w, resultInvalid, http.StatusBadRequest)
	case !h.opt.Listed(address):
		h.refuse(w, resultUnknown, http.StatusNotFound)
	case r.Header.Get(headerExamine) != "":
		h.answerExamine(w, h.opt.Examine(r.Context(), address))
	default:
		h.relayTo(w, r, address, tunnel, from)
	}
}

// relayTo opens a connection to an endpoint and relays it until it ends.
func (h *Handler) relayTo(w http.ResponseWriter, r *http.Request, address, tunnel, from string) {
	active := h.active.Add(1)
	defer func() { h.open.Update(float64(h.active.Add(-1))) }()
	h.open.Update(float64(active))
	if h.opt.Closed() || active > h.opt.Limit {
		h.refuse(w, resultBusy, http.StatusServiceUnavailable)
		return
	}
	endpoint, err := h.opt.Dial(r.Context(), "tcp", address)
	if err != nil {
		h.opt.Log.InfoSampled(decisions.EventRelayRefused, "tunnel", tunnel, "from", from, "address", address, "error", err)
		h.refuse(w, resultUnreached, http.StatusBadGateway)
		return
	}
	frames := r.Header.Get(headerFrames) != ""
	caller, err := hijack(w, frames)
	if err != nil {
		_ = endpoint.Close()
		h.opt.Log.Warn(decisions.EventRelayRefused, "tunnel", tunnel, "from", from, "address", address, "error", err)
		return
	}
	h.opened.Inc(1)
	started := time.Now()
	sent, received := h.relay(caller, endpoint, frames)
	h.bytes.Inc(sent + received)
	h.opt.Log.InfoSampled(decisions.EventRelayed, "tunnel", tunnel, "from", from, "address", address, "bytes_sent", sent, "bytes_received", received, "ms", time.Since(started).Milliseconds())
}

func (h *Handler) answerExamine(w http.ResponseWriter, o reach.Observation) {
	result := resultUnreached
	if o.Reached {
		result = resultOpened
	}
	w.Header().Set(headerResult, result)
	if o.Refused {
		w.Header().Set(headerRefusedMs, strconv.FormatInt(o.Age.Milliseconds(), 10))
	}
	w.WriteHeader(http.StatusOK)
}

func (h *Handler) refuse(w http.ResponseWriter, result string, status int) {
	h.refused.Inc(1)
	w.Header().Set(headerResult, result)
	w.WriteHeader(status)
}

// hijack takes over the connection of a request, and answers that it is relayed from now on, in frames or
// without.
func hijack(w http.ResponseWriter, frames bool) (net.Conn, error) {
	c, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, err
	}
	_ = c.SetDeadline(time.Time{})
	if rw.Reader.Buffered() > 0 {
		_ = c.Close()
		return nil, errors.New("bytes before the answer")
	}
	answer := "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + protocolName + "\r\n" + headerResult + ": " + resultOpened + "\r\n"
	if frames {
		answer += headerFrames + ": 1\r\n"
	}
	if _, err = io.WriteString(c, answer+"\r\n"); err != nil {
		_ = c.Close()
		return nil, err
	}
	return c, nil
}

// relay copies the bytes of both directions until one end closes the connection, and returns their
// numbers. The end of the caller's side closes the endpoint's at once, so that work for a caller that
// has left ends there.
func (h *Handler) relay(caller, endpoint net.Conn, frames bool) (sent, received int64) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		sent, _ = h.copy(endpoint, caller, false)
		_ = endpoint.Close()
	}()
	received, err := h.copy(caller, endpoint, frames)
	passEnd(caller, err, frames)
	_ = caller.Close()
	_ = endpoint.Close()
	<-done
	return sent, received
}

// passEnd tells the caller how the endpoint's side has ended; err is nil if the endpoint has closed it.
func passEnd(caller net.Conn, err error, frames bool) {
	switch {
	case frames && err == nil:
		writeEnd(caller, lengthClosed)
	case frames:
		writeEnd(caller, lengthReset)
	case err != nil:
		reset(caller) // an answer that ends with its connection must not look complete
	}
}

// writeEnd writes a frame that stands for an end. A caller that has left needs none.
func writeEnd(caller net.Conn, length int) {
	var frame [lengthBytes]byte
	putLength(frame[:], length)
	_, _ = caller.Write(frame[:])
}

// copy copies bytes until the source ends, in frames or without. It holds at most copyBytes. n counts
// the bytes of the source.
func (h *Handler) copy(to, from net.Conn, frames bool) (n int64, err error) {
	buf := h.buffers.Get().(*[frameBytes]byte)
	defer h.buffers.Put(buf)
	for {
		read, err := from.Read(buf[lengthBytes:])
		if read > 0 {
			piece := buf[lengthBytes : lengthBytes+read]
			if frames {
				piece = buf[:lengthBytes+read]
				putLength(piece, read)
			}
			if _, writeErr := to.Write(piece); writeErr != nil {
				return n, writeErr
			}
			n += int64(read)
		}
		switch {
		case errors.Is(err, io.EOF):
			return n, nil
		case err != nil:
			return n, err
		}
	}
}

// reset makes the next close of a connection reset it.
func reset(c net.Conn) {
	if tcp, ok := c.(interface{ SetLinger(sec int) error }); ok {
		_ = tcp.SetLinger(0)
	}
}

// Wait waits until no connection is relayed, or ctx ends.
func (h *Handler) Wait(ctx context.Context) {
	ticker := time.NewTicker(waitInterval)
	defer ticker.Stop()
	for h.active.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// waitInterval is the interval of checking whether connections are still relayed.
const waitInterval = 50 * time.Millisecond
