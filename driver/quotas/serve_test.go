package quotas

import (
	"math"
	"slices"
	"testing"

	"github.com/doorvalve/doorvalve/coordination/quota"
	"github.com/doorvalve/doorvalve/protocol/quotapb"
)

// Guards against a peer's unusable selection that lets no request through, or all of one rank: it is
// ignored, as that of a peer that sends none.
func TestUnusableSelectionIsIgnored(t *testing.T) {
	usable := &quota.Selection{New: quota.RankUnits{1, 0.5}, Returned: 0.7}
	if got := selectionFromWire(selectionToWire(usable)); got == nil || *got != *usable {
		t.Errorf("%v was read as %v", usable, got)
	}
	shares := make([]float64, quota.MaxRanks)
	for name, s := range map[string]*quotapb.Selection{
		"none":      nil,
		"too short": {New: []float64{1}, Returned: 1},
		"NaN":       {New: append(slices.Clone(shares[1:]), math.NaN())},
		"negative":  {New: shares, Returned: -1},
		"above 1":   {New: shares, Returned: 2},
	} {
		if got := selectionFromWire(s); got != nil {
			t.Errorf("%s: read as %v", name, got)
		}
	}
	for _, list := range [][]float64{nil, {1, 2}, make([]float64, 1000)} {
		if got := ranksToWire(ranksFromWire(list)); len(got) > min(len(list), quota.MaxRanks) {
			t.Errorf("%d units by rank were read as %d", len(list), len(got))
		}
	}
}
