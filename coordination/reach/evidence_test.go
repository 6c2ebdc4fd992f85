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
		{"alone", Ended, nil, true},
		{"alone, path lost", PathLost, nil, false},
		{"all see it end", Ended, list{Ended, Ended}, true},
		{"another reaches it", Ended, list{Ended, Reached}, false},
		{"all others lost their paths", Ended, list{PathLost, PathLost, PathLost}, false},
		{"others do not answer", Ended, list{NoEvidence, NoEvidence}, false},
		{"one does not answer", Ended, list{NoEvidence, Ended}, true},
		{"one lost its path, most see it end", Ended, list{PathLost, Ended}, true},
		{"half lost their paths", Ended, list{PathLost, PathLost, Ended}, false},
		{"own path lost, others see it end", PathLost, list{Ended, Ended}, true},
		{"own path lost, one sees it end", PathLost, list{Ended, NoEvidence}, false},
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
		{"silent", Observation{}, 0, PathLost},
		{"refused since the break", Observation{Refused: true, Age: time.Second}, 2 * time.Second, Ended},
		{"noticed a little earlier", Observation{Refused: true, Age: simultaneous}, 0, Ended},
		{"lost before", Observation{Refused: true, Age: time.Second}, 0, PathLost},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.observation.Evidence(now, now.Add(-c.brokeAgo)); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
