package throttle

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/doorvalve/doorvalve/coordination/membership"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/fleet"
)

// RejectionFactPrefix is the prefix of the keys of facts about endpoints' rejection limits.
const RejectionFactPrefix = "rejections/"

const (
	// rejectionFactStep rounds the versions of facts: the daemons that hear of one endpoint's limit at
	// about the same time publish the same fact.
	rejectionFactStep = 4 * time.Second
	// rejectionFactLifetime is how long a fact is kept.
	rejectionFactLifetime = 20 * time.Second
)

// limitFact is the encoded value of such a fact.
type limitFact struct {
	PerSecond int `json:"per_second"`
}

func rejectionFact(now time.Time, inc fleet.Incarnation, perSecond int) membership.Entry {
	value, _ := json.Marshal(limitFact{perSecond}) // numbers always marshal
	return membership.Entry{Key: RejectionFactPrefix + inc.String(), Version: uint64(now.Truncate(rejectionFactStep).UnixMilli()), Value: value}
}

// ReceiveRejectionLimit processes the fact of an endpoint's rejection limit, as received by another
// daemon. It ignores other facts.
func (c *Controller) ReceiveRejectionLimit(f membership.Entry) {
	subject, ok := strings.CutPrefix(f.Key, RejectionFactPrefix)
	if !ok {
		return
	}
	inc, err := fleet.ParseIncarnation(subject)
	var value limitFact
	if err == nil {
		err = json.Unmarshal(f.Value, &value)
	}
	if err != nil {
		c.opt.Log.Warn(decisions.EventFactUnreadable, "key", f.Key, "error", err)
		return
	}
	c.mu.Lock()
	c.published[f.Key] = max(c.published[f.Key], f.Version)
	c.mu.Unlock()
	now := c.opt.Clock()
	c.setRejectionLimit(now, time.UnixMilli(int64(f.Version)), inc, protocol.RejectionLimit{Present: true, PerSecond: max(1, value.PerSecond)}, c.opt.Slots(inc))
}

// prunePublished drops the versions of facts that have expired.
func (c *Controller) prunePublished(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, version := range c.published {
		if now.Sub(time.UnixMilli(int64(version))) > rejectionFactLifetime {
			delete(c.published, key)
		}
	}
}
