// Package quarantine decides what becomes of a request under which endpoints have ended:
// it is sent, it goes through as the only trial of all daemons, or it is refused until
// then. The belief is a set of cases that daemons merge in any order and any number of
// times, so that all of them come to the same one. The package is a state machine without
// I/O: what was seen and the time go in, decisions and what others must be told come out.
package quarantine

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/fleet"
)

const (
	// wholeBlame is what an end counts against a request whose answer had not begun.
	wholeBlame = 2
	// partBlame is what it counts where that is less likely: events of the answer had
	// come, so that the endpoint had lived through beginning it; or the attempt was sent
	// well before another endpoint ended under the same request, as those of a popular
	// request are when several endpoints are lost at once.
	partBlame = 1
	// mostAttempts bounds the attempts of a request that count at one life. Callers send a
	// request that has found no model loaded again and again, and once it is, their attempts
	// begin together and end together: three at one engine show what three engines do.
	mostAttempts = 3
	// blameHeld is the blame from which a request is held back: three whole ends. Two
	// may be chance; each further one costs an endpoint with all that runs there.
	blameHeld = 3 * wholeBlame
	// sameMoment is how much later than it happened an end may be known: an attempt
	// sent so shortly before another end may have been sent because of it.
	sameMoment = 250 * time.Millisecond
	// sameEnd bounds how far apart daemons may place one end by their clocks, and so the
	// time in which an endpoint that ends again is not seen to.
	sameEnd = 2 * time.Second

	// holdFirst is the time until the first trial, and holdGrowth what each trial
	// multiplies it by, up to holdMost: a trial of a request that still ends endpoints
	// costs one of them with all that runs there, so there are two in the first ten
	// minutes, and two an hour later on.
	holdFirst  = time.Minute
	holdGrowth = 4
	holdMost   = 30 * time.Minute
	// Remember is how long a case is kept after the last thing that happened in it;
	// longer than the longest hold, so that it ends by a trial and not by forgetting.
	Retention = time.Hour

	// mostCases bounds the memory: at some 200 bytes, half a megabyte. Of a flood of
	// requests that each end one endpoint, the cases with the least blame go first, of
	// these the oldest; they are no loss, since a request that has ended one or two
	// endpoints is sent in any case.
	mostCases = 2048
	// mostEnds bounds the ends of a case; the lowest in order go first.
	mostEnds = 8
	// mostSoftware bounds how often new software alone is a reason for a trial.
	mostSoftware = 4
	// MostTold bounds the cases of one message, at some 100 bytes each.
	MaxPerMessage = 256
)

// Software names what a request runs on: a new version of it may bear what the last one
// did not.
type Software uint64

// SoftwareOf names a service, a model and its version, or whatever tells them apart.
func SoftwareOf(parts ...string) Software {
	return Software(xxhash.Sum64String(strings.Join(parts, "\x00")))
}

// End is one life of an endpoint that ended while it worked on a request.
type Crash struct {
	Incarnation fleet.Incarnation
	// Doubtful ends are less likely the request's doing: events of the answer had come, so
	// that the endpoint had lived through beginning it.
	Doubtful bool
	// Served ends are so too: some daemon, also one that saw nothing of the end, had served
	// the same request shortly before. A popular request is known by that.
	ServedBefore bool
	Sent         time.Time // when the request was sent there
	At           time.Time
	// Order is the Unix time in milliseconds, by the clock of the daemon that saw it
	// first. Unlike At it is the same for all daemons, so that all drop the same ends.
	Order int64
	// Forgiven ends count no more: the request has been served since.
	Cleared bool
	// Attempts are the attempts of the request that ended with the life, at whichever
	// daemons, each by a tag of its own; none that are doubtful. It is never changed in place.
	Attempts []uint32
}

// doubtful reports whether an end counts in part only.
func (e Crash) doubtful() bool { return e.Doubtful || e.ServedBefore }

// AttemptTag returns the tag of an attempt that a caller has made under some id.
func AttemptTag(requestID string) uint32 { return uint32(xxhash.Sum64String(requestID)) }

// Same reports whether both tell of the same life of an endpoint. Where lives of one id are
// not told apart, ends that are further apart than daemons' clocks are of two lives.
func (e Crash) Same(other Crash) bool {
	if !e.Incarnation.Matches(other.Incarnation) {
		return false
	}
	told := e.Incarnation.StartUnixMs != 0 && other.Incarnation.StartUnixMs != 0
	apart := e.Order - other.Order
	return told || max(apart, -apart) < sameEnd.Milliseconds()
}

// Case is what is known of one request.
type Record struct {
	Fingerprint protocol.Fingerprint
	Crashes     []Crash // in order
	Probes      int     // let through while it was held back
	ProbedAt    time.Time
	Software    []Software // on which it has ended endpoints or was tried
	// Returned is the number of trials that reached no endpoint and were given back, and
	// Reopened the number of the last of them. While that one is the last trial of all, the
	// next is due at once. Both only rise.
	Returned, LastReturned int
}

// Standing is what follows from a case.
type Assessment struct {
	Record    Record // not to be changed
	Suspicion int
	NextProbe time.Time // of the next trial; zero for a request that is not held back
}

// Held reports whether the request is held back.
func (s Assessment) Held() bool { return !s.NextProbe.IsZero() }

// Tried reports whether the request has had its chance on this software.
func (s Assessment) ProbedOn(on Software) bool {
	return len(s.Record.Software) >= mostSoftware || slices.Contains(s.Record.Software, on)
}

// TrialDue reports whether a trial may go through.
func (s Assessment) ProbeDue(now time.Time, on Software) bool {
	return s.Held() && (!now.Before(s.NextProbe) || !s.ProbedOn(on))
}

// Lives returns the endpoints that ended and still count, for logs.
func (s Assessment) CrashedEndpoints() []string {
	var list []string
	for _, e := range s.Record.Crashes {
		if !e.Cleared {
			list = append(list, e.Incarnation.ID)
		}
	}
	return list
}

// Last returns when something happened in the case last.
func (s Assessment) LastActivity() time.Time { return s.Record.last() }

// due returns when the next trial of a case that is held back is due.
func (c *Record) due() time.Time {
	reopened := c.Probes > 0 && c.LastReturned == c.Probes
	if reopened && !c.lastEnd().After(c.ProbedAt) {
		return c.ProbedAt
	}
	return c.last().Add(holdFor(c.Probes - c.Returned))
}

// last returns when something happened in a case last.
func (c *Record) last() time.Time {
	if end := c.lastEnd(); end.After(c.ProbedAt) {
		return end
	}
	return c.ProbedAt
}

// wholeEnds returns the whole ends that still count, whatever else ran there.
func (c *Record) wholeEnds() int {
	n := 0
	for _, e := range c.Crashes {
		if !e.Cleared && !e.doubtful() {
			n++
		}
	}
	return n
}

// clone returns a copy that shares nothing.
func (c *Record) clone() Record {
	out := *c
	out.Crashes, out.Software = slices.Clone(c.Crashes), slices.Clone(c.Software)
	return out
}
