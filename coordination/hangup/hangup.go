// Package hangup decides whether the work on a request goes on after its caller has closed its sending side. A caller that
// reads on and one that has closed the connection look the same until something is written to them.
package hangup

import "time"

// Grace is how long work goes on that is then given up. Most answers begin within it; endpoints must have stopped
// half a second after a caller has left (docs/DESIGN.md, "Callers that close their sending side").
const Grace = 300 * time.Millisecond

// A begun stream whose caller has closed its sending side is probed: a byte that belongs to no event makes the kernel of a caller that
// is gone answer with a reset, which the next byte finds. ProbeEvery is the time between two probes, and MaxProbes bounds those
// between two events.
const (
	ProbeEvery = 150 * time.Millisecond
	MaxProbes  = 3
)

// Work is how far a request has come.
type Work struct {
	// Unsafe: an endpoint that runs the request may change something, so that its caller cannot just repeat it.
	Unsafe bool
	// Sent: an endpoint may have the request.
	Sent bool
	// Begun: the caller has a part of the answer. The next part makes the kernel of a caller that is gone answer with a reset,
	// so that writing the part after it fails.
	Begun bool
}

// GivenUp reports whether the work ends Grace after the caller has closed its sending side. The caller gets a refusal then,
// in case that it reads on.
func (w Work) GivenUp() bool {
	return !w.Begun && !(w.Unsafe && w.Sent)
}
