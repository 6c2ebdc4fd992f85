package continuation

import "testing"

// Guards against newcomers that an endpoint serves before streams that have begun, and against begun streams that pass more
// urgent requests.
func TestBegunStreamsRankBeforeNewOnesOfTheirRank(t *testing.T) {
	for leastUrgent := range 12 {
		for rank := range leastUrgent + 1 {
			fresh, begun := Rank(rank, leastUrgent, false), Rank(rank, leastUrgent, true)
			if fresh < 0 || fresh > 9 || begun < 0 || begun > fresh {
				t.Errorf("rank %d of 0 to %d: new %d, begun %d", rank, leastUrgent, fresh, begun)
			}
			if begun == fresh && leastUrgent <= 4 {
				t.Errorf("rank %d of 0 to %d: a begun stream is not before new ones", rank, leastUrgent)
			}
			if next := Rank(rank+1, leastUrgent, true); next < fresh && leastUrgent <= 4 {
				t.Errorf("rank %d of 0 to %d: begun streams of the next rank are before new ones", rank, leastUrgent)
			}
		}
	}
}
