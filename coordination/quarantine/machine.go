package quarantine

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/fleet"
)

// Machine holds one daemon's records of suspect requests. It is not safe for concurrent use.
//
// Invariants: an incarnation counts at most once in a record; a cleared crash stays cleared and the
// number of probes never falls, so records can be merged in any order; a request is held back only
// if its crashes reach the threshold, and every hold has a time at which the next probe is due.
type Machine struct {
	records       map[protocol.Fingerprint]*Record
	byIncarnation map[fleet.Incarnation]map[protocol.Fingerprint]bool
	pending       map[protocol.Fingerprint]bool // not yet sent to other daemons
	held          map[protocol.Fingerprint]Assessment
	changed       map[protocol.Fingerprint]bool // held back or released since the last TakeChanged
}

// New returns a machine without records.
func New() *Machine {
	return &Machine{
		records: map[protocol.Fingerprint]*Record{}, byIncarnation: map[fleet.Incarnation]map[protocol.Fingerprint]bool{},
		pending: map[protocol.Fingerprint]bool{}, held: map[protocol.Fingerprint]Assessment{}, changed: map[protocol.Fingerprint]bool{},
	}
}

// CrashedAttempt is an attempt during which its endpoint crashed.
type CrashedAttempt struct {
	Fingerprint protocol.Fingerprint
	Crash       Crash
	Software    Software
	// Part is the id of the prompt part whose fingerprint this is; empty for that of a request.
	Part string
}

// ObserveCrash adds a crash that this daemon has detected. A crash that changes the record becomes
// pending for the other daemons once.
func (m *Machine) ObserveCrash(now time.Time, a CrashedAttempt) {
	m.Merge(now, []Record{{Fingerprint: a.Fingerprint, Part: a.Part, Crashes: []Crash{a.Crash}, Software: []Software{a.Software}}})
}

// ObservePartSuccess processes the successful answer to a request with a part, from an endpoint with
// some software. It clears the crashes of that software: a part that crashes each endpoint which
// begins to answer is never answered. Where other software has crashed, the part is known to be
// served on this one.
func (m *Machine) ObservePartSuccess(now time.Time, print protocol.Fingerprint, on Software) {
	r := m.records[print]
	if r == nil || r.uncleared() == 0 {
		return
	}
	next := r.clone()
	for i := range next.Crashes {
		next.Crashes[i].Cleared = next.Crashes[i].Cleared || next.Crashes[i].Software == on
	}
	if next.uncleared() > 0 {
		next.ServedOn = append(next.ServedOn, on)
	}
	m.Merge(now, []Record{next})
}

// ObserveSuccess processes the successful answer to a request sent at the given time. If the
// request is held back and was sent after its last crash, the answer clears all its crashes.
// Otherwise one answer clears one crash, so that a request that crashes every other endpoint is
// still held back eventually.
func (m *Machine) ObserveSuccess(now time.Time, print protocol.Fingerprint, sent time.Time) {
	r := m.records[print]
	if r == nil || r.uncleared() == 0 {
		return
	}
	next := r.clone()
	all := m.held[print].Held() && sent.After(r.lastCrash())
	for i := range next.Crashes {
		if next.Crashes[i].Cleared {
			continue
		}
		next.Crashes[i].Cleared = true
		if !all {
			break
		}
	}
	m.Merge(now, []Record{next})
}

// GrantProbe reports whether a request may be sent now. If the request is held back and its probe
// is due, GrantProbe counts the probe and returns true. Only the daemon that all daemons agree on
// for the fingerprint calls it.
func (m *Machine) GrantProbe(now time.Time, print protocol.Fingerprint, on Software, isolated bool) bool {
	a := m.held[print]
	if !a.Held() {
		return true
	}
	if !a.ProbeDue(now, on, isolated) {
		return false
	}
	next := a.Record.clone()
	next.Probes++
	next.ProbedAt = now
	next.Software = append(next.Software, on)
	m.Merge(now, []Record{next})
	return true
}

// ReturnProbe processes a probe that reached no endpoint. Such a probe shows nothing, so the next
// one is due at once.
func (m *Machine) ReturnProbe(now time.Time, print protocol.Fingerprint, probe int) {
	r := m.records[print]
	if r == nil || r.Probes != probe || r.LastReturned >= probe {
		return // a later probe was granted, or this one was returned already
	}
	next := r.clone()
	next.Returned++
	next.LastReturned = probe
	m.Merge(now, []Record{next})
}

