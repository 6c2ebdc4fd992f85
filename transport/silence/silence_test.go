package silence

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"
)

type connKey struct{}

// silentServer stops answering on the connections up to silent; newer ones work.
type silentServer struct {
	*httptest.Server
	mu      sync.Mutex
	opened  int
	silent  int // the number of the last connection without answers
	holding chan struct{}
	end     chan struct{}
}

func newSilentServer(t *testing.T) *silentServer {
	s := &silentServer{holding: make(chan struct{}), end: make(chan struct{})}
	s.Server = httptest.NewUnstartedServer(http.HandlerFunc(s.serve))
	s.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.opened++
		return context.WithValue(ctx, connKey{}, s.opened)
	}
	s.Start()
	t.Cleanup(func() { close(s.end); s.Close() })
	return s
}

func (s *silentServer) serve(_ http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	dead := r.Context().Value(connKey{}).(int) <= s.silent
	s.mu.Unlock()
	if dead {
		<-s.end
	}
	if r.URL.Path == "/hold" {
		<-s.holding
	}
}

func (s *silentServer) get(c *http.Client, path string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.URL+path, nil)
	if err != nil {
		return err
	}
	resp, err := c.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// After a single timeout, the next request goes out on a new connection, however many silent
// connections were idle. Otherwise each of them would cost another timeout.
func TestOneTimeoutIsEnough(t *testing.T) {
	s := newSilentServer(t)
	c := &http.Client{Transport: Transport{&http.Transport{MaxIdleConnsPerHost: 8}}}
	const timeout = 20 * time.Second
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			if err := s.get(c, "/hold", timeout); err != nil {
				t.Error(err)
			}
		})
	}
	for opened := 0; opened < 4; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		opened = s.opened
		s.mu.Unlock()
	}
	close(s.holding)
	wg.Wait()
	s.mu.Lock()
	s.silent = s.opened
	s.mu.Unlock()
	if s.get(c, "/", 50*time.Millisecond) == nil {
		t.Fatal("a request on a silent connection was answered")
	}
	if err := s.get(c, "/", timeout); err != nil {
		t.Fatalf("the next request waited on another silent connection: %v", err)
	}
}

// slowServer starts its answers when begin is closed, and completes them when end is closed.
func slowServer(t *testing.T, begin, end <-chan struct{}) *httptest.Server {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		<-begin
		_, _ = w.Write([]byte("begun "))
		w.(http.Flusher).Flush()
		<-end
		_, _ = w.Write([]byte("ended"))
	}))
	t.Cleanup(s.Close)
	return s
}

// An answer that has begun in time is not cut off when the time for its beginning is over.
func TestTransferHasATimeOfItsOwn(t *testing.T) {
	begin, end := make(chan struct{}), make(chan struct{})
	close(begin)
	s := slowServer(t, begin, end)
	const beginTimeout, transferTimeout = 500 * time.Millisecond, time.Minute
	ctx, limit := Limit(context.Background(), beginTimeout)
	defer limit.End()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.URL, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(limit.Explain(err))
	}
	defer func() { _ = resp.Body.Close() }()
	limit.Extend(transferTimeout)
	time.AfterFunc(2*beginTimeout, func() { close(end) })
	content, err := io.ReadAll(resp.Body)
	if err != nil || string(content) != "begun ended" {
		t.Fatalf("%q, %v", content, limit.Explain(err))
	}
}

// A request whose answer does not begin in time fails with context.DeadlineExceeded.
func TestAnswerMustBegin(t *testing.T) {
	begin := make(chan struct{})
	s := slowServer(t, begin, begin)
	defer close(begin)
	ctx, limit := Limit(context.Background(), 20*time.Millisecond)
	defer limit.End()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.URL, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err == nil {
		_ = resp.Body.Close()
		t.Fatal("got an answer, want a timeout")
	}
	if err := limit.Explain(err); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("got error %v, want context.DeadlineExceeded", err)
	}
}
