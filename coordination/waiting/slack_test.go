package waiting

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/coordination/workcost"
)

// Guards against requests with much slack that are refused because the margin of the estimate is
// large, and against requests that wait although they cannot end before their deadline.
func TestDecideBySlackAndWork(t *testing.T) {
	patient := Input{Margin: maxMargin, TimeLeft: 17 * time.Second, Target: 5 * time.Second, MaxWait: 20 * time.Second}
	long := workcost.Estimate{FirstEvent: 400 * ms, End: 3 * time.Second}
	for _, c := range []struct {
		name   string
		change func(*Input)
		wait   bool
	}{
		{"needs less than half of its time", func(in *Input) { in.ReadyIn = 8 * time.Second }, true},
		{"needs more than half of its time", func(in *Input) { in.ReadyIn = 9 * time.Second }, false},
		{"needs more than half of its time, with a small margin", func(in *Input) { in.ReadyIn, in.Margin = 9*time.Second, time.Second }, true},
		{"has already waited in vain", func(in *Input) { in.ReadyIn, in.WaitedBefore = 8*time.Second, true }, false},
		{"was refused before, may be in time", func(in *Input) { in.ReadyIn, in.Committed = 16*time.Second, true }, true},
		{"was refused before, cannot be in time", func(in *Input) { in.ReadyIn, in.Committed = 17*time.Second, true }, false},
		{"the caller soon gives up", func(in *Input) { in.ReadyIn, in.Elapsed = 8*time.Second, 5*time.Second }, false},
		{"long answer, needs less than half of its time", func(in *Input) { in.ReadyIn, in.Work = 6900*ms, long }, true},
		{"long answer, needs more than half of its time", func(in *Input) { in.ReadyIn, in.Work = 7100*ms, long }, false},
		{"the answer ends in time", func(in *Input) { in.ReadyIn, in.TimeLeft, in.Work = time.Second, 4100*ms, long }, true},
		{"the answer would end after the deadline", func(in *Input) { in.ReadyIn, in.TimeLeft, in.Work = time.Second, 3900*ms, long }, false},
		{"a begun answer continues, whatever its size", func(in *Input) { in.ReadyIn, in.TimeLeft, in.Work, in.Started = time.Second, 2*time.Second, long, true }, true},
		{"short prompt, within its objective", func(in *Input) {
			in.Target, in.ReadyIn, in.MaxWait, in.Work = 500*ms, 440*ms, 600*ms, workcost.Estimate{FirstEvent: 50 * ms, End: 100 * ms}
		}, true},
		{"long prompt, beyond its objective", func(in *Input) { in.Target, in.ReadyIn, in.MaxWait, in.Work = 500*ms, 440*ms, 800*ms, long }, false},
	} {
		in := patient
		c.change(&in)
		if d := Decide(in); d.Wait != c.wait {
			t.Errorf("%s: %+v", c.name, d)
		}
	}
}

// Guards against a queue that requests with a long prompt join although they would be late.
func TestJoinCountsOwnWork(t *testing.T) {
	in := QueueInput{StartsIn: 150 * ms, TimeLeft: 12 * time.Second, Target: 400 * ms}
	for firstEvent, want := range map[time.Duration]bool{0: true, 60 * ms: true, 250 * ms: true, 260 * ms: false} {
		in.Work = workcost.Estimate{FirstEvent: firstEvent}
		if d := Join(in); d.Wait != want {
			t.Errorf("first event after %v: Wait = %v", firstEvent, d.Wait)
		}
	}
}

// formerDecide is the rule before slack and own work counted: a request waited within its objective,
// or if the whole margin was covered.
func formerDecide(in Input) Decision {
	need := in.ReadyIn + firstEventTime
	lasts := func(t time.Duration) bool { return t < in.TimeLeft && in.Elapsed+t < in.MaxWait }
	if in.Elapsed+need <= in.Target && lasts(need) || lasts(need+in.Margin) {
		return Decision{Wait: true}
	}
	return Decision{RetryAfter: max(100*ms, min(in.ReadyIn+returnMargin, in.TimeLeft/retryDivisor))}
}

