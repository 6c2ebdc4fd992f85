package limit

import (
	"time"

	"github.com/doorvalve/doorvalve/coordination/quota"
)

// Bounds are what endpoints tolerate: in each window one and a half times their limit, plus a few
// requests. A bucket holds a share of what exceeds the limit, at least one request.
var Bounds = quota.Bounds{Window: 4 * time.Second, Overage: 0.5, Slack: 5, DepthShare: 0.2, NewOwnerShare: 0.7}

// minRate is the least rate, in requests a second, at which requests are sent to an endpoint that
// reports a lower limit: only an answer can show that the limit has ended. It is part of the
// requests that Bounds allow in addition to any limit.
const minRate = 0.25

// Limits returns the quota limits for a report.
func (r Report) Limits() quota.Limits { return quota.Limits{Rate: max(r.Rate, minRate)} }

// Capacity returns how many requests with the given run time an endpoint can have running under its
// limit: by Little's law, and at least one.
func (r Report) Capacity(runTime time.Duration) int {
	return max(1, int(r.Rate*runTime.Seconds()+0.5))
}
