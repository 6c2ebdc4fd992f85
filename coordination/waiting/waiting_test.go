package waiting

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/protocol"
)

const ms = time.Millisecond

func TestDecide(t *testing.T) {
	base := Input{Margin: time.Second, TimeLeft: 25 * time.Second, Target: 2500 * ms, MaxWait: 10 * time.Second}
	cases := []struct {
		name   string
		change func(*Input)
		wait   bool
		after  time.Duration // bounds of RetryAfter
		before time.Duration
	}{
		{"waits for a load from disk", func(in *Input) { in.ReadyIn = 800 * ms }, true, 0, 0},
		{"waits within its objective, without the margin", func(in *Input) { in.ReadyIn, in.Margin = 2*time.Second, 9*time.Second }, true, 0, 0},
		{"waits for a load that ends before the wait limit", func(in *Input) { in.ReadyIn = 6 * time.Second }, true, 0, 0},
		{"does not wait for a load that may end after the wait limit", func(in *Input) { in.ReadyIn, in.Margin = 6*time.Second, 4*time.Second }, false, 6 * time.Second, 7 * time.Second},
		{"does not wait for a load that ends after the wait limit", func(in *Input) { in.ReadyIn = 12 * time.Second }, false, 8 * time.Second, 9 * time.Second},
		{"does not wait on when the wait limit comes before the load ends", func(in *Input) { in.ReadyIn, in.Elapsed = 6*time.Second, 4*time.Second }, false, 6 * time.Second, 7 * time.Second},
		{"waits on after a long wait for a load that ends soon", func(in *Input) { in.ReadyIn, in.Elapsed = 1*time.Second, 7*time.Second }, true, 0, 0},
		{"started request waits without the margin", func(in *Input) { in.ReadyIn, in.Margin, in.Started = 6*time.Second, 9*time.Second, true }, true, 0, 0},
		{"started request does not wait beyond the wait limit", func(in *Input) { in.ReadyIn, in.Elapsed, in.Started = 6*time.Second, 4*time.Second, true }, false, 0, time.Second},
		{"waits again within its objective", func(in *Input) { in.ReadyIn, in.WaitedBefore = 2*time.Second, true }, true, 0, 0},
		{"does not wait again beyond its objective", func(in *Input) { in.ReadyIn, in.WaitedBefore = 3*time.Second, true }, false, 3 * time.Second, 4 * time.Second},
		{"stream that is taken up waits beyond the objective of its first event", func(in *Input) {
			in.ReadyIn, in.Margin, in.Continued, in.WaitedBefore = 6*time.Second, 9*time.Second, true, true
		}, true, 0, 0},
		{"stream that is taken up does not wait beyond the wait limit", func(in *Input) { in.ReadyIn, in.Elapsed, in.Continued = 6*time.Second, 4*time.Second, true }, false, 6 * time.Second, 7 * time.Second},
		{"stream that is taken up does not wait beyond the deadline", func(in *Input) {
			in.ReadyIn, in.TimeLeft, in.Target, in.Continued = 4*time.Second, 3*time.Second, 5*time.Second, true
		}, false, 900 * ms, time.Second},
		{"does not wait beyond the deadline", func(in *Input) { in.ReadyIn, in.TimeLeft = 6*time.Second, 3*time.Second }, false, 100 * ms, time.Second},
	}
	for _, c := range cases {
		in := base
		c.change(&in)
		d := Decide(in)
		if d.Wait != c.wait || !c.wait && (d.RetryAfter < c.after || d.RetryAfter > c.before) {
			t.Errorf("%s: %+v", c.name, d)
		}
	}
}

