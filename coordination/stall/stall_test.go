package stall

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
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

// Streams are ended only with evidence that the engine is gone, later if the evidence is weak, and
// never while they proceed.
func TestLostAfter(t *testing.T) {
	const patience = 2 * time.Second
	for name, c := range map[string]struct {
		e        Evidence
		patience time.Duration
		want     time.Duration
		lost     bool
	}{
		"nothing known":                  {Evidence{}, patience, 0, false},
		"leaving":                        {Evidence{Leaving: true}, patience, 0, false},
		"refuses connections":            {Evidence{Refused: true}, patience, bounds.Min, true},
		"refuses connections as leaving": {Evidence{Refused: true, Leaving: true}, patience, patience, true},
		"started again":                  {Evidence{Replaced: true, Unlisted: true, Leaving: true}, patience, bounds.Min, true},
		"not listed":                     {Evidence{Unlisted: true}, patience, patience, true},
		"not listed, pace unknown":       {Evidence{Unlisted: true}, 10 * time.Second, unlistedSilence, true},
		"not listed, no patience":        {Evidence{Unlisted: true}, -1, bounds.Min, true},
	} {
		got, lost := LostAfter(c.e, c.patience, bounds)
		if got != c.want || lost != c.lost {
			t.Errorf("%s: %v %v, want %v %v", name, got, lost, c.want, c.lost)
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
