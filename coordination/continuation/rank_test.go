package continuation

import "testing"

// Guards against newcomers that an endpoint serves before streams that are taken up, against such streams that pass requests which are
// more urgent by two ranks, and against ranks of new requests that are not their own.
func TestTakenUpStreamsRankBeforeNewOnesOfTheirRank(t *testing.T) {
	for rank := range 12 {
		if fresh := Rank(rank, false); fresh != rank {
			t.Errorf("rank %d: new %d", rank, fresh)
		}
		if takenUp, want := Rank(rank, true), max(0, rank-1); takenUp != want {
			t.Errorf("rank %d: taken up %d, want %d", rank, takenUp, want)
		}
	}
}
