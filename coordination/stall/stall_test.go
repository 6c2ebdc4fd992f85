package stall

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/coordination/reach"
)

const ms = time.Millisecond

var bounds = Bounds{Min: 500 * ms, Max: 5 * time.Second}

// repeat returns n equal gaps.
func repeat(n int, gap time.Duration) []time.Duration {
	list := make([]time.Duration, n)
	for i := range list {
		list[i] = gap
	}
	return list
}

// A stream with a known pace is not waited for as long as one without, and a pause that is usual for
// the stream is not taken for a stop.
func TestPatienceFollowsThePace(t *testing.T) {
	for name, c := range map[string]struct {
		gaps []time.Duration
		b    Bounds
		want time.Duration
	}{
		"no events":                     {nil, bounds, bounds.Max},
		"too few events":                {repeat(minGaps-1, 30*ms), bounds, bounds.Max},
		"fast":                          {repeat(20, 30*ms), bounds, bounds.Min},
		"slow":                          {repeat(20, 150*ms), bounds, 1500 * ms},
		"a long pause has occurred":     {append(repeat(20, 30*ms), 450*ms, 30*ms, 30*ms), bounds, 1350 * ms},
		"slower than the fixed time":    {repeat(20, 4*time.Second), bounds, bounds.Max},
		"negative gaps":                 {repeat(20, -time.Second), bounds, bounds.Min},
		"absurd gaps":                   {repeat(20, math.MaxInt64), bounds, bounds.Max},
		"fixed time below the minimum":  {repeat(20, 30*ms), Bounds{Min: 500 * ms, Max: 100 * ms}, 500 * ms},
		"no bounds":                     {repeat(20, 30*ms), Bounds{}, 0},
		"all events came in one packet": {repeat(20, 0), bounds, bounds.Min},
	} {
		var p Pace
		for _, g := range c.gaps {
			p.Observe(g)
		}
		if got := p.Patience(c.b); got < c.want-ms || got > c.want+ms {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// Guards against streams that are ended because their engine is quiet or its entry is gone: every evidence,
// for streams that can move and others, at daemons that stop and others.
func TestLostAfter(t *testing.T) {
	const patience = 2 * time.Second
	const never = time.Duration(-1)
	type row struct{ movable, fixed, fixedStopping time.Duration } // fixed: no other engine can continue the stream
	waited := row{never, never, never}
	replaced := row{bounds.Min, bounds.Min, bounds.Min}
	for _, c := range []struct {
		name string
		e    Evidence
		want row
	}{
		{"nothing known", Evidence{}, waited},
		{"leaving", Evidence{Leaving: true}, waited},
		{"not listed, not checked", Evidence{Unlisted: true}, row{never, longestPause, never}},
		{"not listed and leaving, not checked", Evidence{Unlisted: true, Leaving: true}, row{never, longestPause, never}},

		{"takes connections", Evidence{Life: reach.LifeServing}, waited},
		{"takes connections, leaving", Evidence{Life: reach.LifeServing, Leaving: true}, waited},
		{"takes connections, not listed", Evidence{Life: reach.LifeServing, Unlisted: true}, row{never, longestPause, never}},
		{"takes connections, not listed and leaving", Evidence{Life: reach.LifeServing, Unlisted: true, Leaving: true}, row{never, longestPause, never}},

		{"silent", Evidence{Life: reach.LifeSilent}, waited},
		{"silent, leaving", Evidence{Life: reach.LifeSilent, Leaving: true}, waited},
		{"silent, not listed", Evidence{Life: reach.LifeSilent, Unlisted: true}, row{patience, longestPause, never}},
		{"silent, not listed and leaving", Evidence{Life: reach.LifeSilent, Unlisted: true, Leaving: true}, row{patience, longestPause, never}},

		{"gone", Evidence{Life: reach.LifeGone}, row{bounds.Min, longestPause, never}},
		{"gone, leaving", Evidence{Life: reach.LifeGone, Leaving: true}, row{patience, longestPause, never}},
		{"gone, not listed", Evidence{Life: reach.LifeGone, Unlisted: true}, row{bounds.Min, longestPause, never}},
		{"gone, not listed and leaving", Evidence{Life: reach.LifeGone, Unlisted: true, Leaving: true}, row{patience, longestPause, never}},

		{"replaced", Evidence{Replaced: true, Unlisted: true}, replaced},
		{"replaced, leaving", Evidence{Replaced: true, Unlisted: true, Leaving: true}, replaced},
		{"replaced, takes connections", Evidence{Replaced: true, Unlisted: true, Life: reach.LifeServing}, replaced},
		{"replaced, silent", Evidence{Replaced: true, Unlisted: true, Life: reach.LifeSilent}, replaced},
		{"replaced, gone", Evidence{Replaced: true, Unlisted: true, Leaving: true, Life: reach.LifeGone}, replaced},
	} {
		for _, s := range []struct {
			name   string
			stream Stream
			want   time.Duration
		}{
			{"movable", Stream{Movable: true}, c.want.movable},
			{"movable, stopping", Stream{Movable: true, Stopping: true}, c.want.movable},
			{"fixed", Stream{}, c.want.fixed},
			{"fixed, stopping", Stream{Stopping: true}, c.want.fixedStopping},
		} {
			s.stream.Patience, s.stream.Bounds = patience, bounds
			got, lost := LostAfter(c.e, s.stream)
			if lost != (s.want != never) || lost && got != s.want {
				t.Errorf("%s, %s: %v %v, want %v", c.name, s.name, got, lost, s.want)
			}
		}
	}
}

// The time of silence lies within the bounds where the pace is unknown or slow.
func TestLostAfterIsBounded(t *testing.T) {
	gone := Evidence{Unlisted: true, Life: reach.LifeSilent}
	for name, c := range map[string]struct {
		s    Stream
		want time.Duration
	}{
		"pace unknown":            {Stream{Movable: true, Patience: 10 * time.Second, Bounds: bounds}, unlistedSilence},
		"no patience":             {Stream{Movable: true, Patience: -1, Bounds: bounds}, bounds.Min},
		"no patience, fixed":      {Stream{Patience: -1, Bounds: bounds}, longestPause},
		"very slow stream, fixed": {Stream{Patience: 10 * time.Second, Bounds: bounds}, 10 * time.Second},
	} {
		if got, lost := LostAfter(gone, c.s); got != c.want || !lost {
			t.Errorf("%s: %v %v, want %v", name, got, lost, c.want)
		}
	}
}

// simulate plays streams at engines that work, and returns how many of them are taken for stopped,
// how long a stream that stops at some event is waited for on average, and the longest gaps in order.
func simulate(patience func(*Pace) time.Duration) (mistaken int, wait time.Duration, longest []time.Duration) {
	const streams, events = 4000, 58
	rng := rand.New(rand.NewPCG(1, 0))
	for range streams {
		var p Pace
		stopAt, taken := rng.IntN(events), false
		for i := range events {
			if i == stopAt {
				wait += patience(&p) / streams
			}
			gap := time.Duration((25 + 10*rng.Float64()) * float64(ms))
			if rng.IntN(10) == 0 { // steps with the prompts of other requests
				gap += time.Duration(math.Abs(rng.NormFloat64()) * 149 * float64(ms))
			}
			taken = taken || gap >= patience(&p)
			p.Observe(gap)
		}
		if taken {
			mistaken++
		}
		longest = append(longest, p.longest)
	}
	slices.Sort(longest)
	return mistaken, wait, longest
}

// With the gaps of the contended deployment (58 events; longest gap of a stream: median 262 ms, p99
// 451 ms), a stopped stream is noticed in less than half the fixed time, and at most 1% of the
// streams at engines that work are taken for stopped.
func TestStoppedStreamsAreNoticedSooner(t *testing.T) {
	fixed := Bounds{Min: 500 * ms, Max: 2 * time.Second} // half of MaxWait, 8 times a gap target of 500 ms
	mistakenBefore, before, _ := simulate(func(*Pace) time.Duration { return fixed.Max })
	mistaken, now, longest := simulate(func(p *Pace) time.Duration { return p.Patience(fixed) })
	t.Logf("longest gap: median %v, p99 %v", longest[len(longest)/2], longest[len(longest)*99/100])
	t.Logf("fixed time: %v, %d mistaken; own pace: %v, %d mistaken of %d", before, mistakenBefore, now, mistaken, len(longest))
	if median, p99 := longest[len(longest)/2], longest[len(longest)*99/100]; median < 250*ms || p99 < 451*ms {
		t.Errorf("the model is milder than the deployment: median %v, p99 %v", median, p99)
	}
	if now > before/2 {
		t.Errorf("a stopped stream is waited for %v, %v before", now, before)
	}
	if mistaken > len(longest)/100 {
		t.Errorf("%d of %d streams were taken for stopped", mistaken, len(longest))
	}
}

// Guards against requests that move between engines that pause together, and against callers of a dead engine that leave
// before their requests move.
func TestTakesOver(t *testing.T) {
	const maxWait = 8 * time.Second
	for _, c := range []struct {
		name           string
		silence, quiet time.Duration
		b              Bounds
		want           bool
	}{
		{"an idle engine", 500 * ms, 0, bounds, true},
		{"an engine that works", 500 * ms, 60 * ms, bounds, true},
		{"both pause", 500 * ms, 500 * ms, bounds, false},
		{"both pause, a little apart", 500 * ms, 450 * ms, bounds, false},
		{"both pause, the longest pause", 2 * time.Second, 2 * time.Second, bounds, false},
		{"the other has gone on", 2 * time.Second, 100 * ms, bounds, true},
		{"the caller is about to leave", 6 * time.Second, 6 * time.Second, bounds, true},
		{"a whole answer, in a pause", 3 * time.Second, 3 * time.Second, Bounds{time.Second + ms, time.Second + ms}, false},
		{"a whole answer, after a pause", 3010 * ms, 3010 * ms, Bounds{time.Second, time.Second}, true},
	} {
		if got := TakesOver(c.silence, c.quiet, c.b, maxWait); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
