// Package grants shares the slots of a group's endpoints among daemons in
// order of worth. Each daemon reports its waiting and running requests. The
// group's coordinator answers with credits, the number of requests that the
// daemon may keep at an endpoint. The package does no I/O.
package grants

import (
	"cmp"
	"slices"
	"time"

	"github.com/doorvalve/doorvalve/coordination/placement"
)

// Waiting is a number of queued requests of one worth.
type Waiting struct {
	Worth    int64
	Count    int
	Deadline time.Time // the earliest
}

// UnitReport is a daemon's demand for one unit.
type UnitReport struct {
	Unit     string
	Waiting  []Waiting
	InFlight int
	Arrivals int // since its last report
	// Unavailable counts the requests refused since its last report because every endpoint with
	// credit had reported that it takes none now. UnavailableWorth is the worth of the last one.
	Unavailable      int
	UnavailableWorth int64
}

// Credit is a number of requests that a daemon may keep at an endpoint.
type Credit struct {
	Unit     string
	Endpoint string
	Limit    int
}

// ReportTTL is how long a report counts. A daemon that has demand reports
// several times within it.
const ReportTTL = 2 * time.Second

// MaxWaitingPerItem bounds the requests that one Waiting item counts for, so
// that one daemon's count cannot make the allocation slow.
const MaxWaitingPerItem = 1024

type report struct {
	at    time.Time
	units []UnitReport
}

// Allocator holds the daemons' last reports and allocates credits by them. It is
// not safe for concurrent use.
type Allocator struct {
	reports  map[string]report
	arrivals map[string]int
}

// NewAllocator returns an allocator without reports.
func NewAllocator() *Allocator {
	return &Allocator{reports: map[string]report{}, arrivals: map[string]int{}}
}

// Report records a daemon's report at now, which replaces its previous one.
func (al *Allocator) Report(now time.Time, daemon string, units []UnitReport) {
	al.reports[daemon] = report{at: now, units: units}
	for _, u := range units {
		al.arrivals[u.Unit] += u.Arrivals
	}
}

func (al *Allocator) expire(now time.Time) {
	for daemon, r := range al.reports {
		if now.Sub(r.at) > ReportTTL {
			delete(al.reports, daemon)
		}
	}
}

// Demand adds up the current reports by unit. Each arrival is returned by one
// call only.
func (al *Allocator) Demand(now time.Time) map[string]placement.Demand {
	al.expire(now)
	total := map[string]placement.Demand{}
	for _, r := range al.reports {
		for _, u := range r.units {
			d := total[u.Unit]
			d.InFlight += u.InFlight
			for _, w := range u.Waiting {
				d.Waiting += w.Count
				d.Worth = max(d.Worth, w.Worth)
			}
			if u.Unavailable > 0 {
				d.Unavailable += u.Unavailable
				d.Worth = max(d.Worth, u.UnavailableWorth)
			}
			total[u.Unit] = d
		}
	}
	for unit, n := range al.arrivals {
		d := total[unit]
		d.Arrivals = n
		total[unit] = d
	}
	clear(al.arrivals)
	return total
}

// item is one entry of the allocation. Slots are given out in the order of items.
type item struct {
	daemon   string
	unit     string
	running  bool
	worth    int64
	deadline time.Time
	count    int
}

// Allocate returns each daemon's credits.
//
// Invariant: the credits for an endpoint never add up to more than its slots.
// Running requests keep their slots; waiting requests get slots by worth, then
// by deadline; the remaining slots are shared among the daemons that use the
// endpoint's units.
func (al *Allocator) Allocate(now time.Time, replicas []placement.Replica) map[string][]Credit {
	al.expire(now)
	a := newAllocation(replicas)
	for _, it := range al.items() {
		a.give(it)
	}
	a.shareRest(al)
	return a.credits()
}

func (al *Allocator) items() []item {
	var items []item
	for daemon, r := range al.reports {
		for _, u := range r.units {
			if u.InFlight > 0 {
				items = append(items, item{daemon: daemon, unit: u.Unit, running: true, count: u.InFlight})
			}
			for _, w := range u.Waiting {
				items = append(items, item{daemon: daemon, unit: u.Unit, worth: w.Worth, deadline: w.Deadline, count: min(w.Count, MaxWaitingPerItem)})
			}
		}
	}
	slices.SortFunc(items, func(x, y item) int {
		if x.running != y.running {
			if x.running {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(y.worth, x.worth), x.deadline.Compare(y.deadline),
			cmp.Compare(x.daemon, y.daemon), cmp.Compare(x.unit, y.unit))
	})
	return items
}

type creditKey struct{ daemon, unit, endpoint string }

type allocation struct {
	left      map[string]int      // slots left by endpoint
	endpoints map[string][]string // endpoints by unit
	given     map[creditKey]int
}

func newAllocation(replicas []placement.Replica) *allocation {
	a := &allocation{left: map[string]int{}, endpoints: map[string][]string{}, given: map[creditKey]int{}}
	for _, r := range replicas {
		a.left[r.Endpoint.Name] = r.Endpoint.Slots
		a.endpoints[r.Unit] = append(a.endpoints[r.Unit], r.Endpoint.Name)
	}
	return a
}

// give allocates slots for one item, each at the endpoint with the most left.
func (a *allocation) give(it item) {
	for range it.count {
		best := ""
		for _, e := range a.endpoints[it.unit] {
			if a.left[e] > 0 && (best == "" || a.left[e] > a.left[best]) {
				best = e
			}
		}
		if best == "" {
			return
		}
		a.left[best]--
		a.given[creditKey{it.daemon, it.unit, best}]++
	}
}

// shareRest gives credits ahead of demand: it divides the remaining slots of an
// endpoint equally among the daemons that reported one of its units.
func (a *allocation) shareRest(al *Allocator) {
	users := map[string][]creditKey{}
	for daemon, r := range al.reports {
		for _, u := range r.units {
			for _, e := range a.endpoints[u.Unit] {
				users[e] = append(users[e], creditKey{daemon, u.Unit, e})
			}
		}
	}
	for e, keys := range users {
		slices.SortFunc(keys, func(x, y creditKey) int {
			return cmp.Or(cmp.Compare(x.daemon, y.daemon), cmp.Compare(x.unit, y.unit))
		})
		for i := 0; a.left[e] > 0; i++ {
			a.given[keys[i%len(keys)]]++
			a.left[e]--
		}
	}
}

func (a *allocation) credits() map[string][]Credit {
	byDaemon := map[string][]Credit{}
	for k, n := range a.given {
		byDaemon[k.daemon] = append(byDaemon[k.daemon], Credit{Unit: k.unit, Endpoint: k.endpoint, Limit: n})
	}
	for _, list := range byDaemon {
		slices.SortFunc(list, func(x, y Credit) int {
			return cmp.Or(cmp.Compare(x.Unit, y.Unit), cmp.Compare(x.Endpoint, y.Endpoint))
		})
	}
	return byDaemon
}

// Users returns the number of daemons that have recently reported a unit.
func (al *Allocator) Users(unit string) int {
	n := 0
	for _, r := range al.reports {
		for _, u := range r.units {
			if u.Unit == unit {
				n++
			}
		}
	}
	return n
}

// Len returns the number of daemons that have reported recently.
func (al *Allocator) Len() int { return len(al.reports) }
