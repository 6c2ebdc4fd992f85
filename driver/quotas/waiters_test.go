package quotas

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/doorvalve/doorvalve/coordination/quota"
)

// Guards against a request that arrives with a grant and takes what was drawn for those that wait for
// it, so that they are refused.
func TestGrantGoesToThoseThatWaitForIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := newInstallation(1, 1, declaration("w", 4_000, 4_000))
		defer in.stop()
		time.Sleep(time.Second)
		s := in.hosts[0].controller.workspaces.shared
		limits := quota.Limits{Rate: 4_000, Burst: 4_000}
		claimOf := func(rank int) claim { return claim{subject: "w", limits: limits, cost: 1_000, rank: rank} }

		s.mu.Lock()
		f := &flight{done: make(chan struct{})}
		s.flights["w"] = f // it is not run: the test receives its grant
		_, later := s.joinFlight(claimOf(1))
		_, first := s.joinFlight(claimOf(0))
		_, gone := s.joinFlight(claimOf(0))
		gone.left = true
		s.mu.Unlock()
		s.receiveGrant("w", s.opt.Self, quota.Grant{Units: 2_000}, f)

		s.mu.Lock()
		defer s.mu.Unlock()
		if newcomer := s.client.Take(s.opt.Clock(), "w", 1_000, false); newcomer == quota.Admit {
			t.Error("a request that has not waited was admitted")
		}
		for name, w := range map[string]*waiter{"most urgent": first, "less urgent": later} {
			if !w.settled || w.verdict != quota.Admit {
				t.Errorf("%s: settled %v, verdict %v; want that it is admitted", name, w.settled, w.verdict)
			}
		}
		if gone.settled {
			t.Error("units went to a request whose caller has gone")
		}
		delete(s.flights, "w")
	})
}
