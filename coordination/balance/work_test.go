package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/coordination/promptcache"
	"github.com/doorvalve/doorvalve/coordination/workcost"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/fleet"
)

// sameDomain returns endpoints of service llm in the failure domain of newBalancer("d", ...).
func sameDomain(ids ...string) []*fleet.Endpoint {
	list := endpoints(ids...)
	for _, e := range list {
		e.Service, e.FailureDomain = "llm", "d"
	}
	return list
}

func sized(prompt, output int) Query {
	return Query{Unit: "m", Work: workcost.Work{Prompt: prompt, Output: output}}
}

// Guards against a change for deployments whose prompts are all short: with equal engines, choices
// are those by the number of requests while the pending prompts take less than a pause.
func TestShortPromptsAreRoutedByTheNumberOfRequests(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	list := sameDomain("a", "b", "c", "d")
	for trial := range 500 {
		all := EngineLoads{}
		for _, e := range list {
			all[e.Incarnation()] = EngineLoad{Running: rng.IntN(70)}
		}
		reported := trial%2 == 0
		var picked [2]string
		for i, q := range []Query{{Unit: "m", Affinity: "part"}, sized(200, 100)} {
			q.Affinity = "part"
			b := newBalancer("d", uint64(trial))
			if reported {
				b.ReceiveLoads("llm", start, all, EngineLoads{})
			}
			for n := range 5 {
				b.Started(start, list[n%3], q)
				now := start.Add(time.Duration(n) * time.Millisecond)
				picked[i] += b.Pick(now, list, q).ID
			}
		}
		if picked[0] != picked[1] {
			t.Fatalf("trial %d: picked %s by number and %s with sizes", trial, picked[0], picked[1])
		}
	}
}

func TestPickByWork(t *testing.T) {
	a, b := incarnation("a"), incarnation("b")
	for _, c := range []struct {
		name  string
		loads EngineLoads
		query Query
		want  string
	}{
		{"short prompts avoid an engine that processes a long one", EngineLoads{a: {Running: 1, PendingPrompt: 30_000}, b: {Running: 12, PendingPrompt: 800}}, sized(800, 100), "b"},
		{"requests of unknown size go by the number", EngineLoads{a: {Running: 1, PendingPrompt: 30_000}, b: {Running: 60, PendingPrompt: 800}}, Query{Unit: "m"}, "a"},
		{"long prompts go to the engine that finishes them first", EngineLoads{a: {Running: 2, PendingPrompt: 25_000}, b: {Running: 2, PendingPrompt: 5_000}}, sized(20_000, 50), "b"},
		{"a fast engine finishes a long prompt earlier in spite of its load", EngineLoads{a: {Running: 1, Speed: 0.4}, b: {Running: 4, PendingPrompt: 5_000, Speed: 2}}, sized(20_000, 50), "b"},
		{"no long prompt beyond the bound", EngineLoads{a: {Running: 1, PendingPrompt: 20_000}, b: {Running: 200}}, Query{Unit: "m", Work: workcost.Work{Prompt: 5000}, GapTarget: 300 * time.Millisecond}, "b"},
		{"without a gap target there is no bound", EngineLoads{a: {Running: 1, PendingPrompt: 20_000}, b: {Running: 200}}, Query{Unit: "m", Work: workcost.Work{Prompt: 5000}}, "a"},
		{"the bound does not apply to short prompts", EngineLoads{a: {Running: 1, PendingPrompt: 20_000}, b: {Running: 200}}, Query{Unit: "m", Work: workcost.Work{Prompt: 100}, GapTarget: 300 * time.Millisecond}, "a"},
		{"a full cache comes last", EngineLoads{a: {Running: 1, Held: 95_000}, b: {Running: 300, PendingPrompt: 100_000, Held: 90_000}}, Query{Unit: "m", Work: workcost.Work{Prompt: 5000, Output: 1000}, CacheTokens: 100_000}, "b"},
		{"unknown cache size", EngineLoads{a: {Running: 1, Held: 95_000}, b: {Running: 60, Held: 90_000}}, sized(5000, 1000), "a"},
		{"absurd loads", EngineLoads{a: {Running: 1, PendingPrompt: -5, Held: -7, Speed: math.NaN()}, b: {Running: 30, PendingPrompt: math.MaxInt, Held: math.MaxInt, Speed: math.Inf(1)}}, sized(5000, 1000), "a"},
	} {
		for seed := range uint64(20) {
			balancer := newBalancer("d", seed)
			balancer.ReceiveLoads("llm", start, c.loads, EngineLoads{})
			if got := balancer.Pick(start, sameDomain("a", "b"), c.query).ID; got != c.want {
				t.Errorf("%s: picked %s, want %s", c.name, got, c.want)
				break
			}
		}
	}
}

