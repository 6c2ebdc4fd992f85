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
	// maxClockError is added to the lifetime: the clocks of the daemons that publish and receive a fact may each
	// be a minute off.
	maxClockError = 2 * time.Minute
)

// publishedFact is a fact that this daemon has published or received.
type publishedFact struct {
	version uint64
	knownAt time.Time // by this daemon's clock
}

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
	now := c.opt.Clock()
	c.mu.Lock()
	fresh := c.published[f.Key].version < f.Version
	if fresh {
		c.published[f.Key] = publishedFact{f.Version, now}
	}
	c.mu.Unlock()
	if !fresh {
		return
	}
	// A fact counts from when it was received: its version is of another daemon's clock.
	c.setRejectionLimit(now, now, inc, protocol.RejectionLimit{Present: true, PerSecond: max(1, value.PerSecond)}, c.opt.Slots(inc))
}

// prunePublished drops the versions of facts that have expired.
func (c *Controller) prunePublished(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, f := range c.published {
		if now.Sub(f.knownAt) > rejectionFactLifetime+maxClockError {
			delete(c.published, key)
		}
	}
}
