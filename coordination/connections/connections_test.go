package connections

import "testing"

// Guards against unused connections that take an endpoint's whole limit, so that it resets those of requests.
func TestUnusedConnectionsOfAllDaemonsLeaveRoom(t *testing.T) {
	for limit := 1; limit <= 1300; limit += 7 {
		for _, slots := range []int{1, 6, 16, 64} {
			for _, daemons := range []int{0, 1, 3, 30, 195, 370} {
				n := Unused(limit, slots, daemons)
				if n < 0 || n > MaxUnused || n > 0 && n*daemons+slots > limit {
					t.Fatalf("limit %d, %d slots, %d daemons: %d unused connections each", limit, slots, daemons, n)
				}
			}
		}
	}
	for _, c := range []struct{ limit, slots, daemons, want int }{{0, 64, 370, 8}, {540, 16, 9, 8}, {540, 16, 195, 2}, {1300, 12, 195, 6}, {96, 64, 40, 0}} {
		if got := Unused(c.limit, c.slots, c.daemons); got != c.want {
			t.Errorf("%+v: got %d", c, got)
		}
	}
}
