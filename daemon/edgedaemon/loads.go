package edgedaemon

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/doorvalve/doorvalve/coordination/balance"
	"github.com/doorvalve/doorvalve/coordination/residency"
	"github.com/doorvalve/doorvalve/coordination/workcost"
	"github.com/doorvalve/doorvalve/internal/clock"
	"github.com/doorvalve/doorvalve/protocol/fleetpb"
	"github.com/doorvalve/doorvalve/state/fleet"
)

// A coordinator sends the work at each endpoint to all daemons several times a second. The message
// has four lists with a byte for each endpoint: requests, pending prompt tokens, speeds and held
// tokens, each in the order of the endpoints' ids, and a hash of that list of endpoints. Both sides
// have the list from the store. Of the last three, a list of zeros is left out; that is the usual
// case for speeds and held tokens, of which only unusual values are sent. With 600 endpoints and the
// interval of residency.DemandDelay, the coordinator sends at most 0.8 MB a second, whatever the
// number of daemons.

const (
	// maxCode is the largest value of a byte; larger counts are sent as maxCode.
	maxCode = 255
	// pendingUnit and heldUnit are the number of tokens that one step of a byte stands for. They let
	// a byte reach 65,000 pending prompt tokens, two seconds of work, and 522,000 held tokens, twice
	// the cache of an engine.
	pendingUnit = 256
	heldUnit    = 2048
	// heldFloor is the number of held tokens below which none are sent: the caches of engines hold
	// 69,000 tokens and more, so that such an engine has room.
	heldFloor = 32_768
	// sentSpeedRatio is the factor by which a speed must differ from the average to be sent. Smaller
	// differences are within the error of the estimates, and balancers ignore them.
	sentSpeedRatio = 1.25
)

// packLoads encodes the work at each endpoint. list must be sorted by id.
func packLoads(list []residency.EngineLoad) *fleetpb.DemandResponse {
	n := len(list)
	b := make([]byte, 4*n)
	resp := &fleetpb.DemandResponse{Running: b[:n:n], Pending: b[n : 2*n : 2*n], Speed: b[2*n : 3*n : 3*n], Held: b[3*n:]}
	hash := xxhash.New()
	for i, l := range list {
		resp.Running[i] = countToCode(l.Requests, 1)
		resp.Pending[i] = countToCode(l.PendingPrompt, pendingUnit)
		if l.Speed > sentSpeedRatio || l.Speed < 1/sentSpeedRatio {
			resp.Speed[i] = speedToCode(l.Speed)
		}
		if l.Held >= heldFloor {
			resp.Held[i] = countToCode(l.Held, heldUnit)
		}
		hashIncarnation(hash, l.Endpoint)
	}
	resp.Endpoints = hash.Sum64()
	resp.Pending, resp.Speed, resp.Held = unlessZero(resp.Pending), unlessZero(resp.Speed), unlessZero(resp.Held)
	return resp
}

// unlessZero returns nil for a list of zeros: the receiver takes an absent list for zeros.
func unlessZero(list []byte) []byte {
	if !slices.ContainsFunc(list, func(b byte) bool { return b != 0 }) {
		return nil
	}
	return list
}

// countToCode returns the nearest number of units. Rounding up would show work at an idle endpoint
// that the receiver's own requests cause and that it has subtracted.
func countToCode(count, unit int) byte {
	return byte(min(maxCode, (max(0, count)+unit/2)/unit))
}

// Speeds are sent as speedCodeOfOne plus speedStepsPerDoubling steps for each doubling.
const (
	speedCodeOfOne        = 128
	speedStepsPerDoubling = 32
)

func speedToCode(relative float64) byte {
	relative = workcost.BoundedSpeed(relative)
	if relative == 0 {
		return 0
	}
	return byte(math.Round(speedCodeOfOne + speedStepsPerDoubling*math.Log2(relative)))
}

// speedFromCode returns zero if the speed is not known.
func speedFromCode(code byte) float64 {
	if code == 0 {
		return 0
	}
	return workcost.BoundedSpeed(math.Exp2((float64(code) - speedCodeOfOne) / speedStepsPerDoubling))
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

// unpackLoads decodes a coordinator's message with the endpoint list that it was encoded with:
// present, which must be sorted by id, or an earlier list. It returns nil if that list is not known
// here. Pending prompt tokens, speeds and held tokens that are absent, as from an old coordinator,
// or that do not fit the list are not known, and are zero.
func (l *endpointLists) unpackLoads(present []*fleet.Endpoint, resp *fleetpb.DemandResponse) []residency.EngineLoad {
	l.add(present)
	i := slices.IndexFunc(l.lists, func(e endpointList) bool {
		return e.hash == resp.Endpoints && len(e.incarnations) == len(resp.Running)
	})
	if i < 0 {
		return nil
	}
	n := len(resp.Running)
	pending, speed, held := codes(resp.Pending, n), codes(resp.Speed, n), codes(resp.Held, n)
	list := make([]residency.EngineLoad, n)
	for at := range list {
		list[at] = residency.EngineLoad{
			Endpoint: l.lists[i].incarnations[at], Requests: int(resp.Running[at]), Speed: speedFromCode(speed[at]),
			EngineWork: residency.EngineWork{PendingPrompt: int(pending[at]) * pendingUnit, Held: int(held[at]) * heldUnit},
		}
	}
	return list
}

// codes returns b if it has one byte for each of n endpoints, otherwise zeros.
func codes(b []byte, n int) []byte {
	if len(b) != n {
		return make([]byte, n)
	}
	return b
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

// receiveLoads passes the work at the endpoints of a service to the balancer. own is this daemon's
// part of it. The reports that the coordinator has of each daemon are on average half a reporting
// interval old; alive, the number of daemons, determines that interval.
func (d *Daemon) receiveLoads(service string, list []residency.EngineLoad, own balance.EngineLoads, alive int) {
	if list == nil {
		return
	}
	all := make(balance.EngineLoads, len(list))
	for _, l := range list {
		all[l.Endpoint] = balance.EngineLoad{Running: l.Requests, PendingPrompt: l.PendingPrompt, Held: l.Held, Speed: l.Speed}
	}
	interval := max(residency.DemandInterval, residency.DemandDelay(alive))
	d.balancer.ReceiveLoads(service, clock.Now().Add(-interval/2), all, own)
}
