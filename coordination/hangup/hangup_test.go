package hangup

import "testing"

// Guards against work that goes on for callers that are gone, and against answers that are withheld from callers that have
// closed their sending side only.
func TestGivenUp(t *testing.T) {
	for w, want := range map[Work]bool{
		{}:                                      true,
		{Sent: true}:                            true,
		{Sent: true, Begun: true}:               false,
		{Unsafe: true}:                          true,
		{Unsafe: true, Sent: true}:              false,
		{Unsafe: true, Sent: true, Begun: true}: false,
	} {
		if got := w.GivenUp(); got != want {
			t.Errorf("%+v: given up: %v, want %v", w, got, want)
		}
	}
}