// MarkServedBefore sets Crash.ServedBefore where servedBefore reports that this daemon had served
// the request shortly before the attempt was sent. The crashes may have been reported by other
// daemons.
func (m *Machine) MarkServedBefore(now time.Time, print protocol.Fingerprint, servedBefore func(Crash) bool) {
	r := m.records[print]
	if r == nil {
		return
	}
	next := r.clone()
	changed := false
	for i := range next.Crashes {
		crash := &next.Crashes[i]
		if !crash.ServedBefore && servedBefore(*crash) {
			crash.ServedBefore, changed = true, true
		}
	}
	if changed {
		m.Merge(now, []Record{next})
	}
}

// MarkServedOn records that requests with a part have been answered by endpoints with the given
// software, where none of these has crashed.
func (m *Machine) MarkServedOn(now time.Time, print protocol.Fingerprint, software []Software) {
	r := m.records[print]
	if r == nil || r.Part == "" {
		return
	}
	next := Record{Fingerprint: print, Part: r.Part}
	for _, s := range software {
		if !slices.ContainsFunc(r.Crashes, func(c Crash) bool { return c.Software == s }) {
			next.ServedOn = append(next.ServedOn, s)
		}
	}
	if len(next.ServedOn) > 0 {
		next.Crashes = r.Crashes
		m.Merge(now, []Record{next})
	}
}

// Merge adds records from other daemons or from this one. It is idempotent and independent of the
// order of the calls.
func (m *Machine) Merge(now time.Time, records []Record) {
	for i := range records {
		in := &records[i]
		if now.Sub(in.lastActivity()) > Retention {
			continue
		}
		r := m.records[in.Fingerprint]
		if r == nil {
			r = &Record{Fingerprint: in.Fingerprint, Part: in.Part}
			m.records[in.Fingerprint] = r
		}
		m.unindex(r)
		changed := r.merge(in)
		m.index(r)
		if changed {
			m.pending[r.Fingerprint] = true
			m.reassess(r)
		}
	}
	m.enforceLimit()
}

// index registers a record under the incarnations that crashed during its request.
func (m *Machine) index(r *Record) {
	for _, crash := range r.Crashes {
		if m.byIncarnation[crash.Incarnation] == nil {
			m.byIncarnation[crash.Incarnation] = map[protocol.Fingerprint]bool{}
		}
		m.byIncarnation[crash.Incarnation][r.Fingerprint] = true
	}
}

func (m *Machine) unindex(r *Record) {
	for _, crash := range r.Crashes {
		delete(m.byIncarnation[crash.Incarnation], r.Fingerprint)
		if len(m.byIncarnation[crash.Incarnation]) == 0 {
			delete(m.byIncarnation, crash.Incarnation)
		}
	}
}

// merge adds the content of another copy of the record, and reports whether that changed anything.
func (r *Record) merge(in *Record) bool {
	changed := false
	for _, crash := range in.Crashes {
		changed = r.addCrash(crash) || changed
	}
	if in.Probes > r.Probes {
		r.Probes, changed = in.Probes, true
		r.ProbedAt = in.ProbedAt
	}
	if in.Returned > r.Returned || in.LastReturned > r.LastReturned {
		r.Returned, r.LastReturned, changed = max(r.Returned, in.Returned), max(r.LastReturned, in.LastReturned), true
	}
	for _, s := range in.Software {
		if !slices.Contains(r.Software, s) && len(r.Software) < maxSoftware {
			r.Software, changed = append(r.Software, s), true
		}
	}
	slices.Sort(r.Software)
	for _, s := range in.ServedOn {
		if !slices.Contains(r.ServedOn, s) && len(r.ServedOn) < maxSoftware {
			r.ServedOn, changed = append(r.ServedOn, s), true
		}
	}
	slices.Sort(r.ServedOn)
	return changed
}

