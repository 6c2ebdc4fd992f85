package peers

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/doorvalve/doorvalve/protocol/peerpb"
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
