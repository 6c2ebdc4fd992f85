package e2e_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/standin/engine"
	"github.com/doorvalve/doorvalve/state/bundle"
)

// withMode returns a copy of b with the engines' service in mode m.
func withMode(b bundle.Bundle, m bundle.Mode) bundle.Bundle {
	b.Services = append([]bundle.Service(nil), b.Services...)
	b.Services[0].Mode = m
	return b
}

// A service moves from mode scripts to watched to managed, and back to scripts.
// Daemons must send no orders while it is not managed, and must adopt units that
// scripts have loaded.
func TestModesMoveOverAndBack(t *testing.T) {
	o := defaults()
	o.change = func(b *bundle.Bundle) { b.Services[0].Mode = bundle.ModeScripts }
	w := newTestbed(t, o)
	w.engines["w0"].Preload(protocol.EngineUnit{Unit: "m0", Version: "1", MemoryMiB: modelMiB})
	orders := func() (n int) {
		for _, e := range w.engines {
			n += e.Orders()
		}
		return n
	}
	if _, r := w.daemons[0].complete("m0", "x", 2); r.status != http.StatusServiceUnavailable || r.refusal.Reason != "left-to-scripts" {
		t.Errorf("scripts: %d %v", r.status, r.refusal)
	}
	w.rollout(withMode(w.bundle, bundle.ModeWatched))
	w.inForce(2)
	w.eventually("a unit loaded by scripts is served", func() bool {
		text, r := w.daemons[1].complete("m0", "x", 2)
		return r.ok() && text == engine.Answer("x", 2)
	})
	if _, r := w.daemons[1].complete("m1", "x", 2); r.refusal.Reason != "not-loaded-by-operator" || r.refusal.Verdict != protocol.NotRun {
		t.Errorf("watched: %d %v", r.status, r.refusal)
	}
	if n := orders(); n != 0 {
		t.Errorf("%d orders to a service that is not managed", n)
	}
	w.rollout(withMode(w.bundle, bundle.ModeManaged))
	w.inForce(3)
	w.eventually("a model is loaded and served in mode managed", func() bool {
		text, r := w.daemons[2].complete("m1", "x", 2)
		return r.ok() && text == engine.Answer("x", 2)
	})
	if text, r := w.daemons[0].complete("m0", "y", 2); !r.ok() || text != engine.Answer("y", 2) {
		t.Errorf("adopted: %d %v", r.status, r.refusal)
	}
	if n := w.engines["w0"].Stats().Loads["m0"] + w.engines["w1"].Stats().Loads["m0"]; n != 0 {
		t.Errorf("the adopted model was loaded %d times", n)
	}
	w.rollout(withMode(w.bundle, bundle.ModeScripts))
	w.inForce(4)
	time.Sleep(200 * time.Millisecond)
	before := orders()
	if _, r := w.daemons[0].complete("m3", "x", 2); r.refusal.Reason != "left-to-scripts" {
		t.Errorf("back to scripts: %d %v", r.status, r.refusal)
	}
	time.Sleep(500 * time.Millisecond)
	if n := orders(); n != before {
		t.Errorf("%d orders after the service went back to scripts", n-before)
	}
	w.checkMemory()
}
