package e2e_test

import (
	"slices"
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/state/bundle"
)

// Guards against a model whose requests wait for credit that is asked of its former service.
func TestModelMovesToAnotherService(t *testing.T) {
	o := defaults()
	o.daemons, o.models = 2, 2
	o.change = func(b *bundle.Bundle) {
		lm := b.Services[slices.IndexFunc(b.Services, func(s bundle.Service) bool { return s.Name == "lm" })]
		other := lm
		other.Name = "other"
		lm.Endpoints, other.Endpoints = lm.Endpoints[:1], lm.Endpoints[1:]
		for i := range b.Services {
			if b.Services[i].Name == "lm" {
				b.Services[i] = lm
			}
		}
		b.Services = append(b.Services, other)
	}
	w := newTestbed(t, o)
	if _, r := w.daemons[0].complete("m0", "x", 1); !r.ok() {
		t.Fatalf("before: %+v", r)
	}
	b := w.bundle
	b.Models = slices.Clone(b.Models)
	b.Models[0].Service = "other"
	w.rollout(b)
	w.inForce(2)
	time.Sleep(3 * time.Second) // the services' reporters become idle
	for i, p := range w.daemons {
		if _, r := p.complete("m0", "x", 1, "Doorvalve-Timeout-Ms", "10000"); !r.ok() {
			t.Errorf("daemon %d, after the move: %d %s", i, r.status, r.body)
		}
	}
}
