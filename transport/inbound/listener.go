package inbound

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"github.com/doorvalve/doorvalve/coordination/intake"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/protocol"
)

// Options configure a Listener.
type Options struct {
	// Limits are those in force until SetLimits is called.
	Limits intake.Limits
	// Notice is how long callers may go by earlier limits after a change.
	Notice time.Duration
	// SendBuffer is the size of the kernel's send buffer of a connection, in bytes; zero: the kernel's choice.
	SendBuffer int
	// Log gets panics of handlers, and answers whose end could not be written; nil: they are not logged.
	Log *decisions.Log
	// OnOwn is called with the status of each answer that net/http gives itself, to what is no request; nil: nothing is.
	OnOwn func(status int)
	// OnEndLost is called when the last bytes of an answer could not be written after its handler; nil: nothing is.
	OnEndLost func()
	// OnRefused is called with each refusal of a request whose head is beyond the limits; nil: nothing is.
	OnRefused func(*protocol.Refusal)
}

// Listener accepts the connections of callers. It is safe for concurrent use.
type Listener struct {
	net.Listener
	opt Options

	mu     sync.Mutex
	limits intake.Limits
	// earlier are the limits in force before; agreed: SetLimits was called.
	earlier intake.Earlier
	agreed  bool
	open    map[*Conn]struct{}
	// stopping: Shutdown has begun. closed is closed once no connection is open after that.
	stopping bool
	closed   chan struct{}
}

// Listen returns a listener that follows the connections which l accepts. l accepts TCP connections.
func Listen(l net.Listener, opt Options) *Listener {
	if opt.OnRefused == nil {
		opt.OnRefused = func(*protocol.Refusal) {}
	}
	if opt.OnOwn == nil {
		opt.OnOwn = func(int) {}
	}
	if opt.OnEndLost == nil {
		opt.OnEndLost = func() {}
	}
	return &Listener{Listener: l, opt: opt, limits: opt.Limits, open: map[*Conn]struct{}{}, closed: make(chan struct{})}
}

// maxHeadBytes bounds the head of a request whatever the limits are.
const maxHeadBytes = 1 << 20

// headBegins makes net/http set a read deadline when it has the first bytes of a head (Conn.SetReadDeadline). Its length has no
// effect.
const headBegins = time.Hour

// Configure makes a server keep to the listener's limits in place of its own, and pass each request to its handler. It
// must be called before the server serves.
func (l *Listener) Configure(srv *http.Server) {
	srv.Handler = l.follow(srv.Handler)
	srv.MaxHeaderBytes, srv.ReadHeaderTimeout, srv.ReadTimeout, srv.IdleTimeout = maxHeadBytes, headBegins, 0, 0
	srv.DisableGeneralOptionsHandler = true // net/http would answer OPTIONS * itself, with 200
	srv.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if conn, ok := c.(*Conn); ok {
			return conn.context(ctx)
		}
		return ctx
	}
	srv.ConnState = func(c net.Conn, state http.ConnState) {
		if conn, ok := c.(*Conn); ok {
			conn.setState(state)
		}
	}
}

// follow tells each connection when a handler serves its request. It logs panics of the handler as errors, also those after the
// request has its outcome, and aborts the connection. net/http's own line about them has the level of callers' faults.
func (l *Listener) follow(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := Of(r)
		c.setServing(handlerServes)
		defer func() {
			c.setServing(handlerEnded)
			cause := recover()
			if cause == nil {
				return
			}
			if err, ok := cause.(error); l.opt.Log != nil && !(ok && errors.Is(err, http.ErrAbortHandler)) {
				l.opt.Log.Error(decisions.EventPanicked, "method", r.Method, "host", r.Host, "path", r.URL.Path, "connection", EndOf(r), "panic", cause, "stack", string(debug.Stack()))
			}
			panic(http.ErrAbortHandler)
		}()
		h.ServeHTTP(w, r)
	})
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		if l.isStopping() {
			return nil, http.ErrServerClosed
		}
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	if l.opt.SendBuffer > 0 {
		_ = tcp.SetWriteBuffer(l.opt.SendBuffer) // fails on closed connections only
	}
	conn := &Conn{TCPConn: tcp, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	conn.intake.BeginIdle(time.Now(), l.limits, l.earlier)
	if l.stopping {
		conn.intake.Stop(time.Now())
	}
	l.open[conn] = struct{}{}
	return conn, nil
}

func (l *Listener) forget(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
	l.signalClosed()
}

// signalClosed closes l.closed if the listener stops and no connection is open. The caller holds l.mu.
func (l *Listener) signalClosed() {
	if !l.stopping || len(l.open) > 0 {
		return
	}
	select {
	case <-l.closed:
	default:
		close(l.closed)
	}
}

// Shutdown accepts no more connections, and waits until those that are open have ended: idle ones end now, the others after
// their requests. net/http's own shutdown drops a request whose head ends after its begin. Shutdown returns the error of ctx
// if that ends before.
func (l *Listener) Shutdown(ctx context.Context) error {
	l.mu.Lock()
	l.stopping = true
	open := slices.Collect(maps.Keys(l.open))
	l.mu.Unlock()
	_ = l.Listener.Close() // fails on closed listeners only
	for _, c := range open {
		c.stop()
	}
	l.mu.Lock()
	l.signalClosed()
	l.mu.Unlock()
	select {
	case <-l.closed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *Listener) isStopping() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stopping
}

// beginIdle begins the time of a connection before its next request. The caller holds c.mu.
func (l *Listener) beginIdle(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.intake.BeginIdle(time.Now(), l.limits, l.earlier)
}

// SetLimits brings limits into force, also for open connections.
func (l *Listener) SetLimits(limits intake.Limits) {
	l.mu.Lock()
	if limits == l.limits {
		l.mu.Unlock()
		return
	}
	if l.agreed { // no caller goes by the limits before the first ones
		l.earlier = l.earlier.Replace(time.Now(), l.limits, l.opt.Notice)
	}
	l.limits, l.agreed = limits, true
	earlier := l.earlier
	open := slices.Collect(maps.Keys(l.open))
	l.mu.Unlock()
	for _, c := range open {
		c.changeLimits(limits, earlier, l.opt.Notice)
	}
}
