package operators

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	rules "github.com/doorvalve/doorvalve/coordination/rollout"

	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/internal/syncbuf"
	"github.com/doorvalve/doorvalve/settings"
)

// slowRollout answers after a while, unless the context of the call ends before.
type slowRollout struct{ Rollout }

func (slowRollout) Pointer(ctx context.Context) (rules.Pointer, error) {
	select {
	case <-time.After(300 * time.Millisecond):
		return rules.Pointer{}, nil
	case <-ctx.Done():
		return rules.Pointer{}, ctx.Err()
	}
}

func (r slowRollout) SetDrain(ctx context.Context, _ string, _ bool, _ string) error {
	_, err := r.Pointer(ctx)
	return err
}

// Guards against calls of operators that fail because their sending side was closed after the request: the operator reads on.
func TestOperatorsThatCloseTheirSendingSideAreAnswered(t *testing.T) {
	log := decisions.New(&syncbuf.Buffer{}, "doorvalved", hclog.Info)
	defer log.Close()
	sum := sha256.Sum256([]byte("token"))
	s := New(Options{
		Tokens: func() []settings.OperatorToken {
			return []settings.OperatorToken{{Name: "o", TokenSHA256: hex.EncodeToString(sum[:])}}
		},
		Rollout: slowRollout{}, Metrics: http.NotFoundHandler(), Log: log,
	})
	srv := httptest.NewServer(s.Handler())
	defer srv.Close()
	for call, status := range map[string]int{"GET /v1/history": http.StatusOK, "POST /v1/endpoints/e/drain": http.StatusNoContent} {
		conn, err := net.Dial("tcp", srv.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := fmt.Fprintf(conn, "%s HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer token\r\nContent-Length: 0\r\n\r\n", call); err != nil {
			t.Fatal(err)
		}
		if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
			t.Fatal(err)
		}
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Errorf("%s: %v", call, err)
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode != status {
			t.Errorf("%s: %d, want %d", call, resp.StatusCode, status)
		}
		_ = conn.Close()
	}
}
