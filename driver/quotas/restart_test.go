package quotas

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/doorvalve/doorvalve/coordination/quota"
)

// killAll ends all daemons at once and starts the next ones after a pause.
func (in *installation) killAll(down time.Duration) {
	for _, h := range in.hosts {
		go h.kill(down)
	}
	time.Sleep(down + time.Millisecond)
}

// Guards against exceeding the limit of an endpoint after all daemons have ended at once: with a limit that has just begun or
// changed, again and again, and while the store is away as they start.
func TestLimitsOutlastAllDaemons(t *testing.T) {
	for _, c := range []struct {
		name        string
		before, now float64       // limits; the second one begins just before the end
		since       time.Duration // how long the second one has been reported
		away        time.Duration // of the store from the end on
		ends        int
		then        time.Duration // how long callers send after each end
	}{
		{"steady", 1.1, 1.1, 5 * time.Second, 0, 1, 6 * time.Second},
		{"just begun", 0, 1.1, 3 * time.Second, 0, 1, 6 * time.Second},
		{"just lowered", 20, 2, 3 * time.Second, 0, 1, 6 * time.Second},
		{"again and again", 1.1, 1.1, 5 * time.Second, 0, 4, 2 * time.Second},
		{"store away", 1.1, 1.1, 5 * time.Second, 5 * time.Second, 1, 6 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				in := newInstallation(20, 1)
				defer in.stop()
				e := newTarget(in)
				time.Sleep(5 * time.Second)
				if c.before > 0 {
					e.setLimit(c.before, true)
				}
				go e.send(in.hosts, steadyLoad(60), 5*time.Second+c.since)
				time.Sleep(5 * time.Second)
				e.setLimit(c.now, true)
				time.Sleep(c.since)
				for range c.ends {
					in.store.SetAway(c.away > 0)
					in.killAll(300 * time.Millisecond)
					time.Sleep(c.away) // the endpoints are not known before: they are listed in the store
					in.store.SetAway(false)
					e.send(in.hosts, steadyLoad(300), c.then)
				}
				time.Sleep(8 * time.Second)
				if over := e.maxExcess(); over > 0 {
					t.Errorf("%d requests more than the bound in a window", over)
				}
				t.Logf("worst window %d requests below the bound", -e.maxExcess())
			})
		})
	}
}

// Guards against exceeding a quota after all daemons have ended at once, once or again and again: no owner knows what was
// granted in the window.
func TestQuotasOutlastAllDaemons(t *testing.T) {
	for _, ends := range []int{1, 4} {
		for seed := range uint64(5) {
			synctest.Test(t, func(t *testing.T) {
				limits := quota.Limits{Rate: 4200, Burst: 15000}
				in := newInstallation(20, seed, declaration("w", limits.Rate, limits.Burst))
				defer in.stop()
				time.Sleep(5 * time.Second)
				go in.send(load{name: "w", rate: func(time.Duration) float64 { return 4 * limits.Rate }, hosts: in.hosts}, 20*time.Second)
				time.Sleep(5 * time.Second)
				for range ends {
					in.killAll(300 * time.Millisecond)
					time.Sleep(1500 * time.Millisecond)
				}
				time.Sleep(25 * time.Second)
				if over := in.maxExcess("w", limits); over > 0 {
					t.Errorf("%d ends, seed %d: admitted %.0f units more than the bound in a window", ends, seed, over)
				}
			})
		}
	}
}
