package reach

import "time"

// Evidence is what one daemon can say about an endpoint whose connections broke.
type Evidence int

// The kinds of evidence.
const (
	// NoEvidence: the daemon did not answer, its path is silent, or it reaches no other endpoint.
	NoEvidence Evidence = iota
	// Reached: it has just opened a connection to the endpoint.
	Reached
	// RefusedSince: the endpoint has refused its connections since about the time of the break.
	RefusedSince
	// RefusedBefore: its path was lost before the break, while the endpoint still served others.
	RefusedBefore
)

// simultaneous is how much earlier than the break of a connection another daemon may notice the end of
// the same endpoint.
const simultaneous = 250 * time.Millisecond

// Observation is what a daemon has seen on its own path to an endpoint just now.
type Observation struct {
	Reached bool
	Refused bool          // and it reaches another endpoint
	Age     time.Duration // since when; meaningful if Refused
}

// Evidence returns what an observation made at the given time shows about an endpoint whose
// connections broke at another daemon.
func (o Observation) Evidence(now, broke time.Time) Evidence {
	switch {
	case o.Reached:
		return Reached
	case !o.Refused:
		return NoEvidence
	case now.Add(-o.Age).Before(broke.Add(-simultaneous)):
		return RefusedBefore
	}
	return RefusedSince
}

// Crashed reports whether an endpoint whose connections broke has crashed. A daemon that lost its path
// earlier, while the endpoint still served others, speaks against a crash: paths fail there. others is
// what the other daemons that were asked say; without other daemons the own evidence decides.
func Crashed(own Evidence, others []Evidence) bool {
	counts := map[Evidence]int{}
	for _, e := range others {
		counts[e]++
	}
	confirmed := len(others) == 0 || counts[RefusedSince] > 0
	counts[own]++
	return confirmed && counts[Reached] == 0 && counts[RefusedSince] > counts[RefusedBefore]
}