func (r *Record) addCrash(crash Crash) bool {
	i := slices.IndexFunc(r.Crashes, crash.Same)
	if i >= 0 {
		have := &r.Crashes[i]
		changed := crash.Cleared && !have.Cleared || crash.ServedBefore && !have.ServedBefore || have.Doubtful && !crash.Doubtful || crash.Order < have.Order
		have.ServedBefore = have.ServedBefore || crash.ServedBefore
		have.Order = min(have.Order, crash.Order)
		have.Cleared = have.Cleared || crash.Cleared
		have.Doubtful = have.Doubtful && crash.Doubtful
		if attempts := mergeAttempts(have.Attempts, crash.Attempts); !slices.Equal(attempts, have.Attempts) {
			have.Attempts, changed = attempts, true
		}
		return changed
	}
	crash.Attempts = mergeAttempts(nil, crash.Attempts)
	if len(r.Crashes) >= maxCrashes && compareCrashes(crash, r.Crashes[0]) < 0 {
		return false
	}
	r.Crashes = append(r.Crashes, crash)
	slices.SortFunc(r.Crashes, compareCrashes)
	r.Crashes = r.Crashes[max(0, len(r.Crashes)-maxCrashes):]
	return true
}

// mergeAttempts returns the union of both lists, reduced to the maxAttempts lowest tags, so that
// the result does not depend on the order in which daemons receive them.
func mergeAttempts(a, b []uint32) []uint32 {
	if len(b) == 0 {
		return a
	}
	all := slices.Concat(a, b)
	slices.Sort(all)
	all = slices.Compact(all)
	return all[:min(maxAttempts, len(all))]
}

func compareCrashes(a, b Crash) int {
	return cmp.Or(cmp.Compare(a.Order, b.Order), cmp.Compare(a.Incarnation.ID, b.Incarnation.ID), cmp.Compare(a.Incarnation.StartUnixMs, b.Incarnation.StartUnixMs))
}

// uncleared returns the number of crashes that are not cleared, doubtful ones included.
func (r *Record) uncleared() int {
	n := 0
	for _, crash := range r.Crashes {
		if !crash.Cleared {
			n++
		}
	}
	return n
}

func (r *Record) lastCrash() time.Time {
	at := time.Time{}
	for _, crash := range r.Crashes {
		if crash.At.After(at) {
			at = crash.At
		}
	}
	return at
}

// reassess updates the assessment of a record that has changed, and of all records that share an
// incarnation with it.
func (m *Machine) reassess(r *Record) {
	affected := map[protocol.Fingerprint]bool{r.Fingerprint: true}
	for _, crash := range r.Crashes {
		maps.Copy(affected, m.byIncarnation[crash.Incarnation])
	}
	for print := range affected {
		m.reassessOne(print)
	}
}

func (m *Machine) reassessOne(print protocol.Fingerprint) {
	a := m.assess(m.records[print])
	if a.Held() != m.held[print].Held() {
		m.changed[print] = true
	}
	if a.Held() {
		m.held[print] = a
	} else {
		delete(m.held, print)
	}
}

// Expire removes records without activity for longer than Retention.
func (m *Machine) Expire(now time.Time) {
	for print, r := range m.records {
		if now.Sub(r.lastActivity()) > Retention {
			m.remove(print)
		}
	}
}

func (m *Machine) remove(print protocol.Fingerprint) {
	m.unindex(m.records[print])
	delete(m.records, print)
	delete(m.pending, print)
	if m.held[print].Held() {
		m.changed[print] = true
		delete(m.held, print)
	}
}

// enforceLimit removes the lowest-ranked records when there are more than maxRecords. It removes an
// eighth at once, so that during a flood the records are not sorted for every request.
func (m *Machine) enforceLimit() {
	if len(m.records) <= maxRecords {
		return
	}
	for _, r := range m.ranked()[maxRecords*7/8:] {
		m.remove(r.Fingerprint)
	}
}

// ranked returns all records: first those of requests that are held back, then by the number of
// uncleared crashes, then by latest activity.
func (m *Machine) ranked() []*Record {
	list := make([]*Record, 0, len(m.records))
	for _, r := range m.records {
		list = append(list, r)
	}
	rank := func(r *Record) int {
		if m.held[r.Fingerprint].Held() {
			return maxCrashes + 1
		}
		return r.uncleared()
	}
	slices.SortFunc(list, func(a, b *Record) int {
		return cmp.Or(cmp.Compare(rank(b), rank(a)), b.lastActivity().Compare(a.lastActivity()), bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]))
	})
	return list
}

