package reach

import "time"

// Evidence is what one daemon can say about an endpoint whose connections broke.
type Evidence int

// The kinds of evidence.
const (
	// NoEvidence: the daemon did not answer.
	NoEvidence Evidence = iota
	// Reached: it has just opened a connection to the endpoint.
	Reached
	// Ended: the endpoint has refused its connections since about the time of the break.
	Ended
	// PathLost: its path fails in a way that the end of the endpoint does not explain.
	PathLost
)

// String returns the name of the evidence as it appears in logs.
func (e Evidence) String() string {
	return [...]string{"none", "reached", "ended", "path-lost"}[e]
}

// simultaneous is how much earlier than the break of a connection another daemon may notice the end of
// the same endpoint.
const simultaneous = 250 * time.Millisecond

// Observation is what a daemon has seen on its own path to an endpoint just now. The zero value says
// that the path is silent, or that the daemon reaches no other endpoint either.
type Observation struct {
	Reached bool
	Refused bool
	Age     time.Duration // since when the endpoint has refused; meaningful if Refused
}

// Evidence returns what an observation made at the given time shows about an endpoint whose
// connections broke at another daemon. A path that refused before that was lost while the endpoint
// still served others.
func (o Observation) Evidence(now, broke time.Time) Evidence {
	switch {
	case o.Reached:
		return Reached
	case o.Refused && !now.Add(-o.Age).Before(broke.Add(-simultaneous)):
		return Ended
	}
	return PathLost
}

// Crashed reports whether an endpoint whose connections broke has crashed: no daemon reaches it, and
// more of them saw it end than have lost their paths otherwise. others is what the other daemons that
// were asked say; without other daemons the own evidence decides.
func Crashed(own Evidence, others []Evidence) bool {
	counts := map[Evidence]int{}
	for _, e := range others {
		counts[e]++
	}
	confirmed := len(others) == 0 || counts[Ended] > 0
	counts[own]++
	return confirmed && counts[Reached] == 0 && counts[Ended] > counts[PathLost]
}
