package reach

import (
	"testing"
	"time"
)

// Guards against a crash that is seen where daemons lose the same endpoint one after the other: those
// that lost their paths earlier confirmed it.
func TestCrashed(t *testing.T) {
	type list = []Evidence
	for _, c := range []struct {
		name   string
		own    Evidence
		others list
		want   bool
	}{
		{"alone", RefusedSince, nil, true},
		{"alone, path lost before", RefusedBefore, nil, false},
		{"alone, no evidence", NoEvidence, nil, false},
		{"all see it end", RefusedSince, list{RefusedSince, RefusedSince}, true},
		{"another reaches it", RefusedSince, list{RefusedSince, Reached}, false},
		{"all others lost it before", RefusedSince, list{RefusedBefore, RefusedBefore, RefusedBefore}, false},
		{"others do not answer", RefusedSince, list{NoEvidence, NoEvidence}, false},
		{"one lost it before, most see it end", RefusedSince, list{RefusedBefore, RefusedSince}, true},
		{"most lost it before", RefusedSince, list{RefusedBefore, RefusedBefore, RefusedSince}, false},
		{"own path lost before, others see it end", RefusedBefore, list{RefusedSince, RefusedSince}, true},
		{"own path silent, others see it end", NoEvidence, list{RefusedSince, NoEvidence}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := Crashed(c.own, c.others); got != c.want {
				t.Errorf("crashed: %v, want %v", got, c.want)
			}
		})
	}
}

func TestEvidence(t *testing.T) {
	now := time.Unix(100, 0)
	for _, c := range []struct {
		name        string
		observation Observation
		brokeAgo    time.Duration
		want        Evidence
	}{
		{"reached", Observation{Reached: true}, 0, Reached},
		{"not refused", Observation{}, 0, NoEvidence},
		{"refused since the break", Observation{Refused: true, Age: time.Second}, 2 * time.Second, RefusedSince},
		{"noticed a little earlier", Observation{Refused: true, Age: simultaneous}, 0, RefusedSince},
		{"lost before", Observation{Refused: true, Age: time.Second}, 0, RefusedBefore},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.observation.Evidence(now, now.Add(-c.brokeAgo)); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
