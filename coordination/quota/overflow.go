package quota

import "time"

// overflow holds what the rate has added to a full bucket in the recent past, and so was lost. Daemons
// use their allowances before they report it. What they used while the bucket was full would have been
// refilled since, so that it does not lower the level when it is reported.
type overflow struct{ list []overflowed }

// overflowed is what was lost up to a time.
type overflowed struct {
	at    time.Time
	units float64
}

// overflowStep is the time within which losses are recorded as one.
const overflowStep = 100 * time.Millisecond

// add records a loss. Losses before the longest time between two reports of a daemon are dropped.
func (o *overflow) add(now time.Time, units float64) {
	for len(o.list) > 0 && now.Sub(o.list[0].at) > AllowanceLifetime {
		o.list = o.list[1:]
	}
	if n := len(o.list); n > 0 && now.Sub(o.list[n-1].at) < overflowStep {
		o.list[n-1].units += units
		return
	}
	o.list = append(o.list, overflowed{now, units})
}

// take returns how much of the units that a daemon has used evenly between two times would have been
// refilled by what was lost after their use, and removes that.
func (o *overflow) take(since, now time.Time, used float64) float64 {
	taken := 0.0
	for i := range o.list {
		l := &o.list[i]
		if !l.at.After(since) {
			continue
		}
		usedBefore := used * min(1, l.at.Sub(since).Seconds()/now.Sub(since).Seconds())
		refilled := max(0, min(l.units, usedBefore-taken))
		l.units -= refilled
		taken += refilled
	}
	return taken
}