// Without a report, this daemon's own pending prompts, held tokens and the bound still count.
func TestPickByOwnWork(t *testing.T) {
	list := sameDomain("a", "b")
	b := newBalancer("d", 1)
	b.SetDaemons(100)
	long := b.Started(start, list[0], sized(40_000, 10))
	for range 3 {
		b.Started(start, list[1], sized(100, 10))
	}
	if e := b.Pick(start, list, sized(800, 100)); e.ID != "b" {
		t.Fatal("picked the engine that processes this daemon's long prompt")
	}
	b.FirstEvent(start, &long, time.Second)
	if e := b.Pick(start, list, sized(800, 100)); e.ID != "a" {
		t.Fatal("the engine is avoided after the prompt's first event")
	}
	full := sized(800, 100)
	full.CacheTokens = 40_500
	if e := b.Pick(start, list, full); e.ID != "b" {
		t.Fatal("picked an engine whose cache does not hold the request")
	}
}

// What engines have processed since a report does not count. A report of others' work that has
// expired does not count at all.
func TestReportedPromptsDrain(t *testing.T) {
	list := sameDomain("a", "b")
	b := newBalancer("d", 1)
	b.ReceiveLoads("llm", start, EngineLoads{incarnation("a"): {Running: 1, PendingPrompt: 30_000}, incarnation("b"): {Running: 20}}, EngineLoads{})
	for _, c := range []struct {
		after time.Duration
		want  string
	}{{0, "b"}, {200 * time.Millisecond, "b"}, {1100 * time.Millisecond, "a"}} {
		if got := b.Pick(start.Add(c.after), list, sized(800, 100)).ID; got != c.want {
			t.Errorf("after %v: picked %s, want %s", c.after, got, c.want)
		}
	}
}

// Guards against work that stays counted after requests have ended, in whatever way: the engine would
// look busy until its end.
func TestTicketsCountBackToZero(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 5))
	list := sameDomain("a", "b")
	b := newBalancer("d", 1)
	var open []*Ticket
	for range 5000 {
		e := list[rng.IntN(2)]
		q := sized(rng.IntN(50_000), rng.IntN(1000))
		q.Parts = []protocol.PromptPart{{ID: fmt.Sprint(rng.IntN(5)), Tokens: rng.IntN(60_000)}}
		ticket := b.Started(start, e, q)
		open = append(open, &ticket)
		for _, i := range []int{rng.IntN(len(open)), rng.IntN(len(open))} {
			b.FirstEvent(start, open[i], time.Millisecond) // also twice
		}
		if len(open) > 20 {
			i := rng.IntN(len(open))
			b.Ended(start, open[i], time.Second, rng.IntN(2) == 0)
			open = append(open[:i], open[i+1:]...)
		}
	}
	for _, ticket := range open {
		b.Ended(start, ticket, time.Second, rng.IntN(2) == 0)
	}
	for _, e := range list {
		if own := b.load(e.Incarnation()).own; own != (EngineLoad{}) {
			t.Errorf("%s: %+v left", e.ID, own)
		}
	}
	if len(b.OwnLoads()) != 0 {
		t.Errorf("reported %v", b.OwnLoads())
	}
}

func TestOwnLoads(t *testing.T) {
	list := sameDomain("a")
	b := newBalancer("d", 1)
	first := b.Started(start, list[0], sized(1000, 50))
	b.Started(start, list[0], sized(300, 20))
	b.Started(start, list[0], Query{Unit: "m"})
	b.FirstEvent(start, &first, time.Second)
	if got, want := b.OwnLoads()[incarnation("a")], (EngineLoad{Running: 3, PendingPrompt: 300, Held: 1370}); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
	if n := b.OwnRunning()[incarnation("a")]; n != 3 {
		t.Errorf("%d running", n)
	}
	for range 3 { // the first three measurements teach the pace of the model alone
		ticket := b.Started(start, list[0], sized(1000, 50))
		b.FirstEvent(start, &ticket, time.Second)
	}
	samples := b.TakeSamples("llm")
	if len(samples) != 1 || samples[0].Count != 1 || len(b.TakeSamples("llm")) != 0 || b.TakeSamples("other") != nil {
		t.Errorf("samples %+v, want one measurement, once", samples)
	}
}

