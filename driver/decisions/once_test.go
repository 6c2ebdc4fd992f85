package decisions

import (
	"fmt"
	"testing"
)

// A name is news once, and a flood of names is bounded.
func TestNamesAreNewsOnce(t *testing.T) {
	var o Once
	news := 0
	for range 3 {
		for i := range 1000 {
			if o.First(fmt.Sprintf("X-%d", i)) {
				news++
			}
		}
	}
	if news != onceNames {
		t.Errorf("%d names were news, want %d", news, onceNames)
	}
}
