package tunnel

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/iotest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/doorvalve/doorvalve/coordination/reach"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/internal/dial"
)

// relay is a daemon that relays to one endpoint.
type relay struct {
	handler  *Handler
	address  string // of the relay
	endpoint net.Listener
	frames   atomic.Bool // the requests of callers may ask for frames
	listener *killable
}

// killable is a listener whose connections can be closed as the kernel does when a process ends.
type killable struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

// Accept implements net.Listener.
func (l *killable) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
	return c, err
}

func (r *relay) kill() {
	r.listener.mu.Lock()
	defer r.listener.mu.Unlock()
	for _, c := range r.listener.conns {
		_ = c.(*net.TCPConn).CloseWrite()
	}
}

func newRelay(t testing.TB, change func(*Options)) *relay {
	endpoint, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	opt := Options{
		Listed: func(a string) bool { return a == endpoint.Addr().String() }, Dial: dial.TCP, Limit: 2, Closed: func() bool { return false },
		Log: decisions.New(io.Discard, "test", hclog.Off), Metrics: tally.NoopScope,
	}
	if change != nil {
		change(&opt)
	}
	r := &relay{handler: NewHandler(opt), endpoint: endpoint}
	r.frames.Store(true)
	mux := http.NewServeMux()
	mux.HandleFunc(Path, func(w http.ResponseWriter, req *http.Request) {
		if !r.frames.Load() {
			req.Header.Del(headerFrames)
		}
		r.handler.ServeHTTP(w, req)
	})
	server := httptest.NewUnstartedServer(mux)
	r.listener = &killable{Listener: server.Listener}
	server.Listener = r.listener
	server.Start()
	r.address = server.Listener.Addr().String()
	t.Cleanup(func() { server.Close(); _ = endpoint.Close() })
	return r
}

// open opens a connection through the relay, and returns both of its ends.
func (r *relay) open(t testing.TB) (caller, endpoint net.Conn) {
	accepted := make(chan net.Conn, 1)
	go func() {
		c, err := r.endpoint.Accept()
		if err == nil {
			accepted <- c
		}
	}()
	caller, err := (&Dialer{Open: dial.TCP, Self: "d1"}).Dial(t.Context(), r.address, r.endpoint.Addr().String(), "t1")
	if err != nil {
		t.Fatal(err)
	}
	endpoint = <-accepted
	t.Cleanup(func() { _ = caller.Close(); _ = endpoint.Close() })
	return caller, endpoint
}

func TestBytesPassUnchanged(t *testing.T) {
	r := newRelay(t, nil)
	caller, endpoint := r.open(t)
	content := strings.Repeat("0123456789", 100_000)
	for _, way := range [][2]net.Conn{{caller, endpoint}, {endpoint, caller}} {
		go func() {
			_, _ = io.WriteString(way[0], content)
			if way[0] == endpoint {
				_ = endpoint.Close()
			}
		}()
		got := make([]byte, len(content))
		if _, err := io.ReadFull(way[1], got); err != nil || string(got) != content {
			t.Fatalf("bytes were changed or lost, error %v", err)
		}
	}
	if n, err := caller.Read(make([]byte, 1)); n != 0 || !errors.Is(err, io.EOF) {
		t.Errorf("end of the connection: %d bytes, error %v; want EOF", n, err)
	}
}

// Guards against the end of a relay that is taken for the end of the endpoint's side.
func TestEndOfTheRelayIsNotTheEndpoints(t *testing.T) {
	for name, withFrames := range map[string]bool{"with frames": true, "a relay of a version without frames": false} {
		t.Run(name, func(t *testing.T) {
			r := newRelay(t, nil)
			r.frames.Store(withFrames)
			caller, endpoint := r.open(t)
			_, _ = io.WriteString(endpoint, "part")
			_, _ = io.ReadFull(caller, make([]byte, 4))
			r.kill()
			if n, err := caller.Read(make([]byte, 1)); n != 0 || !errors.Is(err, dial.ErrRelayEnded) {
				t.Errorf("%d bytes, error %v; want that the relay ended", n, err)
			}
		})
	}
}

// Guards against frames for a caller of a version that doesn't ask for them.
func TestCallerWithoutFrames(t *testing.T) {
	r := newRelay(t, nil)
	r.frames.Store(false)
	caller, endpoint := r.open(t)
	go func() {
		_, _ = io.WriteString(endpoint, "whole")
		_ = endpoint.Close()
	}()
	content, err := io.ReadAll(caller.(*unframedConn).Conn)
	if err != nil || string(content) != "whole" {
		t.Errorf("%q, error %v", content, err)
	}
}

// Guards against a reset that a caller of such a version takes for the end of the endpoint's side.
func TestResetReachesACallerWithoutFrames(t *testing.T) {
	r := newRelay(t, nil)
	r.frames.Store(false)
	caller, endpoint := r.open(t)
	_ = endpoint.(*net.TCPConn).SetLinger(0)
	_ = endpoint.Close()
	if _, err := caller.(*unframedConn).Conn.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("error %v, want a reset", err)
	}
}

