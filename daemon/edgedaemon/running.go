package edgedaemon

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/doorvalve/doorvalve/coordination/balance"
	"github.com/doorvalve/doorvalve/coordination/residency"
	"github.com/doorvalve/doorvalve/internal/clock"
	"github.com/doorvalve/doorvalve/protocol/fleetpb"
	"github.com/doorvalve/doorvalve/state/fleet"
)

// What runs at each endpoint goes to all daemons several times a second: a byte for each
// endpoint, in the order of their ids, beside a name of that list. Both sides have the
// list from the store. At 600 endpoints and residency.TellSoon, that is 0.2 MB a second
// for the coordinator, whatever the number of daemons.

// mostRunning is the largest count that is told; more is told as this.
const mostRunning = 255

// packRunning encodes what runs at each endpoint, sorted by id.
func packRunning(list []residency.Running) *fleetpb.DemandResponse {
	counts := make([]byte, len(list))
	name := xxhash.New()
	for i, r := range list {
		counts[i] = byte(min(mostRunning, max(0, r.Requests)))
		addLife(name, r.Endpoint)
	}
	return &fleetpb.DemandResponse{Endpoints: name.Sum64(), Running: counts}
}

func addLife(name *xxhash.Digest, life fleet.Incarnation) {
	var born [8]byte
	binary.LittleEndian.PutUint64(born[:], uint64(life.StartUnixMs))
	_, _ = name.WriteString(life.ID) // never fails
	_, _ = name.Write(born[:])       // never fails
}

// listsKept is the number of lists of endpoints that are remembered: a coordinator may
// be some changes ahead or behind.
const listsKept = 8

// endpointLists remembers lists of endpoints by their names. It is not safe for
// concurrent use.
type endpointLists struct {
	lists []endpointList // newest last
}

type endpointList struct {
	name  uint64
	lives []fleet.Incarnation
}

// running decodes what a coordinator tells, by the present list of endpoints, sorted by
// id, or one of those before; nil if it is of none of them.
func (l *endpointLists) running(present []*fleet.Endpoint, resp *fleetpb.DemandResponse) []residency.Running {
	l.remember(present)
	i := slices.IndexFunc(l.lists, func(e endpointList) bool {
		return e.name == resp.Endpoints && len(e.lives) == len(resp.Running)
	})
	if i < 0 {
		return nil
	}
	list := make([]residency.Running, len(resp.Running))
	for at, n := range resp.Running {
		list[at] = residency.Running{Endpoint: l.lists[i].lives[at], Requests: int(n)}
	}
	return list
}

func (l *endpointLists) remember(present []*fleet.Endpoint) {
	digest := xxhash.New()
	lives := make([]fleet.Incarnation, len(present))
	for i, e := range present {
		lives[i] = e.Incarnation()
		addLife(digest, lives[i])
	}
	name := digest.Sum64()
	l.lists = slices.DeleteFunc(l.lists, func(e endpointList) bool { return e.name == name })
	l.lists = append(l.lists, endpointList{name, lives})
	if len(l.lists) > listsKept {
		l.lists = slices.Delete(l.lists, 0, 1)
	}
}

// toldRunning takes what runs at the endpoints of a service, with mine of it by this
// daemon. What the others have told is half as old as the time between two of their
// words, on average; alive is their number.
func (d *Daemon) toldRunning(service string, list []residency.Running, mine balance.Running, alive int) {
	if list == nil {
		return
	}
	all := make(balance.Running, len(list))
	for _, r := range list {
		all[r.Endpoint] = r.Requests
	}
	each := max(residency.DemandInterval, residency.DemandDelay(alive))
	d.balancer.ReceiveRunning(service, clock.Now().Add(-each/2), all, mine)
}
