package storeversion

import (
	"testing"

	"pgregory.net/rapid"
)

func TestGenerationPrecedesRevision(t *testing.T) {
	for _, c := range []struct {
		a, b Version
		want int
	}{
		{Version{1, 96}, Version{2, 52}, -1},
		{Version{2, 52}, Version{2, 53}, -1},
		{Version{2, 52}, Version{2, 52}, 0},
		{Version{0, 9}, Version{1, 0}, -1},
		{Version{}, Version{0, 1}, -1},
	} {
		if got := c.a.Compare(c.b); got != c.want {
			t.Errorf("%v compared with %v: %d, want %d", c.a, c.b, got, c.want)
		}
		if got := c.b.Compare(c.a); got != -c.want {
			t.Errorf("%v compared with %v: %d, want %d", c.b, c.a, got, -c.want)
		}
	}
}

func TestOrderIsTotal(t *testing.T) {
	version := rapid.Custom(func(t *rapid.T) Version {
		return Version{rapid.Uint64Range(0, 3).Draw(t, "generation"), rapid.Uint64Range(0, 3).Draw(t, "revision")}
	})
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := version.Draw(t, "a"), version.Draw(t, "b"), version.Draw(t, "c")
		if (a == b) != (a.Compare(b) == 0) || a.Before(b) != b.After(a) {
			t.Fatalf("inconsistent order of %v and %v", a, b)
		}
		if a.Before(b) && b.Before(c) && !a.Before(c) {
			t.Fatalf("order is not transitive: %v, %v, %v", a, b, c)
		}
		if m := Max(a, b); m != a && m != b || m.Before(a) || m.Before(b) {
			t.Fatalf("Max(%v, %v) = %v", a, b, m)
		}
	})
}
