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
	cases  map[protocol.Fingerprint]*Record
	byLife map[fleet.Incarnation]map[protocol.Fingerprint]bool
	news   map[protocol.Fingerprint]bool // not yet sent to other daemons
	held   map[protocol.Fingerprint]Assessment
	turned map[protocol.Fingerprint]bool // held back or released since the last TakeChanged
}

// New returns a machine without records.
func New() *Machine {
	return &Machine{
		cases: map[protocol.Fingerprint]*Record{}, byLife: map[fleet.Incarnation]map[protocol.Fingerprint]bool{},
		news: map[protocol.Fingerprint]bool{}, held: map[protocol.Fingerprint]Assessment{}, turned: map[protocol.Fingerprint]bool{},
	}
}

// CrashedAttempt is an attempt during which its endpoint crashed.
type CrashedAttempt struct {
	Fingerprint protocol.Fingerprint
	Crash       Crash
	Software    Software
}

// ObserveCrash adds a crash that this daemon has detected. A crash that changes the record becomes
// pending for the other daemons once.
func (m *Machine) ObserveCrash(now time.Time, r CrashedAttempt) {
	m.Merge(now, []Record{{Fingerprint: r.Fingerprint, Crashes: []Crash{r.Crash}, Software: []Software{r.Software}}})
}

