package residency

import (
	"testing"
	"time"
)

// Failure: the coordinator is replaced in the middle of a burst. The new one knows nothing but the
// entries of the engines, and what daemons send it: their demand every 400 ms and questions for
// the requests that wait. Two seconds later it serves as many requests in time as the former one
// would have.
func TestTakeoverInABurst(t *testing.T) {
	started := func(takeover bool) (share float64) {
		const seeds = 1
		for seed := range uint64(seeds) {
			l := newContendedLoad(60, 0.6, seed)
			l.simulate(10 * time.Second)
			l.rareRate *= 2.4
			l.simulate(6 * time.Second)
			if takeover {
				for _, e := range l.engines {
					e.publish()
				}
				l.takeOver()
			}
			l.simulate(2 * time.Second)
			l.stats = contendedStats{}
			l.simulate(8 * time.Second)
			s := l.stats
			share += float64(s.inTime) / float64(max(1, s.inTime+s.late+s.lost)) / seeds
			l.check(t)
		}
		return share
	}
	without, with := started(false), started(true)
	t.Logf("rare requests in time from 2 s to 10 s: %.3f without a change of the coordinator, %.3f after one", without, with)
	if with < without-0.03 {
		t.Errorf("%.3f of the rare requests in time after the change, %.3f without one", with, without)
	}
}
