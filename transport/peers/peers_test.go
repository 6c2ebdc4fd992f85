package peers

import (
	"context"
	"errors"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/doorvalve/doorvalve/internal/bounded"
	"github.com/doorvalve/doorvalve/protocol/peerpb"
	"github.com/doorvalve/doorvalve/standin/rawanswer"
)

type server struct{ peerpb.Peer }

func (server) Probe(context.Context, *peerpb.ProbeRequest) (*peerpb.ProbeResponse, error) {
	return &peerpb.ProbeResponse{Alive: true}, nil
}

// Calls without the daemons' shared token are refused.
func TestGuard(t *testing.T) {
	s := httptest.NewServer(Guard("a long shared secret", peerpb.NewPeerServer(server{})))
	defer s.Close()
	address := strings.TrimPrefix(s.URL, "http://")
	for token, ok := range map[string]bool{"a long shared secret": true, "another shared secret": false, "": false} {
		_, err := NewClient(token).To(address).Probe(context.Background(), &peerpb.ProbeRequest{})
		if (err == nil) != ok {
			t.Errorf("token %q: %v", token, err)
		}
	}
}

// Calls to one daemon share a client, and the clients of daemons that have left are dropped at some
// point.
func TestOneClientForEachAddress(t *testing.T) {
	built := 0
	c := newClients(func(base string) string {
		built++
		return base
	})
	for range 3 {
		if got := c.To("127.0.0.1:1"); got != "http://127.0.0.1:1" {
			t.Fatalf("got the client for %q", got)
		}
	}
	if built != 1 {
		t.Errorf("built %d clients for three calls to one daemon, want 1", built)
	}
	for i := range 2 * maxClients {
		c.To(strconv.Itoa(i))
	}
	if n := len(c.byAddress); n > maxClients {
		t.Errorf("the cache holds %d clients, want at most %d", n, maxClients)
	}
}

// Guards against an answer of another daemon that is believed although its head breaks HTTP.
func TestAnswersWithInvalidHeadsAreNotBelieved(t *testing.T) {
	s := rawanswer.Serve("HTTP/1.1 000 OK\r\nContent-Type: application/protobuf\r\nContent-Length: 0\r\n\r\n")
	defer s.Close()
	if _, err := NewClient("").To(s.Address()).Probe(t.Context(), &peerpb.ProbeRequest{}); !errors.Is(err, bounded.ErrInvalidHead) {
		t.Errorf("error %v", err)
	}
}
