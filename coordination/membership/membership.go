// Package membership is a gossip failure detector: it keeps each daemon's view
// of the other daemons and spreads small facts among them. Each period, a daemon
// probes one random member; it uses indirect probes before it suspects a member.
// Changed entries travel on probes and on immediate gossip to a few members. The
// views of daemons may differ, so nothing that needs agreement depends on them.
//
// Machine is a state machine without I/O: callers pass events and the time, and
// carry out the actions that Ready returns. While nothing changes, its cost for a
// daemon does not grow with the number of members.
package membership

import (
	"cmp"
	"encoding/json"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Status is the state of a member in the view of a daemon.
type Status string

// The statuses of a member. Within one incarnation, a later status of this list
// overrides an earlier one.
const (
	Alive   Status = "alive"
	Suspect Status = "suspect"
	Dead    Status = "dead"
)

var statusRank = map[Status]uint64{Alive: 0, Suspect: 1, Dead: 2}

// Member describes a daemon: what it announces of itself, and its status in the
// view of the others.
type Member struct {
	ID            string `json:"id"` // of the process, not of its host
	Host          string `json:"host"`
	PeerAddress   string `json:"peer"`
	CallerAddress string `json:"caller"`
	OperatorAddr  string `json:"operator"`
	FailureDomain string `json:"domain"`
	Status        Status `json:"status"`
	Leaving       bool   `json:"leaving,omitempty"`
	Incarnation   uint64 `json:"incarnation"`
	Generation    uint64 `json:"generation"` // of the bundle in force at the daemon
	Load          int    `json:"load"`       // from 0, idle, to 3, full
	// Capacity is the CPU capacity that its host gives the daemon, in thousandths of a core;
	// zero if unknown.
	Capacity int `json:"capacity,omitempty"`
}

// Entry is one gossiped item. Of two entries with the same key, the one with the
// higher version wins.
type Entry struct {
	Key     string
	Version uint64
	Value   []byte
}

// MemberPrefix is the prefix of the keys of members; all other keys are those of
// facts.
const MemberPrefix = "m/"

const versionStatusBits = 2

func memberEntry(m Member) Entry {
	value, _ := json.Marshal(m) // a struct of strings and numbers always marshals
	return Entry{Key: MemberPrefix + m.ID, Version: m.Incarnation<<versionStatusBits | statusRank[m.Status], Value: value}
}

// Options configure a Machine.
type Options struct {
	Period       time.Duration // time between two probes
	ProbeTimeout time.Duration // time before indirect probes, and again before a suspicion
	SuspectFor   time.Duration // time before a suspect member counts as dead
	DeadFor      time.Duration // time before a dead member is dropped
	Fanout       int           // number of members that get a change at once
	MaxPiggyback int           // maximum number of entries on one message
	QuietPeriod  time.Duration // time without changes before differing digests cause a full exchange
	Seed         uint64
	// Stale reports whether a fact is too old to be kept or learned; if nil, no fact is. All
	// members must reach the same result within seconds. Otherwise those that still hold the
	// fact send it to those that have dropped it, without end.
	Stale func(now time.Time, e Entry) bool
}

// DefaultOptions returns the settings of a daemon.
func DefaultOptions(seed uint64) Options {
	return Options{
		Period: time.Second, ProbeTimeout: 500 * time.Millisecond, SuspectFor: 3 * time.Second,
		DeadFor: time.Minute, Fanout: 3, MaxPiggyback: 24, QuietPeriod: time.Second, Seed: seed,
	}
}

// Message is a gossip message to one member.
type Message struct {
	To      Member
	Digest  uint64
	Entries []Entry
	Full    bool
	Probe   bool // an answer shows that the member is alive
}

// IndirectProbe is a request to the member Via to probe Target.
type IndirectProbe struct{ Via, Target Member }

// Ready holds the actions that the caller must carry out now.
type Ready struct {
	Messages       []Message
	IndirectProbes []IndirectProbe
	Facts          []Entry // newly learned facts
}

type entry struct {
	Entry
	member    *Member // for members
	sends     int     // remaining piggybacked sends
	changedAt time.Time
}

func (e *entry) dead() bool { return e.member != nil && e.member.Status == Dead }

func (e *entry) aging() bool { return e.member != nil && e.member.Status != Alive }

type probe struct {
	target   string
	sentAt   time.Time
	indirect bool
}

// Machine is one daemon's view. It is not safe for concurrent use.
type Machine struct {
	opt        Options
	rng        *rand.Rand
	self       Member
	entries    map[string]*entry
	order      []string // probe order, shuffled
	probing    *probe
	nextAt     time.Time
	lastChange time.Time
	urgent     bool      // there are entries to send at once
	fullTo     []string  // members to send a full exchange to
	facts      []Entry   // learned facts that Ready has not returned yet
	staleAt    time.Time // time of the last check for stale facts
	repeats    map[string]*repeat
	digest     uint64
	pending    map[string]bool // keys of entries with remaining sends
	aging      map[string]bool // keys of suspect and dead members
	revision   uint64
}

// New returns a view that holds only self. Its random choices depend on the seed
// and on the member's id: otherwise daemons that start at the same moment, with
// seeds from the clock, would probe the same members at the same time, and a
// member that dies would not be probed by any of them for many seconds.
func New(opt Options, self Member, now time.Time) *Machine {
	self.Status = Alive
	m := &Machine{opt: opt, rng: rand.New(rand.NewPCG(opt.Seed, xxhash.Sum64String(self.ID))), self: self,
		entries: map[string]*entry{}, pending: map[string]bool{}, aging: map[string]bool{}, repeats: map[string]*repeat{}}
	m.nextAt = now
	m.put(now, memberEntry(self))
	return m
}

// Revision returns a number that increases with each change of the view.
func (m *Machine) Revision() uint64 { return m.revision }

// Self returns this daemon's own record.
func (m *Machine) Self() Member { return m.self }

// Members returns the members that are not dead, sorted by id.
func (m *Machine) Members() []Member {
	var list []Member
	for _, e := range m.entries {
		if e.member != nil && e.member.Status != Dead {
			list = append(list, *e.member)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Get returns the fact with a key.
func (m *Machine) Get(key string) (Entry, bool) {
	e, ok := m.entries[key]
	if !ok {
		return Entry{}, false
	}
	return e.Entry, true
}

// Facts returns the facts whose keys begin with a prefix, sorted by key.
func (m *Machine) Facts(prefix string) []Entry {
	var list []Entry
	for key, e := range m.entries {
		if strings.HasPrefix(key, prefix) {
			list = append(list, e.Entry)
		}
	}
	slices.SortFunc(list, func(a, b Entry) int { return cmp.Compare(a.Key, b.Key) })
	return list
}

// Set publishes a fact and reports whether it was taken: its version must be higher
// than the known one, and the fact must not be stale.
func (m *Machine) Set(now time.Time, e Entry) bool { return m.put(now, e) }

// Update changes this daemon's own record and announces it to the others.
func (m *Machine) Update(now time.Time, change func(*Member)) {
	next := m.self
	change(&next)
	next.Incarnation++
	m.self = next
	m.put(now, memberEntry(next))
}

// Digest returns a hash of all facts and of the entries of all members that are
// not dead.
func (m *Machine) Digest() uint64 { return m.digest }

// mix adds an entry to the digest, or removes it when called a second time.
func (m *Machine) mix(e *entry) {
	if e != nil && !e.dead() {
		m.digest ^= xxhash.Sum64String(e.Key) * (2*e.Version + 1)
	}
}

// store replaces an entry and updates the digest and the indexes.
func (m *Machine) store(e *entry) {
	m.drop(e.Key)
	m.entries[e.Key] = e
	m.mix(e)
	if e.aging() {
		m.aging[e.Key] = true
	}
	if e.sends > 0 {
		m.pending[e.Key] = true
	}
	m.revision++
}

// observeDuplicate reduces the remaining sends of an entry that another member has
// sent too, so that an entry that most members know costs little. The last send
// remains: each member sends the entry once more with its next probe, in case the
// first gossip missed a member.
func (m *Machine) observeDuplicate(e *entry) {
	if e.sends > 1 {
		e.sends--
	}
}

// countSend counts one send of an entry.
func (m *Machine) countSend(e *entry) {
	if e.sends--; e.sends == 0 {
		delete(m.pending, e.Key)
	}
}

const (
	// minFactRounds is the least number of rounds in which a fact is sent at once to some members, and factPause the pause
	// between two rounds.
	minFactRounds = 3
	factPause     = 200 * time.Millisecond
	// missedFacts is the greatest share of the facts of which a member may hear from no round. It would receive them
	// only with a probe, seconds later if there are hundreds of members.
	missedFacts = 1e-3
)

// factRounds returns the number of rounds of a fact. All members together send it to each one fanout times a round, so that a
// round misses a share of exp(-fanout) of the members.
func (m *Machine) factRounds() int {
	members := float64(len(m.entries)) // and facts, which change little in the logarithm
	return max(minFactRounds, int(math.Ceil(math.Log(members/missedFacts)/float64(m.opt.Fanout))))
}

// repeat holds the remaining rounds of a fact.
type repeat struct {
	remaining int
	at        time.Time // of the next round
}

// repeatFacts marks the facts whose next round is due for sending at once.
func (m *Machine) repeatFacts(now time.Time) {
	for key, r := range m.repeats {
		if now.Before(r.at) {
			continue
		}
		e := m.entries[key]
		if r.remaining--; e == nil || r.remaining <= 0 {
			delete(m.repeats, key)
		}
		if e == nil {
			continue
		}
		r.at = now.Add(factPause)
		e.sends = max(e.sends, m.opt.Fanout)
		m.pending[key] = true
		m.urgent = true
	}
}

func (m *Machine) drop(key string) {
	m.mix(m.entries[key])
	delete(m.entries, key)
	delete(m.aging, key)
	delete(m.pending, key)
}

// put is learn for an entry that other members may not know yet.
func (m *Machine) put(now time.Time, e Entry) bool { return m.learn(now, e, true) }

// learn stores an entry that is newer than the known one, or refutes it if it names
// this daemon suspect or dead, and reports whether it did. If spread is set, the
// entry is sent on, as other members may not know it yet; they already know the
// entries in the answer to a full exchange.
func (m *Machine) learn(now time.Time, e Entry, spread bool) bool {
	old := m.entries[e.Key]
	if old != nil && old.Version >= e.Version {
		if old.Version == e.Version {
			m.observeDuplicate(old)
		}
		return false
	}
	next := &entry{Entry: e, changedAt: now}
	if strings.HasPrefix(e.Key, MemberPrefix) {
		var member Member
		if json.Unmarshal(e.Value, &member) != nil {
			return false
		}
		if member.ID == m.self.ID && (member.Incarnation > m.self.Incarnation || member.Status != Alive) {
			m.refute(now, member)
			return true
		}
		if old == nil && member.Status == Dead {
			return false // unknown here, or dropped already
		}
		if m.tookOver(member) {
			member.Status = Dead
			next.Entry, spread = memberEntry(member), true
		} else if old == nil {
			m.probeInThisRound(member.ID)
		}
		next.member = &member
	} else {
		if m.opt.Stale != nil && m.opt.Stale(now, e) {
			return false
		}
		m.facts = append(m.facts, e)
	}
	if spread {
		next.sends = m.retransmits()
		m.urgent = true
	}
	if spread && next.member == nil {
		m.repeats[e.Key] = &repeat{remaining: m.factRounds() - 1, at: now.Add(factPause)}
	}
	m.lastChange = now
	m.store(next)
	return true
}

// tookOver reports whether a member has this daemon's address: its process has ended. Its probes would be
// answered by this daemon. A daemon that is leaving may have released the address to the next one.
func (m *Machine) tookOver(member Member) bool {
	return !m.self.Leaving && member.ID != m.self.ID && member.PeerAddress != "" && member.PeerAddress == m.self.PeerAddress
}

// refute announces this daemon with a higher incarnation than that of a received
// entry, which names it suspect or dead, or has an incarnation above its own.
func (m *Machine) refute(now time.Time, seen Member) {
	m.self.Incarnation = max(m.self.Incarnation, seen.Incarnation) + 1
	m.put(now, memberEntry(m.self))
}

func (m *Machine) retransmits() int {
	return 3 * int(math.Ceil(math.Log2(float64(len(m.entries)+2))))
}

// Receive processes a gossip message of another daemon and returns the entries of
// the answer: all entries for a full exchange, else those piggybacked, and those of the dead that the sender takes for alive.
func (m *Machine) Receive(now time.Time, from string, digest uint64, entries []Entry, full bool) []Entry {
	for _, e := range entries {
		m.put(now, e)
	}
	var answer []Entry
	if full {
		answer = m.all()
	} else {
		m.compare(now, from, digest)
		answer = m.piggyback()
	}
	return append(answer, m.deadAmong(from, entries)...)
}

// deadAmong returns the entries of the members that are dead and that a sender takes for alive, itself among them: no
// other message names the dead to it. A sender that counts as dead refutes that. One that is leaving is not
// missed, and the next daemon at its address would deny it again and again.
func (m *Machine) deadAmong(from string, entries []Entry) []Entry {
	var dead []Entry
	if self := m.entries[MemberPrefix+from]; self != nil && self.dead() && !self.member.Leaving {
		dead = append(dead, self.Entry)
	}
	for _, e := range entries {
		known := m.entries[e.Key]
		if known != nil && known.dead() && known.Version > e.Version && known.member.ID != from {
			dead = append(dead, known.Entry)
		}
	}
	return dead
}

// Answer processes the answer to a message; ok is false if there was none. full is
// set if the message was a full exchange.
func (m *Machine) Answer(now time.Time, from string, ok bool, digest uint64, entries []Entry, full bool) {
	if !ok {
		return
	}
	if m.probing != nil && m.probing.target == from {
		m.probing = nil
	}
	for _, e := range entries {
		m.learn(now, e, !full)
	}
	m.compare(now, from, digest)
}

// IndirectAnswer processes the answer to an indirect probe.
func (m *Machine) IndirectAnswer(target string, alive bool) {
	if alive && m.probing != nil && m.probing.target == target {
		m.probing = nil
	}
}

// compare schedules a full exchange if the digests still differ after a time
// without changes; while changes spread, digests differ all the time.
func (m *Machine) compare(now time.Time, from string, digest uint64) {
	if digest != m.Digest() && now.Sub(m.lastChange) >= m.opt.QuietPeriod && !slices.Contains(m.fullTo, from) {
		m.fullTo = append(m.fullTo, from)
	}
}

func (m *Machine) all() []Entry {
	var list []Entry
	for _, e := range m.entries {
		if e.member == nil || e.member.Status != Dead {
			list = append(list, e.Entry)
		}
	}
	return list
}

// piggyback returns the entries with the most remaining sends, and counts the
// send.
func (m *Machine) piggyback() []Entry {
	var pending []*entry
	for key := range m.pending {
		pending = append(pending, m.entries[key])
	}
	slices.SortFunc(pending, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.sends, a.sends), cmp.Compare(a.Key, b.Key))
	})
	pending = pending[:min(len(pending), m.opt.MaxPiggyback)]
	list := make([]Entry, len(pending))
	for i, e := range pending {
		m.countSend(e)
		list[i] = e.Entry
	}
	return list
}

// Join returns a message that asks a seed for its whole state.
func (m *Machine) Join(peerAddress string) Message {
	return Message{To: Member{PeerAddress: peerAddress}, Digest: m.Digest(), Entries: m.all(), Full: true}
}

// Ready passes the time and returns the messages to send and the facts learned.
func (m *Machine) Ready(now time.Time) Ready {
	var r Ready
	m.expire(now)
	m.checkProbe(now, &r)
	m.repeatFacts(now)
	if m.urgent {
		m.urgent = false
		for _, to := range m.pick(m.opt.Fanout) {
			r.Messages = append(r.Messages, Message{To: to, Digest: m.Digest(), Entries: m.piggyback()})
		}
	}
	for _, id := range m.fullTo {
		if e := m.entries[MemberPrefix+id]; e != nil && e.member.Status != Dead {
			r.Messages = append(r.Messages, Message{To: *e.member, Digest: m.Digest(), Entries: m.all(), Full: true})
			m.lastChange = now // at most one full exchange per quiet period
		}
	}
	m.fullTo = nil
	r.Facts, m.facts = m.facts, nil
	if m.probing == nil && !now.Before(m.nextAt) {
		m.nextAt = now.Add(m.opt.Period)
		if to, ok := m.nextTarget(); ok {
			m.probing = &probe{target: to.ID, sentAt: now}
			r.Messages = append(r.Messages, Message{To: to, Digest: m.Digest(), Entries: m.piggyback(), Probe: true})
		}
	}
	return r
}

func (m *Machine) checkProbe(now time.Time, r *Ready) {
	p := m.probing
	if p == nil {
		return
	}
	e := m.entries[MemberPrefix+p.target]
	if e == nil || e.member.Status == Dead {
		m.probing = nil
		return
	}
	switch waited := now.Sub(p.sentAt); {
	case waited >= 2*m.opt.ProbeTimeout:
		m.probing = nil
		m.mark(now, *e.member, Suspect)
	case waited >= m.opt.ProbeTimeout && !p.indirect:
		p.indirect = true
		for _, via := range m.pick(m.opt.Fanout) {
			if via.ID != p.target {
				r.IndirectProbes = append(r.IndirectProbes, IndirectProbe{Via: via, Target: *e.member})
			}
		}
	}
}

func (m *Machine) mark(now time.Time, member Member, s Status) {
	if statusRank[member.Status] >= statusRank[s] {
		return
	}
	member.Status = s
	m.put(now, memberEntry(member))
}

// expire marks members dead that have been suspect for SuspectFor, and drops
// members that have been dead for DeadFor.
func (m *Machine) expire(now time.Time) {
	for key := range m.aging {
		e := m.entries[key]
		age := now.Sub(e.changedAt)
		switch {
		case e.member.Status == Suspect && age >= m.opt.SuspectFor:
			m.mark(now, *e.member, Dead)
		case e.member.Status == Dead && age >= m.opt.DeadFor:
			m.drop(key)
		}
	}
	m.dropStale(now)
}

// staleEvery is the time between two checks for stale facts.
const staleEvery = time.Second

func (m *Machine) dropStale(now time.Time) {
	if m.opt.Stale == nil || now.Sub(m.staleAt) < staleEvery {
		return
	}
	m.staleAt = now
	for key, e := range m.entries {
		if e.member == nil && m.opt.Stale(now, e.Entry) {
			m.drop(key)
		}
	}
}

// pick returns up to n random members other than self.
func (m *Machine) pick(n int) []Member {
	others := m.others()
	m.rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(n, len(others))]
}

func (m *Machine) others() []Member {
	return slices.DeleteFunc(m.Members(), func(o Member) bool { return o.ID == m.self.ID })
}

// probeInThisRound adds a new member at a random place of the members still to be
// probed in this round. Otherwise no daemon would probe a member that dies soon after
// it joined before the next round, and a round takes as many periods as there are
// members.
func (m *Machine) probeInThisRound(id string) {
	if id != m.self.ID && len(m.order) > 0 {
		m.order = slices.Insert(m.order, m.rng.IntN(len(m.order)+1), id)
	}
}

// nextTarget iterates over all members in a random order, so that the longest
// time without a probe is bounded.
func (m *Machine) nextTarget() (Member, bool) {
	for range 2 {
		for len(m.order) > 0 {
			id := m.order[0]
			m.order = m.order[1:]
			if e := m.entries[MemberPrefix+id]; e != nil && e.member.Status != Dead {
				return *e.member, true
			}
		}
		for _, o := range m.others() {
			m.order = append(m.order, o.ID)
		}
		m.rng.Shuffle(len(m.order), func(i, j int) { m.order[i], m.order[j] = m.order[j], m.order[i] })
	}
	return Member{}, false
}