// TakePending returns records that other daemons may lack, at most MaxPerMessage, and marks them as
// sent. more reports whether further ones are pending.
func (m *Machine) TakePending() (list []Record, more bool) {
	for print := range m.pending {
		if len(list) == MaxPerMessage {
			return list, true
		}
		list = append(list, m.records[print].clone())
		delete(m.pending, print)
	}
	return list, false
}

// HasPending reports whether TakePending would return a record.
func (m *Machine) HasPending() bool { return len(m.pending) > 0 }

// TakeChanged returns the requests that were held back or released since the last call.
func (m *Machine) TakeChanged() []Assessment {
	var list []Assessment
	for print := range m.changed {
		a, held := m.held[print]
		if !held {
			a.Record.Fingerprint = print
			if r := m.records[print]; r != nil {
				a.Record = r.clone()
			}
		}
		list = append(list, a)
	}
	clear(m.changed)
	return list
}

// Held returns the requests that are held back. The map is a copy.
func (m *Machine) Held() map[protocol.Fingerprint]Assessment {
	return maps.Clone(m.held)
}

// SuspectParts returns the parts that count in full for a crash, held back or not. While nothing is held
// back it returns none. The map is a copy.
func (m *Machine) SuspectParts() map[protocol.Fingerprint]bool {
	parts := map[protocol.Fingerprint]bool{}
	if len(m.held) == 0 {
		return parts
	}
	for print, r := range m.records {
		if r.Part != "" && r.wholeCrashes() > 0 {
			parts[print] = true
		}
	}
	return parts
}

// Len returns the number of records.
func (m *Machine) Len() int { return len(m.records) }

// Lookup returns the record of a request, if there is one.
func (m *Machine) Lookup(print protocol.Fingerprint) (Record, bool) {
	r := m.records[print]
	if r == nil {
		return Record{}, false
	}
	return r.clone(), true
}

// Top returns the highest-ranked records, at most MaxPerMessage, for example for a daemon that has
// just started.
func (m *Machine) Top() []Record {
	list := m.ranked()
	out := make([]Record, 0, min(MaxPerMessage, len(list)))
	for _, r := range list[:min(MaxPerMessage, len(list))] {
		out = append(out, r.clone())
	}
	return out
}

// Digest returns a checksum of all records: daemons with equal digests hold the same records. Times
// are left out because each daemon keeps them by its own clock.
func (m *Machine) Digest() uint64 {
	var digest uint64
	for _, r := range m.records {
		digest += r.digest()
	}
	return digest
}

// DigestOf returns the checksum of a list of records, computed as in Machine.Digest.
func DigestOf(records []Record) uint64 {
	var digest uint64
	for i := range records {
		digest += records[i].digest()
	}
	return digest
}

func (r *Record) digest() uint64 {
	digest := xxhash.Sum64(r.Fingerprint[:]) * uint64(2*r.Probes+1)
	digest += xxhash.Sum64(r.Fingerprint[8:]) * uint64(r.Returned+r.LastReturned<<16)
	for _, crash := range r.Crashes {
		digest += crashDigest(r.Fingerprint, crash)
	}
	for _, s := range r.ServedOn {
		digest += xxhash.Sum64(r.Fingerprint[:]) ^ uint64(s)
	}
	return digest
}

func crashDigest(print protocol.Fingerprint, crash Crash) uint64 {
	h := xxhash.New()
	var state [9]byte
	binary.LittleEndian.PutUint64(state[:], uint64(crash.Incarnation.StartUnixMs))
	if crash.Cleared {
		state[8] |= 1
	}
	if crash.Doubtful {
		state[8] |= 2
	}
	if crash.ServedBefore {
		state[8] |= 4
	}
	_, _ = h.Write(print[:])                   // never fails
	_, _ = h.WriteString(crash.Incarnation.ID) // never fails
	_, _ = h.Write(state[:])                   // never fails
	for _, tag := range crash.Attempts {
		binary.LittleEndian.PutUint32(state[:], tag)
		_, _ = h.Write(state[:4]) // never fails
	}
	return h.Sum64()
}
