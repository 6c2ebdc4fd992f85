package continuation

// Rank returns the rank at an endpoint of a request of the given rank; 0 is served first. A stream that its caller takes up
// has the next more urgent rank: new requests can go to any version, or be refused and come back. A stream that
// goes on within its answer keeps its rank: its endpoint failed alone, and endpoints make room for a more urgent
// request at the cost of running ones.
func Rank(rank int, takenUp bool) int {
	if takenUp {
		rank--
	}
	return max(0, rank)
}