// A refusal has a retry delay, which is never longer than callers respect. No request waits
// beyond its deadline or its caller's wait limit.
func TestRefusalNamesATime(t *testing.T) {
	for ready := time.Duration(0); ready < 30*time.Second; ready += 170 * ms {
		for left := 50 * ms; left < 25*time.Second; left += 490 * ms {
			for _, margin := range []time.Duration{0, 3 * time.Second} {
				d := Decide(Input{ReadyIn: ready, Margin: margin, TimeLeft: left, Target: 400 * ms, MaxWait: 2400 * ms})
				if !d.Wait && (d.RetryAfter < protocol.MinRetryAfter || d.RetryAfter > max(protocol.MinRetryAfter, left/retryDivisor)) {
					t.Fatalf("model ready in %v, %v left: %+v, want a retry delay that callers respect", ready, left, d)
				}
				if d.Wait && (ready > left || ready > 2400*ms) {
					t.Fatalf("waits for a model ready in %v with %v left", ready, left)
				}
			}
		}
	}
}

// Whether a request waits depends on a single bound of the time until its model is ready:
// with a later model, it never waits again after a refusal for an earlier one.
func TestOneBoundOnly(t *testing.T) {
	for elapsed := time.Duration(0); elapsed < 8*time.Second; elapsed += 130 * ms {
		waited := true
		for ready := time.Duration(0); ready < 12*time.Second; ready += 50 * ms {
			d := Decide(Input{ReadyIn: ready, Margin: 700 * ms, Elapsed: elapsed, TimeLeft: 13*time.Second - elapsed, Target: 2 * time.Second, MaxWait: 8 * time.Second})
			if d.Wait && !waited {
				t.Fatalf("after %v, waits for a model ready in %v but not for an earlier one", elapsed, ready)
			}
			waited = d.Wait
		}
	}
}

// Load: engines swap models at their limit, as in a burst of requests for rare models, and
// estimates are short by up to 3 s. The margin settles where the model is ready in time for
// 9 in 10 requests.
func TestMarginCoversNineInTen(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	m := NewMargins()
	covered, n := 0, 0
	for i := range 4000 {
		late := time.Duration(r.Float64() * float64(3*time.Second))
		if i > 500 {
			n++
			if late <= m.Of(Nearby) {
				covered++
			}
		}
		m.Observe(Nearby, late)
	}
	if share := float64(covered) / float64(n); share < 0.87 || share > 0.93 {
		t.Fatalf("%.3f of the requests are covered, want 0.87 to 0.93", share)
	}
	if m.Of(WeightStore) != initialMargins[WeightStore] {
		t.Fatal("observations of one source changed the margin of another")
	}
}

func TestMarginIsBounded(t *testing.T) {
	m := NewMargins()
	for range 200 {
		m.Observe(WeightStore, time.Hour)
	}
	if m.Of(WeightStore) != maxMargin {
		t.Errorf("margin %v", m.Of(WeightStore))
	}
	for range 1000 {
		m.Observe(WeightStore, -time.Hour)
	}
	if m.Of(WeightStore) != 0 {
		t.Errorf("margin %v", m.Of(WeightStore))
	}
}

// Guards against callers that are told to come back for a stream that cannot go on in their time, and against ones that are not though
// the estimate may be wrong.
func TestOnlyHopelessStreamsAreInVain(t *testing.T) {
	for _, c := range []struct {
		ready, left time.Duration
		continued   bool
		want        bool
	}{
		{17 * time.Second, 7 * time.Second, true, true},
		{17 * time.Second, 7 * time.Second, false, false}, // it may be served elsewhere by then
		{13 * time.Second, 7 * time.Second, true, false},  // if the estimate is twice too long
		{6 * time.Second, 7 * time.Second, true, false},
		{time.Second, 7 * time.Second, true, false},
		{time.Second, 400 * ms, true, true},
	} {
		d := Decide(Input{ReadyIn: c.ready, TimeLeft: c.left, Target: 400 * ms, MaxWait: 2400 * ms, Continued: c.continued})
		if d.InVain != c.want || d.Wait && d.InVain {
			t.Errorf("%+v: %+v", c, d)
		}
	}
}
