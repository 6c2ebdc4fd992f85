package storeview

import (
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/coordination/relay"
	"github.com/doorvalve/doorvalve/state/storeversion"
)

// The age of the view includes the time for which its host was suspended.
func TestAgeCountsSuspension(t *testing.T) {
	suspended := time.Duration(0)
	start := time.Now()
	v := New(Options{PropagationBound: time.Second, Clock: func() time.Time { return start.Add(suspended) }})
	v.mu.Lock()
	v.endpointsFollower.Listed(start, start, storeversion.Version{Revision: 1})
	v.mu.Unlock()
	if age := v.Age(relay.Endpoints); age != 0 {
		t.Fatalf("%v old at once", age)
	}
	suspended = 10 * time.Second
	if age := v.Age(relay.Endpoints); age != suspended {
		t.Fatalf("%v old after %v", age, suspended)
	}
}
