package quota

import "testing"

// Guards against an owner that grants what the bucket holds although the window leaves no room for
// it: a full bucket and what it gains within a window exceed what the limits allow in it.
func TestWindowBoundsGrants(t *testing.T) {
	o, sum := NewOwner("a", bounds, longAgo), 0.0
	o.Draw(at(0), draw("d", 1), 1)
	for i := range 800 {
		sum += drain(o, at(20+float64(i)/100), "d")
	}
	if allowed := bounds.inWindow(limits); sum > allowed || sum < 0.95*allowed {
		t.Errorf("%.0f units granted within a window, the limits allow %.0f", sum, allowed)
	}
}
