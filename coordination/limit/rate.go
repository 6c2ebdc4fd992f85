package limit

import (
	"time"

	"github.com/doorvalve/doorvalve/coordination/quota"
)

// Bounds are what endpoints bear: in each window one and a half times their limit, and some
// requests more. A bucket holds a part of what is beyond the limit, one request at the least.
var Bounds = quota.Bounds{Window: 4 * time.Second, Overage: 0.5, Slack: 5, DepthShare: 0.2, NewOwnerShare: 0.7}

// trickle is the least rate, in requests a second, at which an endpoint is asked that names a
// lower limit: only an answer tells that its need is over. It is a part of the requests that
// Bounds allow beside any limit.
const trickle = 0.25

// Limits returns the limits that a word asks for.
func (w Report) Limits() quota.Limits { return quota.Limits{Rate: max(w.Rate, trickle)} }

// Capacity returns how many requests that run for some time each an endpoint can have running
// under its limit: by Little's law, one at the least.
func (w Report) Capacity(runTime time.Duration) int {
	return max(1, int(w.Rate*runTime.Seconds()+0.5))
}