// Guards against bytes that are lost where reads end within frames.
func TestFramesAreReadInPieces(t *testing.T) {
	r := newRelay(t, nil)
	caller, endpoint := r.open(t)
	content := strings.Repeat("0123456789", 1000)
	go func() {
		for rest := content; rest != ""; {
			n := min(len(rest), 1+len(rest)%997)
			_, _ = io.WriteString(endpoint, rest[:n])
			rest = rest[n:]
		}
		_ = endpoint.Close()
	}()
	if got, err := io.ReadAll(iotest.OneByteReader(caller)); err != nil || string(got) != content {
		t.Errorf("%d of %d bytes, error %v", len(got), len(content), err)
	}
}

// BenchmarkRelay relays events of a stream, and larger pieces.
func BenchmarkRelay(b *testing.B) {
	for _, size := range []int{200, 4 << 10, 64 << 10} {
		b.Run(fmt.Sprint(size, " bytes"), func(b *testing.B) {
			caller, endpoint := newRelay(b, nil).open(b)
			piece, got := make([]byte, size), make([]byte, size)
			b.SetBytes(int64(size))
			for b.Loop() {
				if _, err := endpoint.Write(piece); err != nil {
					b.Fatal(err)
				}
				if _, err := io.ReadFull(caller, got); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// Guards against an answer that a reset has cut and that looks complete after the hop.
func TestResetOfTheEndpointIsNoEnd(t *testing.T) {
	r := newRelay(t, nil)
	caller, endpoint := r.open(t)
	_, _ = io.WriteString(endpoint, "part")
	_, _ = io.ReadFull(caller, make([]byte, 4))
	_ = endpoint.(*net.TCPConn).SetLinger(0)
	_ = endpoint.Close()
	if _, err := caller.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("error %v, want a reset", err)
	}
}

// Guards against endpoints that go on with the work for a caller that has left.
func TestEndOfTheCallerEndsTheConnection(t *testing.T) {
	r := newRelay(t, nil)
	caller, endpoint := r.open(t)
	_ = caller.Close()
	if _, err := endpoint.Read(make([]byte, 1)); err == nil {
		t.Error("the connection to the endpoint is open")
	}
	r.handler.Wait(t.Context())
	if r.handler.Active() != 0 {
		t.Errorf("%d connections are counted", r.handler.Active())
	}
}

func TestRefusals(t *testing.T) {
	refusing := func(context.Context, string, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
	for _, c := range []struct {
		name    string
		change  func(*Options)
		address string // empty: the endpoint's
		result  reach.Result
	}{
		{"not listed", nil, "127.0.0.1:1", reach.NotListed},
		{"no path", func(o *Options) { o.Dial = refusing }, "", reach.Unreached},
		{"stopping", func(o *Options) { o.Closed = func() bool { return true } }, "", reach.Busy},
		{"full", func(o *Options) { o.Limit = 0 }, "", reach.Busy},
		{"oversized", nil, strings.Repeat("a", maxHeaderValue+1), reach.Failed},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRelay(t, c.change)
			if c.address == "" {
				c.address = r.endpoint.Addr().String()
			}
			_, err := (&Dialer{Open: dial.TCP, Self: "d1"}).Dial(t.Context(), r.address, c.address, "t1")
			var failure *Error
			if !errors.As(err, &failure) || failure.Result != c.result {
				t.Errorf("error %v, want result %d", err, c.result)
			}
		})
	}
}

func TestWhatADaemonSeesOfAnEndpoint(t *testing.T) {
	for _, want := range []reach.Observation{{}, {Reached: true}, {Refused: true}, {Refused: true, Age: 1500 * time.Millisecond}} {
		r := newRelay(t, func(o *Options) {
			o.Limit = 0 // of relayed connections
			o.Examine = func(context.Context, string) reach.Observation { return want }
		})
		got, err := (&Dialer{Open: dial.TCP, Self: "d1"}).Examine(t.Context(), r.address, r.endpoint.Addr().String(), "t1")
		if err != nil || got != want {
			t.Errorf("got %+v, error %v; want %+v", got, err, want)
		}
	}
	r := newRelay(t, nil)
	if _, err := (&Dialer{Open: dial.TCP, Self: "d1"}).Examine(t.Context(), r.address, "127.0.0.1:1", "t1"); err == nil {
		t.Error("no error for an endpoint that is not listed")
	}
}

func TestDaemonThatDoesNotRelay(t *testing.T) {
	old := httptest.NewServer(http.NotFoundHandler())
	defer old.Close()
	_, err := (&Dialer{Open: dial.TCP, Self: "d1"}).Dial(t.Context(), old.Listener.Addr().String(), "127.0.0.1:1", "t1")
	var failure *Error
	if !errors.As(err, &failure) || failure.Result != reach.Unsupported {
		t.Errorf("error %v, want that it is not supported", err)
	}
}

func TestDialEndsWithItsContext(t *testing.T) {
	hanging := make(chan struct{})
	r := newRelay(t, func(o *Options) {
		o.Dial = func(context.Context, string, string) (net.Conn, error) { <-hanging; return nil, net.ErrClosed }
	})
	defer close(hanging)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if _, err := (&Dialer{Open: dial.TCP, Self: "d1"}).Dial(ctx, r.address, r.endpoint.Addr().String(), "t1"); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("error %v, want that the time is over", err)
	}
}
