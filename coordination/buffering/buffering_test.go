package buffering

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// at returns the time some milliseconds after the start of a test.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// reader is a caller's request in a ledger of the tests.
type reader struct {
	held      int64
	blockedAt int // in ms; negative: no write is blocked
}

// The caller that is closed is the one that has been blocked longest, and never one that reads
// normally, holds nothing, or asks for the bytes itself.
func TestSlowestReaderIsEvicted(t *testing.T) {
	const limit = 1 << 20
	for name, c := range map[string]struct {
		readers []reader
		now     int
		want    int // index of the evicted reader; -1: none
	}{
		"longest blocked first":        {[]reader{{limit / 2, 500}, {limit / 4, 100}, {limit / 4, 900}}, 2000, 1},
		"size does not matter":         {[]reader{{limit - 1, 500}, {1, 400}}, 2000, 1},
		"no write is blocked":          {[]reader{{limit / 2, -1}, {limit / 2, -1}}, 2000, -1},
		"blocked for a short time":     {[]reader{{limit / 2, 1900}, {limit / 2, -1}}, 2000, -1},
		"nothing to gain":              {[]reader{{0, 100}, {limit, -1}}, 2000, -1},
		"blocked for just long enough": {[]reader{{limit / 2, 1750}, {limit / 2, -1}}, 2000, 0},
	} {
		l := New(limit)
		holders := make([]*Holder, len(c.readers))
		for i, r := range c.readers {
			holders[i] = &Holder{}
			if !l.HoldAnswer(at(0), holders[i], r.held).Admitted {
				t.Fatalf("%s: the bytes of reader %d were refused", name, i)
			}
			if r.blockedAt >= 0 {
				l.WriteBegan(at(r.blockedAt), holders[i])
			}
		}
		d := l.HoldAnswer(at(c.now), &Holder{}, 1)
		if d.Admitted {
			t.Errorf("%s: bytes beyond the limit were admitted", name)
		}
		got := -1
		for i, h := range holders {
			if d.Evict == h {
				got = i
			}
		}
		if got != c.want {
			t.Errorf("%s: evicted %d, want %d", name, got, c.want)
		}
		if got >= 0 && (!holders[got].Evicted() || l.WriteBegan(at(c.now), holders[got])) {
			t.Errorf("%s: the evicted reader may write", name)
		}
	}
}

// Large bodies are refused before small ones and answers, with a time to return within bounds, and
// a limit that is not exceeded refuses nothing.
func TestBodiesBeyondTheLimitAreRefused(t *testing.T) {
	const limit = 1 << 20
	for name, c := range map[string]struct {
		limit, held, size int64
		want              bool
	}{
		"large, room":                     {limit, limit / 2, largeBody, true},
		"large, beyond its share":         {limit, limit * 3 / 4, largeBody, false},
		"small, beyond the share":         {limit, limit * 3 / 4, largeBody - 1, true},
		"small, no room":                  {limit, limit, 1, false},
		"larger than the limit, alone":    {limit, 0, 4 * limit, true},
		"larger than the limit, not once": {limit, 1, 4 * limit, false},
		"no limit":                        {0, 1 << 40, 1 << 40, true},
		"absurd size":                     {limit, limit, math.MaxInt64, false},
		"negative size":                   {limit, limit, -5, true},
		"negative limit counts as none":   {-7, limit, limit, true},
	} {
		l := New(c.limit)
		l.HoldAnswer(at(0), &Holder{}, c.held)
		d := l.HoldBody(at(1), &Holder{}, c.size, c.size)
		if d.Admitted != c.want {
			t.Errorf("%s: admitted %v", name, d.Admitted)
		}
		if !d.Admitted && (d.RetryAfter < minRetry || d.RetryAfter > maxRetry) {
			t.Errorf("%s: retry after %v", name, d.RetryAfter)
		}
	}
}

// The time to return follows the time for which requests hold bytes.
func TestRetryAfterFollowsTheHolders(t *testing.T) {
	const limit = 1 << 20
	l := New(limit)
	for i := range 200 {
		h := &Holder{}
		l.HoldAnswer(at(4000*i), h, 1)
		l.End(at(4000*(i+1)), h)
	}
	l.HoldAnswer(at(0), &Holder{}, limit)
	d := l.HoldBody(at(0), &Holder{}, limit/2, limit/2)
	// A quarter of the limit is not for large bodies: three quarters of it must be released.
	if want := 3 * time.Second; d.RetryAfter < want*9/10 || d.RetryAfter > want*11/10 {
		t.Errorf("retry after %v, want %v", d.RetryAfter, want)
	}
}

// Whatever callers do, the sum of the holders is the bytes held, it stays within the limit while
// there are several holders, and nothing is left when all have ended.
func TestLedgerBalances(t *testing.T) {
	const limit = 10000
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 0))
		l := New(limit)
		var holders []*Holder
		for step := range 300 {
			now := at(step * 100)
			if len(holders) == 0 || rng.IntN(4) == 0 {
				holders = append(holders, &Holder{})
			}
			i := rng.IntN(len(holders))
			h, n := holders[i], rng.Int64N(4000)-500
			switch rng.IntN(6) {
			case 0:
				l.HoldBody(now, h, n, n)
			case 1:
				l.HoldAnswer(now, h, n)
			case 2:
				l.Release(h, n)
			case 3:
				l.WriteBegan(now, h)
			case 4:
				l.WriteEnded(h)
			default:
				l.End(now, h)
				holders = append(holders[:i], holders[i+1:]...)
			}
			sum, largest := int64(0), int64(0)
			for o := range l.holders {
				sum += o.held
				largest = max(largest, o.held)
			}
			if sum != l.Held() || sum < 0 || sum > max(limit, largest) {
				t.Fatalf("seed %d, step %d: %d held, sum %d, largest %d", seed, step, l.Held(), sum, largest)
			}
		}
		for _, h := range holders {
			l.End(at(40000), h)
		}
		if l.Held() != 0 || len(l.holders) != 0 {
			t.Fatalf("seed %d: %d bytes and %d holders left", seed, l.Held(), len(l.holders))
		}
	}
}

// Callers are closed before engines cut off the response, and never sooner than in a second.
func TestUnreadTimeout(t *testing.T) {
	for maxWait, want := range map[time.Duration]time.Duration{
		0: time.Second, -time.Hour: time.Second, 2 * time.Second: time.Second, 4 * time.Second: 2 * time.Second, 20 * time.Second: 3 * time.Second, math.MaxInt64: 3 * time.Second,
	} {
		if got := UnreadTimeout(maxWait); got != want {
			t.Errorf("%v: %v, want %v", maxWait, got, want)
		}
	}
}