// placements simulates a deployment in which 140 models share 100 placements. Models that are asked
// for are loaded in order, each into the idle placement that has been idle for longest. A load takes
// 0.84 s, or 10.2 s in one of ten cases. A model that was not asked for lately loses its turn.
type placements struct {
	rng     *rand.Rand
	decide  func(Input) Decision
	margins *Margins // learned, as in operation
	held    map[int]*placement
	all     []*placement
	queue   []int                 // models in the order of their loads
	askedAt map[int]time.Duration // by model in the queue
	events  events

	served, inObjective, refused, refusedTwice, expired int
}

type placement struct {
	model   int
	readyAt time.Duration
	freeAt  time.Duration // no request runs on it from then on
}

const (
	simModels, simPlacements = 140, 100
	// simServe is the time from the start of a request to its end, and simFirst that to its first
	// event: a prompt of 9,190 tokens and 10 events.
	simServe, simFirst = 700 * ms, 350 * ms
	simTarget, simTime = 5 * time.Second, 17 * time.Second
	simMaxWait         = 20 * time.Second
)

// event is a step of a request at a time.
type event struct {
	at  time.Duration
	run func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (p *placements) at(t time.Duration, run func()) { heap.Push(&p.events, event{t, run}) }

// simRequest is a request of a caller that returns once.
type simRequest struct {
	model    int
	first    time.Duration // of the caller's first attempt
	arrived  time.Duration // of the current attempt
	again    bool
	estimate time.Duration // of the time at which the model is ready, when the wait began
	source   Source
}

// wantFor is how long a model keeps its turn after it was last asked for, and meanCycle the mean time
// for which a model occupies a placement, from which the wait behind other models is estimated.
const (
	wantFor   = 2500 * ms
	meanCycle = 2500 * ms
)

// dispatch begins the loads for which there are idle placements.
func (p *placements) dispatch(now time.Duration) {
	for len(p.queue) > 0 {
		model := p.queue[0]
		if now-p.askedAt[model] > wantFor {
			p.dequeue()
			continue
		}
		best := slices.MinFunc(p.all, func(a, b *placement) int { return cmp.Compare(a.freeAt, b.freeAt) })
		if best.freeAt > now {
			return
		}
		p.dequeue()
		load := 840 * ms
		if p.rng.IntN(10) == 0 {
			load = 10200 * ms
		}
		delete(p.held, best.model)
		best.model, best.readyAt, best.freeAt = model, now+load, now+load+ms
		p.held[model] = best
	}
}

func (p *placements) dequeue() {
	delete(p.askedAt, p.queue[0])
	p.queue = p.queue[1:]
}

// ask returns the placement of a model, or asks for its load. readyIn is the expected time until the
// model is ready.
func (p *placements) ask(now time.Duration, model int) (held *placement, readyIn time.Duration, source Source) {
	if h := p.held[model]; h != nil {
		return h, max(0, h.readyAt-now), Loaded
	}
	if _, queued := p.askedAt[model]; !queued {
		p.queue = append(p.queue, model)
	}
	p.askedAt[model] = now
	free := make([]time.Duration, 0, len(p.all))
	for _, h := range p.all {
		free = append(free, max(0, h.freeAt-now))
	}
	slices.Sort(free)
	position := slices.Index(p.queue, model)
	return nil, free[position%len(free)] + time.Duration(position/len(free))*meanCycle + 840*ms, Nearby
}

// step decides on a request at a time, and on its next step.
func (p *placements) step(now time.Duration, r *simRequest) {
	held, expected, source := p.ask(now, r.model)
	if held != nil && expected == 0 {
		if r.estimate > 0 {
			p.margins.Observe(r.source, now-r.estimate)
		}
		p.serve(now, r, held)
		return
	}
	if now-r.first+simServe >= simTime {
		p.expired++
		return
	}
	// Estimates err by a factor of up to two either way.
	readyIn := time.Duration(float64(expected) * []float64{0.5, 0.8, 1, 1.25, 2}[p.rng.IntN(5)])
	d := p.decide(Input{
		ReadyIn: readyIn, Margin: p.margins.Of(source), Elapsed: now - r.arrived, TimeLeft: simTime - (now - r.first), Target: simTarget,
		MaxWait: simMaxWait, Committed: r.again || r.estimate > 0, Work: workcost.Estimate{FirstEvent: simFirst, End: simServe},
	})
	if d.Wait {
		if r.estimate == 0 {
			r.estimate, r.source = now+readyIn, source
		}
		next := now + min(max(readyIn, ms), time.Second)
		p.at(next, func() { p.step(next, r) })
		return
	}
	p.refuse(now, r, d.RetryAfter)
}

func (p *placements) serve(now time.Duration, r *simRequest, held *placement) {
	held.freeAt = max(held.freeAt, now+simServe)
	p.served++
	if now-r.first+simFirst <= simTarget {
		p.inObjective++
	}
}

func (p *placements) refuse(now time.Duration, r *simRequest, after time.Duration) {
	if r.again {
		p.refusedTwice++
		return
	}
	p.refused++
	next := now + after
	p.at(next, func() { p.step(next, &simRequest{model: r.model, first: r.first, arrived: next, again: true}) })
}

// playBurst plays the usual rate for a minute, 2.4 times that for 30 s, and the usual rate for half a
// minute more.
func playBurst(seed uint64, decide func(Input) Decision) *placements {
	p := &placements{rng: rand.New(rand.NewPCG(seed, 1)), decide: decide, margins: NewMargins(), held: map[int]*placement{}, askedAt: map[int]time.Duration{}}
	for i := range simPlacements {
		h := &placement{model: i}
		p.all, p.held[i] = append(p.all, h), h
	}
	const usual, dispatchEvery, length = 50.0, 50 * ms, 2 * time.Minute
	for at := time.Duration(0); at < length+time.Minute; at += dispatchEvery {
		p.at(at, func() { p.dispatch(at) })
	}
	for at := time.Duration(0); at < length; {
		rate := usual
		if at > time.Minute && at < 90*time.Second {
			rate *= 2.4
		}
		at += time.Duration(p.rng.ExpFloat64() / rate * float64(time.Second))
		r := &simRequest{model: p.rng.IntN(simModels), first: at, arrived: at}
		p.at(at, func() { p.step(r.first, r) })
	}
	for len(p.events) > 0 {
		heap.Pop(&p.events).(event).run()
	}
	return p
}

// A burst of 2.4 times the usual rate for 140 models on 100 placements. Guards against requests with
// much slack that are refused, return and are refused again.
func TestBurstForRareModels(t *testing.T) {
	play := func(name string, decide func(Input) Decision) (refusedTwice, served float64) {
		var sum placements
		for seed := range uint64(4) {
			p := playBurst(seed, decide)
			sum.served, sum.inObjective, sum.expired = sum.served+p.served, sum.inObjective+p.inObjective, sum.expired+p.expired
			sum.refused, sum.refusedTwice = sum.refused+p.refused, sum.refusedTwice+p.refusedTwice
		}
		all := sum.served + sum.refusedTwice + sum.expired
		share := func(n int) float64 { return float64(n) / float64(all) }
		t.Logf("%s: of %d requests %.4f served, %.4f within the objective, %.4f refused once, %.4f refused twice, %.4f expired while they waited",
			name, all, share(sum.served), share(sum.inObjective), share(sum.refused), share(sum.refusedTwice), share(sum.expired))
		return share(sum.refusedTwice), share(sum.served)
	}
	formerTwice, formerServed := play("former rule", formerDecide)
	twice, served := play("current rule", Decide)
	if twice > formerTwice || served < formerServed {
		t.Errorf("%.4f refused twice, formerly %.4f; %.4f served, formerly %.4f", twice, formerTwice, served, formerServed)
	}
}