// An engine that has processed the prompt's parts gets the request, unless the wait is longer than
// the time saved.
func TestHeldPartsAreWeighedAgainstTheWait(t *testing.T) {
	q := sized(9000, 50)
	q.Parts = []protocol.PromptPart{{ID: "system", Tokens: 5000}, {ID: "document", Tokens: 3000}, {ID: "own", Tokens: 1000}}
	follow := q
	follow.Parts = []protocol.PromptPart{{ID: "system", Tokens: 5000}, {ID: "document", Tokens: 3000}, {ID: "other", Tokens: 1000}}
	list := sameDomain("a", "b")
	for _, c := range []struct {
		name    string
		pending int // at a, which holds the parts
		after   time.Duration
		change  func(*Balancer)
		want    string
	}{
		{"held", 0, 0, func(*Balancer) {}, "a"},
		{"a wait shorter than the time saved", 4000, 0, func(*Balancer) {}, "a"},
		{"a wait longer than the time saved", 20_000, 0, func(*Balancer) {}, "b"},
		{"not used for long", 0, promptcache.HeldFor, func(*Balancer) {}, "b"},
		{"the engine reports that it no longer holds the model", 0, 0, func(b *Balancer) {
			b.MarkAbsent(start, incarnation("a"), "m")
			b.ClearAbsent(incarnation("a"), "m")
		}, "b"},
		{"the engine reports that it does not hold another model", 0, 0, func(b *Balancer) { b.MarkAbsent(start, incarnation("a"), "m2") }, "a"},
		{"the engine has left the view", 0, 0, func(b *Balancer) { b.Retain(fleet.NewView(list[0].Version, list[1:])) }, "b"},
	} {
		b := newBalancer("d", 1)
		ticket := b.Started(start, list[0], q)
		b.FirstEvent(start, &ticket, 300*time.Millisecond)
		b.Ended(start, &ticket, time.Second, true)
		c.change(b)
		now := start.Add(c.after)
		// Engine b is slightly preferred: it has fewer requests.
		b.ReceiveLoads("llm", now, EngineLoads{incarnation("a"): {Running: 3, PendingPrompt: c.pending}, incarnation("b"): {}}, EngineLoads{})
		if got := b.Pick(now, list, follow).ID; got != c.want {
			t.Errorf("%s: picked %s, want %s", c.name, got, c.want)
		}
	}
}

// Guards against parts that count as held after another beginning, in another order or by another
// model, where no engine can reuse them.
func TestPrefixesAreCumulative(t *testing.T) {
	p := promptcache.New()
	x, y, z := protocol.PromptPart{ID: "x", Tokens: 10}, protocol.PromptPart{ID: "y", Tokens: 5}, protocol.PromptPart{ID: "z", Tokens: 1}
	p.Observe(start, "m", []protocol.PromptPart{x, y, z}, incarnation("a"))
	p.Observe(start, "m", []protocol.PromptPart{x}, incarnation("b"))
	for _, c := range []struct {
		unit  string
		parts []protocol.PromptPart
		a, b  int
	}{
		{"m", []protocol.PromptPart{x, y, z}, 16, 10},
		{"m", []protocol.PromptPart{x, y}, 15, 10},
		{"m", []protocol.PromptPart{x, z, y}, 10, 10},
		{"m", []protocol.PromptPart{y, x}, 0, 0},
		{"m2", []protocol.PromptPart{x, y}, 0, 0},
		{"m", nil, 0, 0},
	} {
		held := p.Held(start, c.unit, c.parts)
		if a, b := held.At(incarnation("a")), held.At(incarnation("b")); a != c.a || b != c.b {
			t.Errorf("%s %v: held %d and %d, want %d and %d", c.unit, c.parts, a, b, c.a, c.b)
		}
	}
}

