package edgedaemon

import (
	"testing"
	"time"
)

// A coordinator that does not answer is called once per back-off period, not by
// every request, and its loss and its recovery are each reported once.
func TestSilentHolderIsAskedSeldom(t *testing.T) {
	var h holderHealth
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	if h.backingOff("a", now) || h.answered("a") {
		t.Fatal("a coordinator without failures is in back-off, or reported as recovered")
	}
	if !h.failed("a", now) || !h.backingOff("a", now) || h.backingOff("b", now) {
		t.Fatal("the first failure must be reported, and must start the back-off of that coordinator only")
	}
	later := now.Add(holderBackoff)
	if h.backingOff("a", later) || h.failed("a", later) {
		t.Fatal("after the back-off it must be called again, and its loss must be reported only once")
	}
	if !h.answered("a") || h.answered("a") || h.backingOff("a", later) {
		t.Fatal("its recovery must be reported once and must end the back-off")
	}
}
