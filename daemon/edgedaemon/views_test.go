package edgedaemon

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/state/fleet"
	"github.com/doorvalve/doorvalve/state/routing"
	"github.com/doorvalve/doorvalve/state/storeversion"
)

// Guards against an older view that replaces a newer one: a goroutine reads the empty view, is
// delayed, and uses it after another goroutine has applied the first endpoints.
func TestOlderViewDoesNotReplaceNewer(t *testing.T) {
	empty, full := fleet.NewView(storeversion.Version{Revision: 1}, nil), fleet.NewView(storeversion.Version{Revision: 2}, []*fleet.Endpoint{{ID: "a"}})
	var newest, used atomic.Pointer[fleet.View]
	newest.Store(empty)
	read := func() (*routing.Table, *fleet.View) { return nil, newest.Load() }
	var a viewApplier
	second := make(chan struct{})
	a.apply(read, func(_ *routing.Table, v *fleet.View) {
		newest.Store(full)
		go func() {
			defer close(second)
			a.apply(read, func(_ *routing.Table, v *fleet.View) { used.Store(v) })
		}()
		select { // the second one ends during this delay only if the calls are not serialized
		case <-second:
		case <-time.After(20 * time.Millisecond):
		}
		used.Store(v)
	})
	<-second
	if used.Load() != full {
		t.Fatal("the older view is in use")
	}
}
