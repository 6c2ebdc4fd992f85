package e2e_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/standin/engine"
	"github.com/doorvalve/doorvalve/standin/service"
	"github.com/doorvalve/doorvalve/state/bundle"
)

// twoServices starts daemons with two endpoints of a plain service and no engines,
// and waits until they serve calls.
func twoServices(t *testing.T) (w *testbed, one, other *service.Service) {
	o := defaults()
	o.engines, o.models, o.plain = 0, 0, 2
	o.change = func(b *bundle.Bundle) { b.Services = b.Services[1:] } // without the engines
	w = newTestbed(t, o)
	w.eventually("calls are served", func() bool { return w.daemons[0].call("POST", "/services/app/x", "first").ok() })
	return w, w.services["app0"], w.services["app1"]
}

// arrivalsBetween returns the number of calls that arrived at a service between two times.
func arrivalsBetween(s *service.Service, from, to time.Time) int {
	n := 0
	for _, at := range s.Arrivals() {
		if at.After(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// Guards against calls to an endpoint during a pause that it has asked for. If every endpoint has
// asked for one, calls must be refused at once, with the end of the pause in Retry-After.
func TestEndpointThatAsksForAPauseGetsIt(t *testing.T) {
	const pause = 3 * time.Second
	w, one, other := twoServices(t)
	one.SetPause("3")
	askedAt := time.Now()
	served, all := w.sendCalls(pause)
	if allowed, n := 2*len(w.daemons), arrivalsBetween(one, askedAt.Add(500*time.Millisecond), askedAt.Add(pause)); n > allowed {
		t.Errorf("%d calls from %d daemons during the pause", n, len(w.daemons))
	}
	if served < all*99/100 {
		t.Errorf("%d of %d served though another endpoint has room", served, all)
	}
	other.SetPause("20")
	one.SetPause("20")
	w.sendCalls(time.Second)
	began := time.Now()
	r := w.daemons[0].call("POST", "/services/app/x", "too many")
	after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	if r.status != http.StatusServiceUnavailable || r.refusal.Reason != "endpoint-paused" || err != nil || after < 15 {
		t.Errorf("with all endpoints pausing a call got %d %q, Retry-After %q", r.status, r.refusal.Reason, r.header.Get("Retry-After"))
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("refused only after %v", took)
	}
}

// Guards against calls to an endpoint that announces in its answers that it is leaving. Once its
// answers no longer do so, as after a restart at the same address, it must be used again.
func TestEndpointLeavesByItsAnswers(t *testing.T) {
	const within = 2 * time.Second
	w, one, _ := twoServices(t)
	one.SetLeaving(true)
	announcedAt := time.Now()
	served, all := w.sendCalls(2 * within)
	if n := arrivalsBetween(one, announcedAt.Add(within), time.Now()); n > 0 {
		t.Errorf("%d calls later than %v after its first announcement", n, within)
	}
	if served < all*99/100 {
		t.Errorf("%d of %d served though another endpoint has room", served, all)
	}
	one.SetLeaving(false) // stands for a new process at the same address
	w.eventually("the endpoint is used again", func() bool {
		from := time.Now()
		w.sendCalls(500 * time.Millisecond)
		return arrivalsBetween(one, from, time.Now()) > 0
	})
}

// If the engine with the only replica of a model asks for a pause, another engine must load the
// model. Otherwise callers are refused until the pause is over.
func TestModelOfAnEngineThatPausesIsLoadedElsewhere(t *testing.T) {
	const pause = 40 * time.Second
	o := defaults()
	o.change = func(b *bundle.Bundle) { b.Models[0].MaxReplicas = 2 }
	w := newTestbed(t, o)
	w.eventually("the model is served", func() bool { _, r := w.daemons[0].complete("m0", "first", 4); return r.ok() })
	for _, e := range w.engines {
		for _, u := range e.Units() {
			if u.Unit == "m0" {
				e.SetPause(strconv.Itoa(int(pause.Seconds())))
			}
		}
	}
	askedAt := time.Now()
	w.eventually("another engine serves it", func() bool {
		text, r := w.daemons[0].complete("m0", "next", 4)
		return r.ok() && text == engine.Answer("next", 4)
	})
	if took := time.Since(askedAt); took > pause/2 {
		t.Errorf("served again after %v", took)
	}
	if n := w.replicas("m0"); n != 2 {
		t.Errorf("%d replicas", n)
	}
}