// The coordinator is asked for a long prompt if all candidates process prompts by a recent report,
// and at most once in askInterval.
func TestLongPromptAsksIfAllProcess(t *testing.T) {
	list := sameDomain("a", "b")
	busy := EngineLoads{incarnation("a"): {Running: 1, PendingPrompt: 30_000}, incarnation("b"): {Running: 1, PendingPrompt: 9_000}}
	oneFree := EngineLoads{incarnation("a"): {Running: 1, PendingPrompt: 30_000}, incarnation("b"): {Running: 1, PendingPrompt: 500}}
	for _, c := range []struct {
		name  string
		loads EngineLoads
		query Query
		after time.Duration
		want  bool
	}{
		{"long, all busy", busy, sized(9000, 50), 0, true},
		{"short, all busy", busy, sized(200, 50), 0, false},
		{"unknown, all busy", busy, Query{Unit: "m"}, 0, false},
		{"long, one free", oneFree, sized(9000, 50), 0, false},
		{"long, processed since the report", busy, sized(9000, 50), 500 * time.Millisecond, false},
		{"long, old report", busy, sized(9000, 50), reportTTL, false},
	} {
		b := newBalancer("d", 1)
		b.ReceiveLoads("llm", start, c.loads, EngineLoads{})
		if got := b.NearCapacity(start.Add(c.after), list, c.query); got != c.want {
			t.Errorf("%s: %t", c.name, got)
		}
	}
	b := newBalancer("d", 1)
	asked := 0
	for at := time.Duration(0); at < 10*askInterval; at += 10 * time.Millisecond {
		b.ReceiveLoads("llm", start.Add(at), busy, EngineLoads{})
		if b.NearCapacity(start.Add(at), list, sized(9000, 50)) {
			asked++
		}
	}
	if asked != 10 {
		t.Errorf("%d questions in ten intervals", asked)
	}
}

// The strictest gap target of recent requests bounds the prompts at an engine, also for requests
// without one.
func TestStrictestGapTargetApplies(t *testing.T) {
	s := newBalancer("d", 1).service("llm")
	for _, c := range []struct {
		at     time.Duration
		target time.Duration
		want   time.Duration
	}{
		{0, 0, 0},
		{0, 500 * time.Millisecond, 500 * time.Millisecond},
		{time.Second, 300 * time.Millisecond, 300 * time.Millisecond},
		{2 * time.Second, 600 * time.Millisecond, 300 * time.Millisecond},
		{3 * time.Second, -1, 300 * time.Millisecond},
		{time.Second + gapTargetFor, 600 * time.Millisecond, 600 * time.Millisecond},
	} {
		if s.noteGapTarget(start.Add(c.at), c.target); s.gapTarget != c.want {
			t.Errorf("after %v with %v: %v, want %v", c.at, c.target, s.gapTarget, c.want)
		}
	}
}

// An engine's speed that changes suddenly is learned from this daemon's own first events in ten
// requests, also while no reports arrive.
func TestSuddenSlownessIsLearned(t *testing.T) {
	list := sameDomain("a", "b")
	b := newBalancer("d", 1)
	now := start
	q := sized(9000, 50)
	serve := func(e *fleet.Endpoint, first time.Duration) {
		ticket := b.Started(now, e, q)
		b.FirstEvent(now, &ticket, first)
		b.Ended(now, &ticket, 2*first, true)
		now = now.Add(100 * time.Millisecond)
	}
	const usual = 350 * time.Millisecond
	for range 10 { // without them, the model could be slow, and not the engine
		serve(list[0], usual)
		serve(list[1], usual)
	}
	for range 10 {
		serve(list[0], 3*usual)
	}
	for range 10 {
		if e := b.Pick(now, list, q); e.ID != "b" {
			t.Fatal("picked the slow engine")
		}
	}
}

