// Package quarantine decides what happens to a request during which endpoints have crashed: it is
// sent as usual, it is sent as the only probe of all daemons, or it is refused until the next probe
// is due.
//
// Each daemon holds a set of records, which daemons merge in any order and any number of times, so
// that all of them converge to the same set. Machine is a state machine without I/O: callers pass
// events and the time, and carry out the decisions and send the pending records that it returns.
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
	// wholeCrash is the suspicion that a crash adds to a request whose answer had not begun.
	wholeCrash = 2
	// partialCrash is the suspicion added where the request is a less likely cause: events of the
	// answer had arrived, so the endpoint had survived the start of the answer; or the attempt was
	// sent well before another endpoint crashed during the same request, as happens with a popular
	// request when several endpoints are lost at once.
	partialCrash = 1
	// maxAttempts bounds the attempts of a request that count for one incarnation. Callers repeat a
	// request that has found no model loaded, and once the model is loaded their attempts start
	// together and crash together: three of them at one engine are as much evidence as crashes of
	// three engines.
	maxAttempts = 3
	// holdThreshold is the suspicion from which a request is held back: three whole crashes. Two
	// may be chance; each further one costs an endpoint with all requests running there.
	holdThreshold = 3 * wholeCrash
	// tieThreshold is the suspicion from which a part is held back though another one may as well be
	// the cause of each of its crashes: with so many, it is the one that they have in common.
	tieThreshold = 5 * wholeCrash
	// detectionDelay is how long after a crash it may be detected: an attempt sent within this time
	// before another crash may be a retry caused by that crash.
	detectionDelay = 250 * time.Millisecond
	// sameCrashWithin bounds how far apart the clocks of daemons may place one crash. A second
	// crash of an endpoint within this time is therefore not recognized where incarnations have no
	// start time.
	sameCrashWithin = 2 * time.Second

	// firstHold is the time until the first probe. Each probe multiplies the hold by holdGrowth, up
	// to maxHold. A probe of a request that still crashes endpoints costs one of them with all
	// requests running there, so there are two probes in the first ten minutes and two an hour
	// later on.
	firstHold  = time.Minute
	holdGrowth = 4
	// firstIsolatedHold is the time until the first isolated probe of a part, and isolatedGrowth
	// multiplies it with each. Such parts are mostly innocent, and requests with popular ones are many.
	firstIsolatedHold = time.Second
	isolatedGrowth    = 8
	maxHold           = 30 * time.Minute
	// Retention is how long a record is kept after its last activity. It is longer than the longest
	// hold, so that a hold ends with a probe and not with the removal of the record.
	Retention = time.Hour

	// maxRecords bounds the memory: half a megabyte, at some 200 bytes a record. In a flood of
	// requests that each crash one endpoint, the records with the lowest suspicion are removed
	// first, the oldest of them first. Nothing is lost by that, because a request that has crashed
	// one or two endpoints is sent in any case.
	maxRecords = 2048
	// maxCrashes bounds the crashes of a record; those with the lowest Order are dropped first.
	maxCrashes = 8
	// maxSoftware bounds how often a change of the software alone makes a probe due, and the versions
	// on which a part is known to be served.
	maxSoftware = 4
	// MaxPerMessage bounds the records of one message, at some 100 bytes each.
	MaxPerMessage = 256
)

// Software identifies what a request runs on. A new version may survive a request that crashed the
// previous one.
type Software uint64

// SoftwareOf returns the identifier of a service, a model and its version, or of other parts that
// distinguish the software.
func SoftwareOf(parts ...string) Software {
	return Software(xxhash.Sum64String(strings.Join(parts, "\x00")))
}

// Crash is the crash of one incarnation of an endpoint while it worked on a request.
type Crash struct {
	Incarnation fleet.Incarnation
	// Doubtful is set if events of the answer had arrived, so that the endpoint had survived the
	// start of the answer. The request is then a less likely cause of the crash.
	Doubtful bool
	// ServedBefore is set if some daemon, possibly one that did not detect the crash, had served
	// the same request shortly before, as happens with popular requests. The request is then a less
	// likely cause, too.
	ServedBefore bool
	Sent         time.Time // when the request was sent to the endpoint
	At           time.Time
	// Order is the Unix time in milliseconds by the clock of the daemon that detected the crash
	// first. Unlike At it is the same at all daemons, so that all of them drop the same crashes.
	Order int64
	// Cleared is set if the request has been served since; the crash no longer counts.
	Cleared bool
	// Software is what the endpoint ran. It is set for prompt parts only.
	Software Software
	// Attempts are the tags of the attempts, at any daemon, that crashed with the incarnation;
	// doubtful attempts are left out. The slice is never changed in place.
	Attempts []uint32
}

// doubtful reports whether the crash counts only in part.
func (c Crash) doubtful() bool { return c.Doubtful || c.ServedBefore }

// AttemptTag returns the tag of the attempt that a caller has made under a request id.
func AttemptTag(requestID string) uint32 { return uint32(xxhash.Sum64String(requestID)) }

// Same reports whether both are crashes of the same incarnation of an endpoint. Where incarnations
// of one id carry no start time, crashes further apart than the clocks of daemons belong to
// different incarnations.
func (c Crash) Same(other Crash) bool {
	if !c.Incarnation.Matches(other.Incarnation) {
		return false
	}
	known := c.Incarnation.StartUnixMs != 0 && other.Incarnation.StartUnixMs != 0
	apart := c.Order - other.Order
	return known || max(apart, -apart) < sameCrashWithin.Milliseconds()
}

