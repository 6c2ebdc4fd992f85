package edgedaemon

import (
	"sync"
	"time"
)

// holderBackoff is how long no request is sent to a coordinator that did not
// answer, so that not every caller's request waits for its time-out.
const holderBackoff = 400 * time.Millisecond

// maxHolders bounds the number of recorded coordinators.
const maxHolders = 64

// holderHealth records which coordinators did not answer. The zero value is
// ready to use. It is safe for concurrent use.
type holderHealth struct {
	mu    sync.Mutex
	until map[string]time.Time // end of the back-off, by address
}

// backingOff reports whether a coordinator failed to answer less than
// holderBackoff ago.
func (h *holderHealth) backingOff(address string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Before(h.until[address])
}

// failed records that a coordinator did not answer, and reports whether it had
// answered before.
func (h *holderHealth) failed(address string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.until == nil || len(h.until) >= maxHolders {
		h.until = map[string]time.Time{}
	}
	_, known := h.until[address]
	h.until[address] = now.Add(holderBackoff)
	return !known
}

// answered records that a coordinator has answered, and reports whether it had
// failed before.
func (h *holderHealth) answered(address string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, known := h.until[address]
	delete(h.until, address)
	return known
}
