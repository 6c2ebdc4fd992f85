package continuation

import "github.com/doorvalve/doorvalve/protocol"

// Rank returns the rank at an endpoint of a request of the given rank, in a service whose least urgent rank is given; 0 is served
// first. A stream that its caller takes up comes before requests of its rank that have not begun: these can go to any version, or
// be refused and come back. Where a service uses more ranks than half of what endpoints tell apart, it
// takes the next more urgent rank. A stream that goes on within its answer keeps its rank: its endpoint failed alone, and
// endpoints make room for a more urgent request at the cost of running ones.
func Rank(rank, leastUrgent int, takenUp bool) int {
	if 2*leastUrgent+1 <= protocol.MaxRank {
		rank = 2*rank + 1
	}
	if takenUp {
		rank--
	}
	return min(max(0, rank), protocol.MaxRank)
}
