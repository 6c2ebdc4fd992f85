package decisions

import (
	"fmt"
	"testing"
)

// Each name counts as new once, and the number of remembered names is bounded.
func TestOnceReportsEachNameOnce(t *testing.T) {
	var o Once
	reported := 0
	for range 3 {
		for i := range 1000 {
			if o.First(fmt.Sprintf("X-%d", i)) {
				reported++
			}
		}
	}
	if reported != maxOnceNames {
		t.Errorf("%d names were reported as new, want %d", reported, maxOnceNames)
	}
}
