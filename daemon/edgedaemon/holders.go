package edgedaemon

import (
	"sync"
	"time"
)

// silentPause is how long a coordinator that did not answer is not asked
// again, so that requests do not all wait for it.
const holderBackoff = 400 * time.Millisecond

// maxHolders bounds the memory of coordinators that did not answer.
const maxHolders = 64

// holderHealth remembers which coordinators did not answer.
type holderHealth struct {
	mu    sync.Mutex
	until map[string]time.Time // by address; not asked before then
}

// silent reports whether a coordinator has just not answered.
func (h *holderHealth) backingOff(address string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Before(h.until[address])
}

// failed records that a coordinator did not answer, and reports whether it is
// news.
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

// answered records that a coordinator has answered, and reports whether that
// is news.
func (h *holderHealth) answered(address string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, known := h.until[address]
	delete(h.until, address)
	return known
}
