package decisions

import "sync"

// onceNames bounds the names that a Once remembers; beyond it none counts as new.
const onceNames = 64

// Once tells which names are new, for lines that are written once for each. It is safe for
// concurrent use.
type Once struct {
	mu    sync.Mutex
	names map[string]bool
}

// First reports whether a name is asked for for the first time.
func (o *Once) First(name string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.names[name] || len(o.names) >= onceNames {
		return false
	}
	if o.names == nil {
		o.names = map[string]bool{}
	}
	o.names[name] = true
	return true
}
