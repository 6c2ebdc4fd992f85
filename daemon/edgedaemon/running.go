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
const maxRunning = 255

// packRunning encodes what runs at each endpoint, sorted by id.
func packRunning(list []residency.Running) *fleetpb.DemandResponse {
	counts := make([]byte, len(list))
	hash := xxhash.New()
	for i, r := range list {
		counts[i] = byte(min(maxRunning, max(0, r.Requests)))
		hashIncarnation(hash, r.Endpoint)
	}
	return &fleetpb.DemandResponse{Endpoints: hash.Sum64(), Running: counts}
}

func hashIncarnation(hash *xxhash.Digest, incarnation fleet.Incarnation) {
	var start [8]byte
	binary.LittleEndian.PutUint64(start[:], uint64(incarnation.StartUnixMs))
	_, _ = hash.WriteString(incarnation.ID) // never fails
	_, _ = hash.Write(start[:])             // never fails
}

// listsKept is the number of lists of endpoints that are remembered: a coordinator may
// be some changes ahead or behind.
const maxLists = 8

// endpointLists remembers lists of endpoints by their names. It is not safe for
// concurrent use.
type endpointLists struct {
	lists []endpointList // newest last
}

type endpointList struct {
	hash         uint64
	incarnations []fleet.Incarnation
}

// running decodes what a coordinator tells, by the present list of endpoints, sorted by
// id, or one of those before; nil if it is of none of them.
func (l *endpointLists) unpackRunning(present []*fleet.Endpoint, resp *fleetpb.DemandResponse) []residency.Running {
	l.add(present)
	i := slices.IndexFunc(l.lists, func(e endpointList) bool {
		return e.hash == resp.Endpoints && len(e.incarnations) == len(resp.Running)
	})
	if i < 0 {
		return nil
	}
	list := make([]residency.Running, len(resp.Running))
	for at, n := range resp.Running {
		list[at] = residency.Running{Endpoint: l.lists[i].incarnations[at], Requests: int(n)}
	}
	return list
}

func (l *endpointLists) add(present []*fleet.Endpoint) {
	digest := xxhash.New()
	incarnations := make([]fleet.Incarnation, len(present))
	for i, e := range present {
		incarnations[i] = e.Incarnation()
		hashIncarnation(digest, incarnations[i])
	}
	hash := digest.Sum64()
	l.lists = slices.DeleteFunc(l.lists, func(e endpointList) bool { return e.hash == hash })
	l.lists = append(l.lists, endpointList{hash, incarnations})
	if len(l.lists) > maxLists {
		l.lists = slices.Delete(l.lists, 0, 1)
	}
}

// toldRunning takes what runs at the endpoints of a service, with mine of it by this
// daemon. What the others have told is half as old as the time between two of their
// words, on average; alive is their number.
func (d *Daemon) receiveRunning(service string, list []residency.Running, mine balance.Running, alive int) {
	if list == nil {
		return
	}
	all := make(balance.Running, len(list))
	for _, r := range list {
		all[r.Endpoint] = r.Requests
	}
	interval := max(residency.DemandInterval, residency.DemandDelay(alive))
	d.balancer.ReceiveRunning(service, clock.Now().Add(-interval/2), all, mine)
}
