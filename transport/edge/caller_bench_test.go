package edge

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
)

// writeBenchmark writes small events over loopback: through the ledger and deadlines of a caller, or
// directly.
func writeBenchmark(b *testing.B, through bool) {
	s := New(Options{HeldBytes: 1 << 20, Metrics: tally.NoopScope})
	done := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		defer close(done)
		c := s.held.open(w)
		defer c.end()
		c.setTimes(time.Second, time.Now().Add(time.Hour))
		event := make([]byte, 200)
		b.ReportAllocs()
		b.ResetTimer()
		for range b.N {
			if through {
				_ = c.write(event)
			} else {
				_, _ = w.Write(event)
				w.(http.Flusher).Flush()
			}
		}
		b.StopTimer()
	}))
	defer srv.Close()
	resp, err := http.Get(srv.URL)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	<-done
}

func BenchmarkDirectWrite(b *testing.B) { writeBenchmark(b, false) }

func BenchmarkCallerWrite(b *testing.B) { writeBenchmark(b, true) }
