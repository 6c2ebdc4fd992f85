package discovery

import (
	"testing"
	"time"
)

const testWait = 900 * time.Millisecond

// answerOf returns the answer to a watch that was requested some time after start and waited for the
// whole testWait.
func answerOf(after time.Duration, revision uint64, changed bool) WatchAnswer {
	return WatchAnswer{RequestedAt: start.Add(after), ReceivedAt: start.Add(after + testWait), Wait: testWait, Version: at(revision), Changed: changed}
}

// checkpointAt returns a checkpoint that was requested some time after start and answered at once.
func checkpointAt(after time.Duration, revision uint64) Checkpoint {
	return Checkpoint{RequestedAt: start.Add(after), ReceivedAt: start.Add(after), Version: at(revision)}
}

// Guards against a revoked key that is accepted for too long: a watch that hears nothing is answered
// without changes, and its answer passed for the state of the store at that time.
func TestAnswerOfAWatchDoesNotProveItsTime(t *testing.T) {
	const second = time.Second
	for _, c := range []struct {
		name      string
		steps     func(f *Follower) (sound bool)
		wantAsOf  time.Duration
		wantSound bool
	}{
		{"no checkpoint", func(f *Follower) bool { return f.Watched(answerOf(second, 10, false)) }, 0, true},
		{"the version moves, but nothing tells when the store had it", func(f *Follower) bool { return f.Watched(answerOf(second, 12, false)) }, 0, true},
		{"changes, but nothing tells whether they are all", func(f *Follower) bool { return f.Watched(answerOf(second, 12, true)) }, 0, true},
		{"a quiet store", func(f *Follower) bool { f.Observe(checkpointAt(second, 10)); return true }, second, true},
		{"a checkpoint that the next answer reaches", func(f *Follower) bool {
			f.Observe(checkpointAt(second, 12))
			return f.Watched(answerOf(second, 12, false))
		}, second, true},
		{"a checkpoint that the next answer does not reach", func(f *Follower) bool {
			f.Observe(checkpointAt(second, 12))
			return f.Watched(answerOf(second, 11, false))
		}, 0, false},
		{"the answer reaches the first of two checkpoints", func(f *Follower) bool {
			f.Observe(checkpointAt(second, 11))
			f.Observe(checkpointAt(3*second, 13))
			return f.Watched(answerOf(second, 12, false))
		}, second, true},
		{"a checkpoint during a list that had begun before", func(f *Follower) bool {
			f.Observe(checkpointAt(2*second, 12))
			f.Listed(start.Add(second), start.Add(3*second), at(11))
			return true
		}, second, true},
		{"an answer that was sent before the checkpoint", func(f *Follower) bool {
			f.Observe(checkpointAt(second+testWait+1, 12))
			return f.Watched(answerOf(second, 10, false))
		}, 0, true},
		{"an earlier generation of the store", func(f *Follower) bool {
			c := checkpointAt(second, 5)
			c.Version.Generation = 1
			f.Observe(c)
			return f.Watched(answerOf(2*second, 99, false))
		}, 0, false},
	} {
		f := NewFollower(FollowOptions{})
		f.Listed(start, start, at(10))
		if sound := c.steps(f); sound != c.wantSound {
			t.Errorf("%s: sound %v, want %v", c.name, sound, c.wantSound)
		}
		if got := f.AsOf().Sub(start); got != c.wantAsOf {
			t.Errorf("%s: as of %v after the list, want %v", c.name, got, c.wantAsOf)
		}
		if a, _ := f.Next(start.Add(time.Minute)); (a == Watch) != c.wantSound {
			t.Errorf("%s: next action %v", c.name, a)
		}
	}
}

// A follower that never reaches its checkpoints keeps a bounded number of them, the newest.
func TestCheckpointsAreBounded(t *testing.T) {
	f := NewFollower(FollowOptions{})
	for i := range 3 * maxCheckpoints {
		f.Observe(checkpointAt(time.Duration(i)*time.Second, uint64(i+1)))
	}
	if n := len(f.checkpoints); n != maxCheckpoints || f.checkpoints[n-1].Version != at(3*maxCheckpoints) {
		t.Errorf("%d checkpoints up to %v", n, f.checkpoints[n-1].Version)
	}
}