// ObserveSuccess processes the successful answer to a request sent at the given time. If the
// request is held back and was sent after its last crash, the answer clears all its crashes.
// Otherwise one answer clears one crash, so that a request that crashes every other endpoint is
// still held back eventually.
func (m *Machine) ObserveSuccess(now time.Time, print protocol.Fingerprint, sent time.Time) {
	c := m.cases[print]
	if c == nil || c.endsLeft() == 0 {
		return
	}
	next := c.clone()
	all := m.held[print].Held() && sent.After(c.lastEnd())
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
func (m *Machine) GrantProbe(now time.Time, print protocol.Fingerprint, on Software) bool {
	s := m.held[print]
	if !s.Held() {
		return true
	}
	if !s.ProbeDue(now, on) {
		return false
	}
	next := s.Record.clone()
	next.Probes++
	next.ProbedAt = now
	next.Software = append(next.Software, on)
	m.Merge(now, []Record{next})
	return true
}

// ReturnProbe processes a probe that reached no endpoint. Such a probe shows nothing, so the next
// one is due at once.
func (m *Machine) ReturnProbe(now time.Time, print protocol.Fingerprint, trial int) {
	c := m.cases[print]
	if c == nil || c.Probes != trial || c.LastReturned >= trial {
		return // a later probe was granted, or this one was returned already
	}
	next := c.clone()
	next.Returned++
	next.LastReturned = trial
	m.Merge(now, []Record{next})
}

// MarkServedBefore sets Crash.ServedBefore where servedBefore reports that this daemon had served
// the request shortly before the attempt was sent. The crashes may have been reported by other
// daemons.
func (m *Machine) MarkServedBefore(now time.Time, print protocol.Fingerprint, servedBefore func(sent time.Time) bool) {
	c := m.cases[print]
	if c == nil {
		return
	}
	next := c.clone()
	learned := false
	for i := range next.Crashes {
		e := &next.Crashes[i]
		if !e.ServedBefore && servedBefore(e.Sent) {
			e.ServedBefore, learned = true, true
		}
	}
	if learned {
		m.Merge(now, []Record{next})
	}
}

// Merge adds records from other daemons or from this one. It is idempotent and independent of the
// order of the calls.
func (m *Machine) Merge(now time.Time, cases []Record) {
	for i := range cases {
		in := &cases[i]
		if now.Sub(in.last()) > Retention {
			continue
		}
		c := m.cases[in.Fingerprint]
		if c == nil {
			c = &Record{Fingerprint: in.Fingerprint}
			m.cases[in.Fingerprint] = c
		}
		m.unindex(c)
		news := c.merge(in)
		m.index(c)
		if news {
			m.news[c.Fingerprint] = true
			m.judge(c)
		}
	}
	m.bound()
}

// index registers a record under the incarnations that crashed during its request.
func (m *Machine) index(c *Record) {
	for _, e := range c.Crashes {
		if m.byLife[e.Incarnation] == nil {
			m.byLife[e.Incarnation] = map[protocol.Fingerprint]bool{}
		}
		m.byLife[e.Incarnation][c.Fingerprint] = true
	}
}

func (m *Machine) unindex(c *Record) {
	for _, e := range c.Crashes {
		delete(m.byLife[e.Incarnation], c.Fingerprint)
		if len(m.byLife[e.Incarnation]) == 0 {
			delete(m.byLife, e.Incarnation)
		}
	}
}

// merge adds the content of another copy of the record, and reports whether that changed anything.
func (c *Record) merge(in *Record) bool {
	news := false
	for _, e := range in.Crashes {
		news = c.addEnd(e) || news
	}
	if in.Probes > c.Probes {
		c.Probes, news = in.Probes, true
		c.ProbedAt = in.ProbedAt
	}
	if in.Returned > c.Returned || in.LastReturned > c.LastReturned {
		c.Returned, c.LastReturned, news = max(c.Returned, in.Returned), max(c.LastReturned, in.LastReturned), true
	}
	for _, s := range in.Software {
		if !slices.Contains(c.Software, s) && len(c.Software) < mostSoftware {
			c.Software, news = append(c.Software, s), true
		}
	}
	slices.Sort(c.Software)
	return news
}

func (c *Record) addEnd(e Crash) bool {
	i := slices.IndexFunc(c.Crashes, e.Same)
	if i >= 0 {
		have := &c.Crashes[i]
		news := e.Cleared && !have.Cleared || e.ServedBefore && !have.ServedBefore || have.Doubtful && !e.Doubtful || e.Order < have.Order
		have.ServedBefore = have.ServedBefore || e.ServedBefore
		have.Order = min(have.Order, e.Order)
		have.Cleared = have.Cleared || e.Cleared
		have.Doubtful = have.Doubtful && e.Doubtful
		if attempts := mergeAttempts(have.Attempts, e.Attempts); !slices.Equal(attempts, have.Attempts) {
			have.Attempts, news = attempts, true
		}
		return news
	}
	e.Attempts = mergeAttempts(nil, e.Attempts)
	if len(c.Crashes) >= mostEnds && compareEnds(e, c.Crashes[0]) < 0 {
		return false
	}
	c.Crashes = append(c.Crashes, e)
	slices.SortFunc(c.Crashes, compareEnds)
	c.Crashes = c.Crashes[max(0, len(c.Crashes)-mostEnds):]
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
	return all[:min(mostAttempts, len(all))]
}

func compareEnds(a, b Crash) int {
	return cmp.Or(cmp.Compare(a.Order, b.Order), cmp.Compare(a.Incarnation.ID, b.Incarnation.ID), cmp.Compare(a.Incarnation.StartUnixMs, b.Incarnation.StartUnixMs))
}

// uncleared returns the number of crashes that are not cleared, doubtful ones included.
func (c *Record) endsLeft() int {
	n := 0
	for _, e := range c.Crashes {
		if !e.Cleared {
			n++
		}
	}
	return n
}

func (c *Record) lastEnd() time.Time {
	at := time.Time{}
	for _, e := range c.Crashes {
		if e.At.After(at) {
			at = e.At
		}
	}
	return at
}

// reassess updates the assessment of a record that has changed, and of all records that share an
// incarnation with it.
func (m *Machine) judge(c *Record) {
	beside := map[protocol.Fingerprint]bool{c.Fingerprint: true}
	for _, e := range c.Crashes {
		maps.Copy(beside, m.byLife[e.Incarnation])
	}
	for print := range beside {
		m.judgeOne(print)
	}
}

func (m *Machine) judgeOne(print protocol.Fingerprint) {
	s := m.standing(m.cases[print])
	if s.Held() != m.held[print].Held() {
		m.turned[print] = true
	}
	if s.Held() {
		m.held[print] = s
	} else {
		delete(m.held, print)
	}
}

// Expire removes records without activity for longer than Retention.
func (m *Machine) Expire(now time.Time) {
	for print, c := range m.cases {
		if now.Sub(c.last()) > Retention {
			m.forget(print)
		}
	}
}

func (m *Machine) forget(print protocol.Fingerprint) {
	m.unindex(m.cases[print])
	delete(m.cases, print)
	delete(m.news, print)
	if m.held[print].Held() {
		m.turned[print] = true
		delete(m.held, print)
	}
}

// enforceLimit removes the lowest-ranked records when there are more than maxRecords. It removes an
// eighth at once, so that during a flood the records are not sorted for every request.
func (m *Machine) bound() {
	if len(m.cases) <= mostCases {
		return
	}
	for _, c := range m.byWorth()[mostCases*7/8:] {
		m.forget(c.Fingerprint)
	}
}

// ranked returns all records: first those of requests that are held back, then by the number of
// uncleared crashes, then by latest activity.
func (m *Machine) byWorth() []*Record {
	list := make([]*Record, 0, len(m.cases))
	for _, c := range m.cases {
		list = append(list, c)
	}
	rank := func(c *Record) int {
		if m.held[c.Fingerprint].Held() {
			return mostEnds + 1
		}
		return c.endsLeft()
	}
	slices.SortFunc(list, func(a, b *Record) int {
		return cmp.Or(cmp.Compare(rank(b), rank(a)), b.last().Compare(a.last()), bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]))
	})
	return list
}

