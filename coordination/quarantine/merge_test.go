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
		words := drawWords(t)
		a, b := New(), New()
		now := at(100)
		for _, w := range words {
			a.Merge(now, []Record{w.clone()})
		}
		for _, i := range rapid.Permutation(indices(len(words))).Draw(t, "order") {
			b.Merge(now, []Record{words[i].clone()})
			b.Merge(now, []Record{words[rapid.IntRange(0, len(words)-1).Draw(t, "again")].clone()})
		}
		for _, w := range words {
			b.Merge(now, []Record{w.clone()})
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
func drawWords(t *rapid.T) []Record {
	var words []Record
	for range rapid.IntRange(1, 12).Draw(t, "words") {
		c := Record{Fingerprint: printOf(fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "request"))), Software: []Software{v1}}
		for _, life := range rapid.Permutation(indices(5)).Draw(t, "lives")[:rapid.IntRange(1, 5).Draw(t, "ends")] {
			c.Crashes = append(c.Crashes, Crash{
				Incarnation: fleet.Incarnation{ID: fmt.Sprint("e", life), StartUnixMs: int64(life + 1)}, At: at(float64(10 * life)), Order: int64(life), Sent: at(float64(10*life) - 0.1),
				Doubtful: rapid.Bool().Draw(t, "began"), Cleared: rapid.IntRange(0, 4).Draw(t, "forgiven") == 0,
				ServedBefore: rapid.IntRange(0, 3).Draw(t, "served") == 0,
				Attempts:     rapid.SliceOfN(rapid.Uint32Range(1, 6), 0, 2).Draw(t, "attempts"),
			})
		}
		if rapid.Bool().Draw(t, "tried") {
			c.Probes = rapid.IntRange(1, 3).Draw(t, "trials")
			c.ProbedAt = at(60 + float64(c.Probes))
		}
		words = append(words, c)
	}
	return words
}

// BenchmarkEndBesideMany measures a crash under 64 requests at once.
func BenchmarkEndBesideMany(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		m := New()
		for i := range 64 {
			m.ObserveCrash(at(1), seen{fmt.Sprint("r", i), "e1", 0.5, 1, i > 3}.report())
		}
		m.TakePending()
	}
}

func BenchmarkLookup(b *testing.B) {
	held := after(crasher...).Held()
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
	for i := range 2 * mostEnds {
		r := seen{"bad", fmt.Sprint("e", i), float64(i), float64(i) + 0.1, false}.report()
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
	third := seen{"bad", "e0", 0, 0.1, false}.report() // a partitioned daemon still holds the first one
	third.Crash.At = at(50)
	a.Merge(at(40), []Record{{Fingerprint: third.Fingerprint, Crashes: []Crash{third.Crash}}})
	if a.HasPending() || b.HasPending() || a.Digest() != b.Digest() {
		t.Fatalf("records are still exchanged:\n%+v\n%+v", a.Top(), b.Top())
	}
}
