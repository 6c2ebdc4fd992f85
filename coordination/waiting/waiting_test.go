package waiting

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/protocol"
)

const ms = time.Millisecond

func TestDecide(t *testing.T) {
	patient := Input{Margin: time.Second, TimeLeft: 25 * time.Second, Target: 2500 * ms, MaxWait: 10 * time.Second}
	cases := []struct {
		name   string
		change func(*Input)
		wait   bool
		after  time.Duration // bounds of RetryAfter
		before time.Duration
	}{
		{"a load from disk is waited for", func(in *Input) { in.ReadyIn = 800 * ms }, true, 0, 0},
		{"what meets its objective waits without the margin", func(in *Input) { in.ReadyIn, in.Margin = 2*time.Second, 9*time.Second }, true, 0, 0},
		{"a load that ends within the caller's patience is waited for", func(in *Input) { in.ReadyIn = 6 * time.Second }, true, 0, 0},
		{"a load that may end after it is not", func(in *Input) { in.ReadyIn, in.Margin = 6*time.Second, 4*time.Second }, false, 6 * time.Second, 7 * time.Second},
		{"a load past the patience is not", func(in *Input) { in.ReadyIn = 12 * time.Second }, false, 8 * time.Second, 9 * time.Second},
		{"what has waited is given up when it will not be served", func(in *Input) { in.ReadyIn, in.Elapsed = 6*time.Second, 4*time.Second }, false, 6 * time.Second, 7 * time.Second},
		{"who has waited long waits on for what is near", func(in *Input) { in.ReadyIn, in.Elapsed = 1*time.Second, 7*time.Second }, true, 0, 0},
		{"what has begun waits without the margin", func(in *Input) { in.ReadyIn, in.Margin, in.Started = 6*time.Second, 9*time.Second, true }, true, 0, 0},
		{"what has begun does not wait past its caller", func(in *Input) { in.ReadyIn, in.Elapsed, in.Started = 6*time.Second, 4*time.Second, true }, false, 0, time.Second},
		{"what has waited in vain waits again within its objective", func(in *Input) { in.ReadyIn, in.WaitedBefore = 2*time.Second, true }, true, 0, 0},
		{"what has waited in vain does not wait beyond it", func(in *Input) { in.ReadyIn, in.WaitedBefore = 3*time.Second, true }, false, 3 * time.Second, 4 * time.Second},
		{"nothing is waited for past the deadline", func(in *Input) { in.ReadyIn, in.TimeLeft = 6*time.Second, 3*time.Second }, false, 100 * ms, time.Second},
	}
	for _, c := range cases {
		in := patient
		c.change(&in)
		d := Decide(in)
		if d.Wait != c.wait || !c.wait && (d.RetryAfter < c.after || d.RetryAfter > c.before) {
			t.Errorf("%s: %+v", c.name, d)
		}
	}
}

// A refusal comes with a time to come back, and never asks a caller to come
// back later than it would keep to. Nobody waits past the end of its time.
func TestRefusalNamesATime(t *testing.T) {
	for ready := time.Duration(0); ready < 30*time.Second; ready += 170 * ms {
		for left := 50 * ms; left < 25*time.Second; left += 490 * ms {
			for _, margin := range []time.Duration{0, 3 * time.Second} {
				d := Decide(Input{ReadyIn: ready, Margin: margin, TimeLeft: left, Target: 400 * ms, MaxWait: 2400 * ms})
				if !d.Wait && (d.RetryAfter < protocol.MinRetryAfter || d.RetryAfter > max(protocol.MinRetryAfter, left/honouredPart)) {
					t.Fatalf("ready in %v, %v left: %+v", ready, left, d)
				}
				if d.Wait && (ready > left || ready > 2400*ms) {
					t.Fatalf("waits for a model in %v with %v left", ready, left)
				}
			}
		}
	}
}

// Whether a request waits changes once with the time to its model: no part of
// the objective or of the time left is a window of its own.
func TestOneBoundOnly(t *testing.T) {
	for elapsed := time.Duration(0); elapsed < 8*time.Second; elapsed += 130 * ms {
		waited := true
		for ready := time.Duration(0); ready < 12*time.Second; ready += 50 * ms {
			d := Decide(Input{ReadyIn: ready, Margin: 700 * ms, Elapsed: elapsed, TimeLeft: 13*time.Second - elapsed, Target: 2 * time.Second, MaxWait: 8 * time.Second})
			if d.Wait && !waited {
				t.Fatalf("after %v a model in %v is waited for, one that comes sooner is not", elapsed, ready)
			}
			waited = d.Wait
		}
	}
}

// Load: engines swap models at their limit, as in a burst on rare models, and
// estimates are short by up to 3 s. The margin settles where 9 in 10 requests
// have their model by then.
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
	if part := float64(covered) / float64(n); part < 0.87 || part > 0.93 {
		t.Fatalf("%.3f are covered", part)
	}
	if m.Of(WeightStore) != startMargins[WeightStore] {
		t.Fatal("estimates of one kind changed the margin of another")
	}
}

func TestMarginIsBounded(t *testing.T) {
	m := NewMargins()
	for range 200 {
		m.Observe(WeightStore, time.Hour)
	}
	if m.Of(WeightStore) != marginMost {
		t.Errorf("margin %v", m.Of(WeightStore))
	}
	for range 1000 {
		m.Observe(WeightStore, -time.Hour)
	}
	if m.Of(WeightStore) != 0 {
		t.Errorf("margin %v", m.Of(WeightStore))
	}
}
