package decisions

import "sync"

// maxOnceNames bounds the names that a Once remembers; after that, no name counts as new.
const maxOnceNames = 64

// Once reports which names are new, for lines that are logged once per name. The zero value is
// ready to use. It is safe for concurrent use.
type Once struct {
	mu    sync.Mutex
	names map[string]bool
}

// First reports whether it is called with a name for the first time, while fewer than
// maxOnceNames names are remembered.
func (o *Once) First(name string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.names[name] || len(o.names) >= maxOnceNames {
		return false
	}
	if o.names == nil {
		o.names = map[string]bool{}
	}
	o.names[name] = true
	return true
}
