package continuation

import "github.com/doorvalve/doorvalve/protocol"

// Rank returns the rank at an endpoint of a request of the given rank, in a service whose least urgent rank is given; 0 is served
// first. An answer that has begun comes before those of its rank that have not: these can go to any version, or
// be refused and come back. Where a service uses more ranks than half of what endpoints tell apart, it
// takes the next more urgent rank.
func Rank(rank, leastUrgent int, begun bool) int {
	if 2*leastUrgent+1 <= protocol.MaxRank {
		rank = 2*rank + 1
	}
	if begun {
		rank--
	}
	return min(max(0, rank), protocol.MaxRank)
}
