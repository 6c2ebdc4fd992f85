package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against more repeats than the limit allows where all daemons end at once, once or again and again, and none of them
// remembers what was spent in the window; also where the number of daemons cannot be read as they start, and where the daemons do
// not see each other after it.
func TestRetriesOutlastAllDaemons(t *testing.T) {
	for _, daemons := range playedSizes {
		for _, c := range []struct {
			name    string
			storeUp bool
			split   bool
		}{{"", true, false}, {"store away", false, false}, {"partition", true, true}, {"store away, partition", false, true}} {
			t.Run(fmt.Sprint(daemons, c.name), func(t *testing.T) {
				for seed := *boundSeed; seed < *boundSeed+uint64(*boundRuns); seed++ {
					rng := rand.New(rand.NewPCG(seed, uint64(daemons)))
					p := newPlay(rng, daemons, Limit{0.2, []float64{12, 52, 2.3 * float64(daemons)}[rng.IntN(3)], playedWindow})
					p.run(2 * joinTime) // the daemons have once seen each other
					p.failing, p.rate = 0.5, []float64{1, 30, 1000}[rng.IntN(3)]
					p.run(3 * playedWindow)
					p.failing = 1
					p.run(p.between(time.Second, 2*playedWindow))
					for range 1 + rng.IntN(4) {
						p.storeUp = c.storeUp
						for _, h := range p.hosts {
							p.kill(h)
							if c.split {
								h.group = rng.IntN(playGroups)
							}
						}
						p.run(p.between(0, time.Second))
						for _, h := range p.hosts {
							p.startDaemon(h, false)
						}
						p.run(p.between(time.Second, 2*playedWindow))
					}
					p.storeUp = true
					p.run(2 * playedWindow)
					p.check(t, seed)
				}
			})
		}
	}
}
