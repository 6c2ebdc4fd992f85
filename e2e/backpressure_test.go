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

// twoServices is an installation of two plain services alone.
func twoServices(t *testing.T) (w *world, one, other *service.Service) {
	o := defaults()
	o.engines, o.models, o.plain = 0, 0, 2
	o.change = func(b *bundle.Bundle) { b.Services = b.Services[1:] } // without the engines
	w = newWorld(t, o)
	w.eventually("calls are served", func() bool { return w.daemons[0].call("POST", "/services/app/x", "first").ok() })
	return w, w.services["app0"], w.services["app1"]
}

// cameBetween returns how many calls came to a service in some time.
func cameBetween(s *service.Service, from, to time.Time) int {
	n := 0
	for _, at := range s.Arrivals() {
		if at.After(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// Guards against calls to an endpoint within a pause that it has asked for, also where there is no
// other: then they are refused at once and told when the pause is over.
func TestEndpointThatAsksForAPauseGetsIt(t *testing.T) {
	const pause = 3 * time.Second
	w, one, other := twoServices(t)
	one.SetPause("3")
	asked := time.Now()
	served, all := w.press(pause)
	if most, n := 2*len(w.daemons), cameBetween(one, asked.Add(500*time.Millisecond), asked.Add(pause)); n > most {
		t.Errorf("%d calls of %d daemons within the pause", n, len(w.daemons))
	}
	if served < all*99/100 {
		t.Errorf("%d of %d served though another endpoint has room", served, all)
	}
	other.SetPause("20")
	one.SetPause("20")
	w.press(time.Second)
	began := time.Now()
	r := w.daemons[0].call("POST", "/services/app/x", "too many")
	after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	if r.status != http.StatusServiceUnavailable || r.refusal.Reason != "endpoint-paused" || err != nil || after < 15 {
		t.Errorf("with a pause everywhere a call got %d %q, Retry-After %q", r.status, r.refusal.Reason, r.header.Get("Retry-After"))
	}
	if held := time.Since(began); held > time.Second {
		t.Errorf("refused after %v", held)
	}
}

// Guards against calls to an endpoint that has said in its answers that it leaves.
func TestEndpointLeavesByItsAnswers(t *testing.T) {
	const within = 2 * time.Second
	w, one, _ := twoServices(t)
	one.SetLeaving(true)
	said := time.Now()
	served, all := w.press(2 * within)
	if n := cameBetween(one, said.Add(within), time.Now()); n > 0 {
		t.Errorf("%d calls later than %v after it had begun to say so", n, within)
	}
	if served < all*99/100 {
		t.Errorf("%d of %d served though another endpoint has room", served, all)
	}
	one.SetLeaving(false) // the next process at its place
	w.eventually("it is used again", func() bool {
		from := time.Now()
		w.press(500 * time.Millisecond)
		return cameBetween(one, from, time.Now()) > 0
	})
}

// Guards against callers who are refused until the only replica of their model takes requests again:
// another engine loads it meanwhile.
func TestModelOfAnEngineThatPausesIsLoadedElsewhere(t *testing.T) {
	const pause = 40 * time.Second
	o := defaults()
	o.change = func(b *bundle.Bundle) { b.Models[0].MaxReplicas = 2 }
	w := newWorld(t, o)
	w.eventually("the model is served", func() bool { _, r := w.daemons[0].complete("m0", "first", 4); return r.ok() })
	for _, e := range w.engines {
		for _, u := range e.Units() {
			if u.Unit == "m0" {
				e.SetPause(strconv.Itoa(int(pause.Seconds())))
			}
		}
	}
	asked := time.Now()
	w.eventually("another engine serves it", func() bool {
		text, r := w.daemons[0].complete("m0", "next", 4)
		return r.ok() && text == engine.Answer("next", 4)
	})
	if took := time.Since(asked); took > pause/2 {
		t.Errorf("served again after %v", took)
	}
	if n := w.replicas("m0"); n != 2 {
		t.Errorf("%d replicas", n)
	}
}