// The store's version is read once for the watches of all kinds, just before they end, and later by a
// daemon that relies on another one.
func TestWatchesEndAfterTheirCheckpoint(t *testing.T) {
	const ms = time.Millisecond
	options := ScheduleOptions{Interval: 1100 * ms, MinLead: 50 * ms, MaxLead: 400 * ms, Patience: 150 * ms}
	for _, c := range []struct {
		name         string
		took         time.Duration // by the last read, requested at start
		shared       time.Duration // since start, of a checkpoint of another daemon; zero: none
		now          time.Duration
		wait, readIn time.Duration
	}{
		{"right after a checkpoint", 0, 0, 0, 1100 * ms, 1050 * ms},
		{"later", 0, 0, 600 * ms, 500 * ms, 450 * ms},
		{"shortly before the next one", 0, 0, 1000 * ms, 100 * ms, 50 * ms},
		{"overdue", 0, 0, 5 * time.Second, 50 * ms, 0},
		{"a slow store", 150 * ms, 0, 150 * ms, 950 * ms, 650 * ms},
		{"a very slow store", 900 * ms, 0, 900 * ms, 400 * ms, 0},
		{"another daemon's", 0, 500 * ms, 600 * ms, 3300 * ms, 1100 * ms},
		{"another daemon's that is older", 0, -500 * ms, 600 * ms, 3300 * ms, 600 * ms},
	} {
		s := NewSchedule(options)
		s.Observe(Checkpoint{RequestedAt: start, ReceivedAt: start.Add(c.took), Version: at(1)})
		if c.shared != 0 {
			s.Rely(true)
			s.ObserveShared(start.Add(c.shared))
		}
		if wait, readIn := s.Plan(start.Add(c.now), start.Add(max(0, c.shared))); wait != c.wait || readIn != c.readIn {
			t.Errorf("%s: waits %v and reads after %v, want %v and %v", c.name, wait, readIn, c.wait, c.readIn)
		}
	}
}

// Guards against data without a proof for seconds at a daemon that relies on another one: after a pause in
// which it has read the version itself, its next watch ends at once.
func TestLateProofShortensTheWatch(t *testing.T) {
	s := NewSchedule(ScheduleOptions{Interval: time.Second, MinLead: 50 * time.Millisecond, MaxLead: 50 * time.Millisecond, Patience: 150 * time.Millisecond})
	s.Rely(true)
	s.Observe(checkpointAt(time.Second, 2))
	if wait, _ := s.Plan(start.Add(time.Second), start); wait != 50*time.Millisecond {
		t.Errorf("waits %v", wait)
	}
	if !s.ProofLate(start) || s.ProofLate(start.Add(time.Second)) {
		t.Error("the proof is late without the newest checkpoint, and only then")
	}
}

// The pause after changes does not delay the proof of the age, and is longer at a daemon that relies on another one.
func TestPauseDoesNotDelayTheProof(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		relies    bool
		now, want time.Duration
	}{{false, 100 * ms, 500 * ms}, {false, 800 * ms, 1050 * ms}, {false, 1200 * ms, 1200 * ms}, {true, 100 * ms, 900 * ms}, {true, 800 * ms, 1200 * ms}} {
		s := NewSchedule(ScheduleOptions{Interval: 1100 * ms, MinLead: 50 * ms, MaxLead: 400 * ms, Patience: 150 * ms})
		s.Rely(c.relies)
		s.Observe(checkpointAt(0, 1))
		if got := s.PauseEnd(start.Add(c.now), 400*ms).Sub(start); got != c.want {
			t.Errorf("relies %v: changes at %v, pause until %v, want %v", c.relies, c.now, got, c.want)
		}
	}
}