// The choice for a request of known size: among the holders of a model in a large deployment, and
// among all engines if all hold it.
func BenchmarkPickByWork(b *testing.B) {
	for _, c := range []struct{ engines, holders int }{{9, 9}, {600, 6}, {600, 30}, {600, 600}} {
		b.Run(fmt.Sprint(c.holders, " of ", c.engines, " engines"), func(b *testing.B) {
			s := newSite(1, c.engines, 12, 1, c.holders)
			all := EngineLoads{}
			for i, e := range s.engines {
				e.ID = fmt.Sprintf("engine-with-a-rather-long-name-%04d", i)
				all[e.Incarnation()] = EngineLoad{Running: i % 12, PendingPrompt: i % 5 * 3000, Held: i % 12 * 9000, Speed: 0.5 + float64(i%10)/10}
			}
			s.daemons[0].ReceiveLoads("llm", start, all, EngineLoads{})
			q := Query{Unit: "m", Affinity: strings.Repeat("p", 32), Work: workcost.Work{Prompt: 9190, Output: 50}, GapTarget: 500 * time.Millisecond, CacheTokens: 232_000}
			for i := range 4 {
				q.Parts = append(q.Parts, protocol.PromptPart{ID: fmt.Sprint("part", i), Tokens: 2000})
			}
			ticket := s.daemons[0].Started(start, s.holders[0][0], q)
			s.daemons[0].FirstEvent(start, &ticket, 300*time.Millisecond)
			b.ReportAllocs()
			for b.Loop() {
				s.daemons[0].Pick(start, s.holders[0], q)
			}
		})
	}
}

// Applying a coordinator's report on the work at all engines.
func BenchmarkReceiveLoads(b *testing.B) {
	for _, engines := range []int{9, 124, 600} {
		b.Run(fmt.Sprint(engines, " engines"), func(b *testing.B) {
			s, all := newSite(1, engines, 12, 1, 6), EngineLoads{}
			for i, e := range s.engines {
				all[e.Incarnation()] = EngineLoad{Running: i % 12, PendingPrompt: i % 5 * 3000, Held: i % 12 * 9000, Speed: 0.5 + float64(i%10)/10}
			}
			b.ReportAllocs()
			for b.Loop() {
				s.daemons[0].ReceiveLoads("llm", start, all, s.daemons[0].OwnLoads())
			}
		})
	}
}

// Guards against allocations in the choice of an engine with room.
func TestPickDoesNotAllocate(t *testing.T) {
	list := sameDomain("an-engine-with-a-rather-long-name-a", "an-engine-with-a-rather-long-name-b")
	b := newBalancer("d", 1)
	b.ReceiveLoads("llm", start, EngineLoads{list[0].Incarnation(): {Running: 1}, list[1].Incarnation(): {Running: 2}}, EngineLoads{})
	q := sized(9000, 50)
	q.Affinity, q.Parts = strings.Repeat("p", 32), []protocol.PromptPart{{ID: "x", Tokens: 100}, {ID: "y", Tokens: 8900}}
	ticket := b.Started(start, list[0], q)
	b.FirstEvent(start, &ticket, 300*time.Millisecond)
	if n := testing.AllocsPerRun(100, func() { b.Pick(start, list, q) }); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

// The coordinator chooses engines only while it answers, prompts are long and it can answer all
// requests. Guards against daemons that wait for a coordinator that is gone, and against one that is
// asked more than it can answer.
func TestWhenTheCoordinatorDirects(t *testing.T) {
	for name, c := range map[string]struct {
		prompt  int
		running int           // requests of all daemons by the report
		age     time.Duration // of the report
		holders int
		want    bool
	}{
		"long prompts":            {9000, 100, 200 * time.Millisecond, 3, true},
		"short prompts":           {800, 100, 200 * time.Millisecond, 3, false},
		"unknown size":            {0, 100, 200 * time.Millisecond, 3, false},
		"one holder":              {9000, 100, 200 * time.Millisecond, 1, false},
		"old report":              {9000, 100, reportTTL, 3, false},
		"more than it can answer": {9000, 1000, 200 * time.Millisecond, 3, false},
	} {
		b := newBalancer("d", 1)
		list := sameDomain("a", "b")
		for range 200 {
			ticket := b.Started(start, list[0], sized(c.prompt, 50))
			b.FirstEvent(start, &ticket, 20*time.Millisecond+time.Duration(c.prompt)*35*time.Microsecond)
			b.Ended(start, &ticket, time.Second, true)
		}
		b.ReceiveLoads("llm", start, EngineLoads{incarnation("a"): {Running: c.running}}, EngineLoads{})
		if got := b.CoordinatorDirects(start.Add(c.age), "llm", sized(c.prompt, 50), c.holders); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}
