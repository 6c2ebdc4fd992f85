package edgedaemon

import (
	"testing"
	"time"
)

// A coordinator that is gone is asked once in a while, not by every request,
// and its loss and return are told once.
func TestSilentHolderIsAskedSeldom(t *testing.T) {
	var h holderHealth
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	if h.backingOff("a", now) || h.answered("a") {
		t.Fatal("nothing is known yet")
	}
	if !h.failed("a", now) || !h.backingOff("a", now) || h.backingOff("b", now) {
		t.Fatal("a coordinator that did not answer must not be asked at once")
	}
	later := now.Add(holderBackoff)
	if h.backingOff("a", later) || h.failed("a", later) {
		t.Fatal("it must be asked again, and its loss told once")
	}
	if !h.answered("a") || h.answered("a") || h.backingOff("a", later) {
		t.Fatal("its return must be told once")
	}
}
