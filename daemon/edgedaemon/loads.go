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

// A coordinator sends the number of requests at each endpoint to all daemons several times
// a second. The message has one byte for each endpoint, in the order of their ids, and a
// hash of that list of endpoints. Both sides have the list from the store. With 600
// endpoints and the interval of residency.DemandDelay, the coordinator sends 0.2 MB a
// second, whatever the number of daemons.

// maxRunning is the largest count that a message can hold; larger counts are sent as
// maxRunning.
const maxRunning = 255

// packRunning encodes the number of requests at each endpoint. list must be sorted by id.
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

// maxLists is the number of endpoint lists that are kept: the coordinator's list may be some
// changes newer or older than this daemon's.
const maxLists = 8

// endpointLists holds the latest endpoint lists with their hashes. The zero value is
// ready to use. It is not safe for concurrent use.
type endpointLists struct {
	lists []endpointList // newest last
}

type endpointList struct {
	hash         uint64
	incarnations []fleet.Incarnation
}

// unpackRunning decodes a coordinator's message with the endpoint list that it was encoded
// with: present, which must be sorted by id, or an earlier list. It returns nil if that list
// is not known here.
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

// receiveRunning passes the number of requests at the endpoints of a service to the balancer.
// mine is this daemon's part of them. The counts that the coordinator has of each daemon are
// on average half a reporting interval old; alive, the number of daemons, determines that
// interval.
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