// TakePending returns records that other daemons may lack, at most MaxPerMessage, and marks them as
// sent. more reports whether further ones are pending.
func (m *Machine) TakePending() (list []Record, more bool) {
	for print := range m.news {
		if len(list) == MaxPerMessage {
			return list, true
		}
		list = append(list, m.cases[print].clone())
		delete(m.news, print)
	}
	return list, false
}

// HasPending reports whether TakePending would return a record.
func (m *Machine) HasPending() bool { return len(m.news) > 0 }

// TakeChanged returns the requests that were held back or released since the last call.
func (m *Machine) TakeChanged() []Assessment {
	var list []Assessment
	for print := range m.turned {
		s, held := m.held[print]
		if !held {
			s.Record.Fingerprint = print
			if c := m.cases[print]; c != nil {
				s.Record = c.clone()
			}
		}
		list = append(list, s)
	}
	clear(m.turned)
	return list
}

// Held returns the requests that are held back. The map is a copy.
func (m *Machine) Held() map[protocol.Fingerprint]Assessment {
	return maps.Clone(m.held)
}

// Len returns the number of records.
func (m *Machine) Len() int { return len(m.cases) }

// Lookup returns the record of a request, if there is one.
func (m *Machine) Lookup(print protocol.Fingerprint) (Record, bool) {
	c := m.cases[print]
	if c == nil {
		return Record{}, false
	}
	return c.clone(), true
}

// Top returns the highest-ranked records, at most MaxPerMessage, for example for a daemon that has
// just started.
func (m *Machine) Top() []Record {
	list := m.byWorth()
	out := make([]Record, 0, min(MaxPerMessage, len(list)))
	for _, c := range list[:min(MaxPerMessage, len(list))] {
		out = append(out, c.clone())
	}
	return out
}

// Digest returns a checksum of all records: daemons with equal digests hold the same records. Times
// are left out because each daemon keeps them by its own clock.
func (m *Machine) Digest() uint64 {
	var digest uint64
	for _, c := range m.cases {
		digest += c.digest()
	}
	return digest
}

// DigestOf returns the checksum of a list of records, computed as in Machine.Digest.
func DigestOf(cases []Record) uint64 {
	var digest uint64
	for i := range cases {
		digest += cases[i].digest()
	}
	return digest
}

func (c *Record) digest() uint64 {
	digest := xxhash.Sum64(c.Fingerprint[:]) * uint64(2*c.Probes+1)
	digest += xxhash.Sum64(c.Fingerprint[8:]) * uint64(c.Returned+c.LastReturned<<16)
	for _, e := range c.Crashes {
		digest += endDigest(c.Fingerprint, e)
	}
	return digest
}

func endDigest(print protocol.Fingerprint, e Crash) uint64 {
	h := xxhash.New()
	var state [9]byte
	binary.LittleEndian.PutUint64(state[:], uint64(e.Incarnation.StartUnixMs))
	if e.Cleared {
		state[8] |= 1
	}
	if e.Doubtful {
		state[8] |= 2
	}
	if e.ServedBefore {
		state[8] |= 4
	}
	_, _ = h.Write(print[:])               // never fails
	_, _ = h.WriteString(e.Incarnation.ID) // never fails
	_, _ = h.Write(state[:])               // never fails
	for _, tag := range e.Attempts {
		binary.LittleEndian.PutUint32(state[:], tag)
		_, _ = h.Write(state[:4]) // never fails
	}
	return h.Sum64()
}
