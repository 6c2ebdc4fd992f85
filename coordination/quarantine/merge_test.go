package quarantine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/fleet"
)

// Guards against daemons that hold different requests back, or for different times, although they
// have received the same records: each merges them in another order and some of them several times.
func TestMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := drawRecords(t)
		a, b := New(), New()
		now := at(100)
		for _, r := range records {
			a.Merge(now, []Record{r.clone()})
		}
		for _, i := range rapid.Permutation(indices(len(records))).Draw(t, "order") {
			b.Merge(now, []Record{records[i].clone()})
			b.Merge(now, []Record{records[rapid.IntRange(0, len(records)-1).Draw(t, "again")].clone()})
		}
		for _, r := range records {
			b.Merge(now, []Record{r.clone()})
		}
		if a.Digest() != b.Digest() {
			t.Fatalf("records differ:\n%+v\n%+v", a.Top(), b.Top())
		}
		held, other := a.Held(), b.Held()
		if len(held) != len(other) {
			t.Fatalf("%d and %d requests are held back", len(held), len(other))
		}
		for print, s := range held {
			if !other[print].NextProbe.Equal(s.NextProbe) {
				t.Fatalf("due at %v and %v", s.NextProbe, other[print].NextProbe)
			}
		}
	})
}

func indices(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

// drawRecords draws records that daemons may send, of three requests at five endpoints. An
// incarnation crashes at one time, whichever daemon reports it.
func drawRecords(t *rapid.T) []Record {
	var records []Record
	for range rapid.IntRange(1, 12).Draw(t, "records") {
		r := Record{Fingerprint: fingerprintOf(fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "request"))), Software: []Software{v1}}
		for _, incarnation := range rapid.Permutation(indices(5)).Draw(t, "incarnations")[:rapid.IntRange(1, 5).Draw(t, "crashes")] {
			r.Crashes = append(r.Crashes, Crash{
				Incarnation: fleet.Incarnation{ID: fmt.Sprint("e", incarnation), StartUnixMs: int64(incarnation + 1)}, At: at(float64(10 * incarnation)), Order: int64(incarnation), Sent: at(float64(10*incarnation) - 0.1),
				Doubtful: rapid.Bool().Draw(t, "began"), Cleared: rapid.IntRange(0, 4).Draw(t, "cleared") == 0,
				ServedBefore: rapid.IntRange(0, 3).Draw(t, "served before") == 0,
				Attempts:     rapid.SliceOfN(rapid.Uint32Range(1, 6), 0, 2).Draw(t, "attempts"),
			})
		}
		if rapid.Bool().Draw(t, "probed") {
			r.Probes = rapid.IntRange(1, 3).Draw(t, "probes")
			r.ProbedAt = at(60 + float64(r.Probes))
		}
		records = append(records, r)
	}
	return records
}

// BenchmarkCrashUnderManyRequests measures a crash under 64 requests at once.
func BenchmarkCrashUnderManyRequests(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		m := New()
		for i := range 64 {
			m.ObserveCrash(at(1), attempt{fmt.Sprint("r", i), "e1", 0.5, 1, i > 3}.observed())
		}
		m.TakePending()
	}
}

func BenchmarkLookup(b *testing.B) {
	held := machineAfter(crasher...).Held()
	print := protocol.FingerprintOf("POST", "/x", "", "caller", nil)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := held[print]; ok {
			b.Fatal("found")
		}
	}
}

// Guards against daemons that send each other records for ever: with clocks that differ, they must
// still drop the same crashes of a long list.
func TestLongListsSettle(t *testing.T) {
	a, b := New(), New()
	for i := range 2 * maxCrashes {
		r := attempt{"bad", fmt.Sprint("e", i), float64(i), float64(i) + 0.1, false}.observed()
		a.ObserveCrash(at(float64(i)), r)
		r.Crash.At = r.Crash.At.Add(-20 * time.Second) // as received by a daemon whose host was suspended
		if i%2 == 0 {
			b.ObserveCrash(at(float64(i)), r)
		}
	}
	for range 4 {
		b.Merge(at(40), a.Top())
		a.Merge(at(40), b.Top())
		a.TakePending()
		b.TakePending()
	}
	b.Merge(at(40), a.Top())
	a.Merge(at(40), b.Top())
	third := attempt{"bad", "e0", 0, 0.1, false}.observed() // a partitioned daemon still holds the first one
	third.Crash.At = at(50)
	a.Merge(at(40), []Record{{Fingerprint: third.Fingerprint, Crashes: []Crash{third.Crash}}})
	if a.HasPending() || b.HasPending() || a.Digest() != b.Digest() {
		t.Fatalf("records are still exchanged:\n%+v\n%+v", a.Top(), b.Top())
	}
}
