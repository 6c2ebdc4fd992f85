// Package stall decides when a stream that stands still is taken from its engine or ended. It goes
// by the stream's own pace, and by what the daemon knows about the engine. It does no I/O and reads
// no clock.
package stall

import (
	"time"

	"github.com/doorvalve/doorvalve/coordination/reach"
)

const (
	// minGaps is the number of gaps between events from which a stream's pace is known.
	minGaps = 4
	// gapStep is the weight of one gap in the moving average.
	gapStep = 0.2
	// A stream stands still after meanFactor times its mean gap and longestFactor times its longest
	// one. A step with the prompts of other requests takes an engine 10 to 30 times as long as a step
	// without; the longest gap shows such steps once the stream has met one.
	meanFactor    = 10
	longestFactor = 3
	// unlistedSilence is the time of silence after which a stream leaves an engine that is not listed any
	// more and answers nobody. An entry also lapses while its engine cannot reach the store, and a prompt
	// of 40,000 tokens keeps an engine silent for up to 2 s.
	unlistedSilence = 3 * time.Second
	// soundPause is the longest pause of a sound engine that goes on by itself.
	soundPause = 2 * time.Second
	// longestPause is longer than any pause of an engine that goes on.
	longestPause = 4 * time.Second
)

// Pace is the pace of a stream's events. The zero value is ready to use.
type Pace struct {
	gaps    int
	mean    time.Duration
	longest time.Duration
}

// Observe adds the gap between two events.
func (p *Pace) Observe(gap time.Duration) {
	gap = max(0, gap)
	if p.gaps == 0 {
		p.mean = gap
	}
	p.gaps++
	p.mean += time.Duration(gapStep * float64(gap-p.mean))
	p.longest = max(p.longest, gap)
}

// Bounds bound the silence after which a stream counts as standing still.
type Bounds struct {
	Min time.Duration // ordinary pauses are shorter
	Max time.Duration // used while the pace is unknown
}

// Patience returns how long a stream may be silent before it counts as standing still.
func (p *Pace) Patience(b Bounds) time.Duration {
	most := max(b.Min, b.Max)
	if p.gaps < minGaps || p.mean > most/meanFactor || p.longest > most/longestFactor {
		return most
	}
	return max(b.Min, meanFactor*p.mean, longestFactor*p.longest)
}

// Evidence is what a daemon knows about the engine of a silent stream.
type Evidence struct {
	// Replaced: a later incarnation of the engine is listed.
	Replaced bool
	// Unlisted: the engine's entry is not listed any more. It may serve on all the same.
	Unlisted bool
	// Leaving: the engine is leaving. It may refuse connections and still end its streams.
	Leaving bool
	// Life is what a check of the engine has shown during the silence.
	Life reach.Life
}

// Stream is what a daemon knows about a silent stream.
type Stream struct {
	// Movable: another engine can continue the stream.
	Movable bool
	// Stopping: the daemon is stopping, and waits for its streams.
	Stopping bool
	Patience time.Duration // see Pace.Patience
	Bounds   Bounds
}

// LostAfter returns the time of silence after which a stream counts as lost. It returns false if the
// stream is waited for: an engine that is quiet has not ended by that, nor one whose entry is gone, unless
// it is quiet for longer than a sound one. A stream that no other engine can continue gains nothing by an
// early end.
func LostAfter(e Evidence, s Stream) (time.Duration, bool) {
	switch {
	case e.Replaced:
		return s.Bounds.Min, true
	case !s.Movable && s.Stopping:
		return 0, false
	case !s.Movable && (e.Unlisted || e.endIsLikely()):
		return max(s.Patience, longestPause), true
	case !e.endIsLikely():
		return 0, false
	case e.Life == reach.LifeSilent:
		return max(s.Bounds.Min, min(s.Patience, unlistedSilence)), true
	case e.Leaving:
		return s.Patience, true
	}
	return s.Bounds.Min, true
}

// endIsLikely reports whether a check has found nothing at the engine's address. A listed engine that
// does not answer may be busy.
func (e Evidence) endIsLikely() bool {
	return e.Life == reach.LifeGone || e.Life == reach.LifeSilent && e.Unlisted
}

// TakesOver reports whether a request that is silent for the given time may move to an engine that has given no sign of
// life itself for quiet. Engines that pause together take nothing over from each other: all their requests would be sent
// once more, and none would be answered sooner. Before its caller leaves after maxWait, a request moves in any case.
func TakesOver(silence, quiet time.Duration, b Bounds, maxWait time.Duration) bool {
	last := max(b.Max, min(b.Max+soundPause, maxWait*3/4))
	return quiet < silence/2 || silence >= last
}
