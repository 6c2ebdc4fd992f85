package edge

import (
	"fmt"
	"testing"
)

// A name is news once, and a flood of names is bounded.
func TestUnreadNamesAreNewsOnce(t *testing.T) {
	u := &unread{}
	news := 0
	for range 3 {
		for i := range 1000 {
			if u.first(fmt.Sprintf("X-%d", i)) {
				news++
			}
		}
	}
	if news != unreadNames {
		t.Errorf("%d names were news, want %d", news, unreadNames)
	}
}
