package ending

import (
	"testing"

	"github.com/doorvalve/doorvalve/coordination/reach"
)

// Guards against answers that count as whole because nobody knows better.
func TestDecide(t *testing.T) {
	for endpoint, ends := range map[reach.Life]struct{ stays, leaves End }{
		reach.LifeNotKnown: {NotKnown, NotKnown},
		reach.LifeSilent:   {NotKnown, NotKnown},
		reach.LifeServing:  {Whole, Whole},
		reach.LifeGone:     {Broken, NotKnown},
	} {
		for _, c := range []struct {
			evidence Evidence
			want     End
		}{
			{Evidence{Endpoint: endpoint}, ends.stays},
			{Evidence{Endpoint: endpoint, Leaving: true}, ends.leaves},
			{Evidence{Endpoint: endpoint, Empty: true}, NotKnown},
			{Evidence{Endpoint: endpoint, Leaving: true, Empty: true}, NotKnown},
		} {
			if got := Decide(c.evidence); got != c.want {
				t.Errorf("%+v: %v, want %v", c.evidence, got, c.want)
			}
		}
	}
}
