package storeview

import (
	"context"
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/state/fleet"
)

// Guards against requests to endpoints that leave, are gone or have started again, after a restart of all daemons: the first list of
// daemons without memory must have them as the store has, and no endpoint is usable before it. An endpoint's own signal that it
// leaves is no entry: it is learned again from its first answer.
func TestLeavingOutlastsAllDaemons(t *testing.T) {
	const daemons = 5
	inBubble(t, func(b *bubble) {
		s := newFakeStore()
		s.generation = 1
		for _, id := range []string{"stays", "leaves", "gone", "restarted", "signalled"} {
			s.setEndpoint(fleet.Endpoint{ID: id, StartUnixMs: 1000, Service: "llm"})
		}
		first := *b
		kill := context.CancelFunc(nil)
		first.ctx, kill = context.WithCancel(b.ctx)
		views := first.manyDaemons(s, daemons)
		time.Sleep(3 * time.Second)
		s.setEndpoint(fleet.Endpoint{ID: "leaves", StartUnixMs: 1000, Service: "llm", Leaving: true})
		s.setEndpoint(fleet.Endpoint{ID: "restarted", StartUnixMs: 1000, Service: "llm", Leaving: true})
		s.remove("gone")
		for _, v := range views {
			v.ObserveLeaving(fleet.Incarnation{ID: "signalled", StartUnixMs: 1000})
		}
		time.Sleep(leaveWithin)
		s.setEndpoint(fleet.Endpoint{ID: "restarted", StartUnixMs: 2000, Service: "llm"})
		kill()
		time.Sleep(time.Second)
		s.setUnreachable(true)
		views = b.manyDaemons(s, daemons)
		returned := time.Now().Add(3 * time.Second)
		time.AfterFunc(3*time.Second, func() { s.setUnreachable(false) })
		for time.Since(returned) < 4*time.Second {
			for i, v := range views {
				if v.routable("leaves") || v.routable("gone") {
					t.Fatalf("daemon %d, %v after the return of the store: leaves %v, gone %v", i, time.Since(returned), v.routable("leaves"), v.routable("gone"))
				}
				if e := v.Endpoints().ByID["restarted"]; e != nil && e.StartUnixMs != 2000 {
					t.Fatalf("daemon %d uses the earlier incarnation of an endpoint that has started again", i)
				}
			}
			time.Sleep(20 * time.Millisecond)
		}
		for i, v := range views {
			if !v.routable("stays") || !v.routable("restarted") || !v.routable("signalled") {
				t.Errorf("daemon %d: stays %v, restarted %v, signalled %v", i, v.routable("stays"), v.routable("restarted"), v.routable("signalled"))
				continue
			}
			v.ObserveLeaving(fleet.Incarnation{ID: "signalled", StartUnixMs: 1000})
			if v.routable("signalled") {
				t.Errorf("daemon %d goes on with an endpoint that has signalled that it leaves", i)
			}
		}
	})
}