// Part is a part of a prompt that requests may share. Its fingerprint identifies it in a service.
type Part struct {
	ID          string
	Fingerprint protocol.Fingerprint
}

// maxPartBytes bounds the id of a part that is kept.
const maxPartBytes = 64

// PartOf returns the part with an id in a service's prompts.
func PartOf(service, id string) Part {
	return Part{ID: id[:min(len(id), maxPartBytes)], Fingerprint: protocol.FingerprintOf("prompt-part", service, id, "", nil)}
}

// Record holds the crashes and probes of one suspect: a request, or a part of prompts. All requests
// with a part that crashes endpoints may be unlike each other otherwise.
type Record struct {
	Fingerprint protocol.Fingerprint
	// Part is the id of the prompt part that the record is of; empty for a request.
	Part string
	// ServedOn is the software that has answered requests with the part since it crashed endpoints
	// with other software. They are not held back there.
	ServedOn []Software
	Crashes  []Crash // sorted by Order
	Probes   int     // number of probes granted while it was held back
	ProbedAt time.Time
	Software []Software // on which it has crashed endpoints or was probed
	// Returned is the number of probes that reached no endpoint and were returned, and LastReturned
	// the number (as counted by Probes) of the latest of them. While that is also the latest probe
	// of all, the next one is due at once. Both only grow.
	Returned, LastReturned int
}

// Assessment is what follows from a record.
type Assessment struct {
	Record    Record // must not be changed
	Suspicion int
	NextProbe time.Time // when the next probe is due; zero if the request is not held back
	// Tied is set for a part if another one, which came with it, may as well be the cause of each crash.
	// Requests in which nothing else is suspect are sent: they tell which of them it is.
	Tied bool
	// NextIsolatedProbe is when the next probe is due by a request in which nothing else is suspect,
	// for a part of which another one may as well be the cause of each crash, or that was served
	// shortly before each. It is zero for others.
	NextIsolatedProbe time.Time
}

// Held reports whether the request is held back.
func (a Assessment) Held() bool { return !a.NextProbe.IsZero() }

// ProbedOn reports whether the request has crashed endpoints or was probed on this software, or on
// so many versions that a new one is no reason for a probe. It never is for a part, which may be in
// any number of requests.
func (a Assessment) ProbedOn(on Software) bool {
	return a.Record.Part != "" || len(a.Record.Software) >= maxSoftware || slices.Contains(a.Record.Software, on)
}

// ProbeDue reports whether a probe may be sent. isolated is set if nothing else of the request is
// suspect.
func (a Assessment) ProbeDue(now time.Time, on Software, isolated bool) bool {
	if isolated && !a.NextIsolatedProbe.IsZero() && !now.Before(a.NextIsolatedProbe) {
		return true
	}
	return a.Held() && (!now.Before(a.NextProbe) || !a.ProbedOn(on))
}

// Due returns when the next probe is due.
func (a Assessment) Due(isolated bool) time.Time {
	if isolated && !a.NextIsolatedProbe.IsZero() {
		return a.NextIsolatedProbe
	}
	return a.NextProbe
}

// AllowedOn reports whether requests with the part may be sent to endpoints with some software though
// they are held back.
func (a Assessment) AllowedOn(on Software) bool {
	return slices.Contains(a.Record.ServedOn, on)
}

// CrashedEndpoints returns the ids of the endpoints whose crashes are not cleared, for logs.
func (a Assessment) CrashedEndpoints() []string {
	var list []string
	for _, crash := range a.Record.Crashes {
		if !crash.Cleared {
			list = append(list, crash.Incarnation.ID)
		}
	}
	return list
}

// LastActivity returns the time of the latest crash or probe.
func (a Assessment) LastActivity() time.Time { return a.Record.lastActivity() }

// nextProbe returns when the next probe of a request that is held back is due, by the time of its first
// hold and the growth of the next ones.
func (r *Record) nextProbe(first, growth time.Duration) time.Time {
	returned := r.Probes > 0 && r.LastReturned == r.Probes
	if returned && !r.lastCrash().After(r.ProbedAt) {
		return r.ProbedAt
	}
	return r.lastActivity().Add(holdTime(first, growth, r.Probes-r.Returned))
}

// lastActivity returns the time of the latest crash or probe.
func (r *Record) lastActivity() time.Time {
	if crash := r.lastCrash(); crash.After(r.ProbedAt) {
		return crash
	}
	return r.ProbedAt
}

// wholeCrashes returns the number of whole crashes that are not cleared, regardless of other
// requests that ran at the endpoints.
func (r *Record) wholeCrashes() int {
	n := 0
	for _, crash := range r.Crashes {
		if !crash.Cleared && !crash.doubtful() {
			n++
		}
	}
	return n
}

// clone returns a copy whose Crashes and Software can be changed without affecting the original.
func (r *Record) clone() Record {
	out := *r
	out.Crashes, out.Software, out.ServedOn = slices.Clone(r.Crashes), slices.Clone(r.Software), slices.Clone(r.ServedOn)
	return out
}
