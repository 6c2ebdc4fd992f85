package edgedaemon

import (
	"sync"

	"github.com/doorvalve/doorvalve/state/fleet"
	"github.com/doorvalve/doorvalve/state/routing"
)

// viewApplier applies changes of the desired state and of the endpoints, which arrive on
// different goroutines. The zero value is ready to use.
type viewApplier struct{ mu sync.Mutex }

// apply reads the newest state and passes it to use. Both happen under one lock: otherwise a
// goroutine that has read an older view could pass it on after a newer one, and the older view
// would stay in use until the next change.
func (a *viewApplier) apply(read func() (*routing.Table, *fleet.View), use func(*routing.Table, *fleet.View)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	use(read())
}
