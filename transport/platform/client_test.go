package platform

import (
	"errors"
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/internal/bounded"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/standin/rawanswer"
)

// Guards against answers of the store that are believed although their heads break HTTP: the outcome of a write is then unknown.
func TestAnswersWithInvalidHeadsAreNotBelieved(t *testing.T) {
	s := rawanswer.Serve("HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}")
	defer s.Close()
	c := New(Options{URL: s.URL, Timeout: time.Second})
	if _, _, err := c.List(t.Context(), KindConfig); !errors.Is(err, bounded.ErrInvalidHead) {
		t.Errorf("list: error %v", err)
	}
	if _, outcome := c.Put(t.Context(), KindConfig, "main", c.IfAbsent(), struct{}{}); outcome != protocol.WriteUnknown {
		t.Errorf("write: outcome %v", outcome)
	}
}
