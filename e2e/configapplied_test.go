package e2e_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/state/bundle"
)

// Guards against keys that are not found any more when a bundle changes the number of shards that keep them: a call that
// may not be repeated would run twice.
func TestKeysOutlastAChangeOfShards(t *testing.T) {
	o := defaults()
	o.daemons = 2
	w := newTestbed(t, o)
	const keys = 12
	for i := range keys {
		if r := w.daemons[0].order(fmt.Sprint("key", i)); !r.ok() {
			t.Fatalf("first call: %+v", r)
		}
	}
	b := w.bundle
	b.Claims.Shards = 7
	p := w.daemons[0]
	before := w.pointer(p)
	status, err := p.advance(p.propose(b), before.Generation)
	if status == http.StatusOK {
		w.inForce(before.Generation + 1)
	} else if status != http.StatusForbidden {
		t.Fatalf("rollout: %d %v", status, err)
	}
	for i := range keys {
		if r := w.daemons[1].order(fmt.Sprint("key", i)); r.status != http.StatusConflict {
			t.Errorf("key%d, rollout answered with %d: a second call gets %d %s, want 409", i, status, r.status, r.body)
		}
	}
}

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

// Guards against a holder that goes on placing models at endpoints which its service does not have any more: another service
// may have them.
func TestRemovedServiceIsNotPlaced(t *testing.T) {
	o := defaults()
	o.daemons, o.models = 2, 2
	w := newTestbed(t, o)
	w.holder()
	b := w.bundle
	b.Models, b.Services = slices.Clone(b.Models), slices.Clone(b.Services)
	for i := range b.Models {
		b.Models[i].Service = "renamed"
	}
	b.Services[slices.IndexFunc(b.Services, func(s bundle.Service) bool { return s.Name == "lm" })].Name = "renamed"
	w.rollout(b)
	w.inForce(2)
	held := func(group string) bool {
		for _, p := range w.daemons {
			d, err := p.dump()
			for _, g := range d.Groups {
				if err != nil || g.Group == group && g.Held {
					return true
				}
			}
		}
		return false
	}
	w.eventually("nobody places the models of the service that is gone", func() bool { return !held("lm") && held("renamed") })
	if _, r := w.daemons[0].complete("m0", "x", 1); !r.ok() {
		t.Errorf("a model of the renamed service: %+v", r)
	}
}
