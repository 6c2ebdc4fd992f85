package engine

import (
	"errors"
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/internal/bounded"
	"github.com/doorvalve/doorvalve/internal/dial"
	"github.com/doorvalve/doorvalve/standin/rawanswer"
	"github.com/doorvalve/doorvalve/state/bundle"
)

// Guards against a state of an engine that is believed although the head of its answer breaks HTTP.
func TestAnswersWithInvalidHeadsAreNotBelieved(t *testing.T) {
	s := rawanswer.Serve("HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}")
	defer s.Close()
	if _, err := New(time.Second, dial.Direct(dial.TCP)).State(t.Context(), bundle.Endpoint{Address: s.Address()}); !errors.Is(err, bounded.ErrInvalidHead) {
		t.Errorf("error %v", err)
	}
}
