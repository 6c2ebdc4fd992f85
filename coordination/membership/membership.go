// Package membership keeps each daemon's view of the others and spreads small
// facts among them: a probe of one random member a period, indirect probes
// before a suspicion, and changed entries carried on probes and on immediate
// gossip to a few members. Nothing that must be agreed hangs on the view. The
// package is a state machine without I/O; its cost for a daemon does not grow
// with the number of members while nothing changes.
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

// Status of a member as the others see it.
type Status string

// The statuses, in the order in which they override each other within one
// incarnation.
const (
	Alive   Status = "alive"
	Suspect Status = "suspect"
	Dead    Status = "dead"
)

var statusRank = map[Status]uint64{Alive: 0, Suspect: 1, Dead: 2}

// Member is what a daemon tells of itself, with the others' view of it.
type Member struct {
	ID            string `json:"id"` // of this process, not of its host
	Host          string `json:"host"`
	PeerAddress   string `json:"peer"`
	CallerAddress string `json:"caller"`
	OperatorAddr  string `json:"operator"`
	FailureDomain string `json:"domain"`
	Status        Status `json:"status"`
	Leaving       bool   `json:"leaving,omitempty"`
	Incarnation   uint64 `json:"incarnation"`
	Generation    uint64 `json:"generation"` // of the bundle in force there
	Load          int    `json:"load"`       // 0 idle to 3 full
	// Capacity is what its host gives the daemon, in thousandths of a core; zero where
	// it does not know.
	Capacity int `json:"capacity,omitempty"`
}

// Entry is one gossiped item; the higher version wins.
type Entry struct {
	Key     string
	Version uint64
	Value   []byte
}

// MemberPrefix starts the keys of members; other keys are free for facts.
const MemberPrefix = "m/"

const versionStatusBits = 2

func memberEntry(m Member) Entry {
	value, _ := json.Marshal(m) // a struct of strings and numbers always marshals
	return Entry{Key: MemberPrefix + m.ID, Version: m.Incarnation<<versionStatusBits | statusRank[m.Status], Value: value}
}

// Options configure a Machine.
type Options struct {
	Period       time.Duration // between two probes
	ProbeTimeout time.Duration // before indirect probes, and again before a suspicion
	SuspectFor   time.Duration // before a suspect is dead
	DeadFor      time.Duration // before a dead member is forgotten
	Fanout       int           // members told at once of a change
	MaxPiggyback int           // entries on one message
	QuietPeriod  time.Duration // quiet time before differing digests cause a full exchange
	Seed         uint64
	// Stale reports whether a fact is too old to be kept or learned; nil: none is. All
	// members must come to the same answer within seconds, or they tell each other for ever.
	Stale func(now time.Time, e Entry) bool
}

// DefaultOptions are the daemon's settings.
func DefaultOptions(seed uint64) Options {
	return Options{
		Period: time.Second, ProbeTimeout: 500 * time.Millisecond, SuspectFor: 3 * time.Second,
		DeadFor: time.Minute, Fanout: 3, MaxPiggyback: 24, QuietPeriod: time.Second, Seed: seed,
	}
}

// Message is gossip to one member.
type Message struct {
	To      Member
	Digest  uint64
	Entries []Entry
	Full    bool
	Probe   bool // its answer counts as a sign of life
}

// Indirect asks a member to probe another.
type IndirectProbe struct{ Via, Target Member }

// Ready is what the caller has to do now.
type Ready struct {
	Messages       []Message
	IndirectProbes []IndirectProbe
	Facts          []Entry // that were learned
}

type entry struct {
	Entry
	member    *Member // for members
	sends     int     // piggybacks left
	changedAt time.Time
}

func (e *entry) dead() bool { return e.member != nil && e.member.Status == Dead }

func (e *entry) aging() bool { return e.member != nil && e.member.Status != Alive }

type probe struct {
	target   string
	sentAt   time.Time
	indirect bool
}

// Machine is one daemon's view.
type Machine struct {
	opt      Options
	rng      *rand.Rand
	self     Member
	entries  map[string]*entry
	order    []string // probe order, shuffled
	probing  *probe
	nextAt   time.Time
	lastNews time.Time
	urgent   bool // there are entries to tell at once
	fullTo   []string
	facts    []Entry   // learned and not handed out yet
	staleAt  time.Time // when stale facts were looked for last
	repeats  map[string]*repeat
	digest   uint64
	hot      map[string]bool // keys of entries with sends left
	aging    map[string]bool // keys of suspect and dead members
	revision uint64
}

// New returns a view that holds only self. What is random hangs on the seed and
// on the member's id: daemons that start at the same moment with a seed of the
// clock would otherwise probe the same members at the same time, and one that
// dies would not be probed by any of them for many seconds.
func New(opt Options, self Member, now time.Time) *Machine {
	self.Status = Alive
	m := &Machine{opt: opt, rng: rand.New(rand.NewPCG(opt.Seed, xxhash.Sum64String(self.ID))), self: self,
		entries: map[string]*entry{}, hot: map[string]bool{}, aging: map[string]bool{}, repeats: map[string]*repeat{}}
	m.nextAt = now
	m.put(now, memberEntry(self))
	return m
}

// Revision rises with each change of the view.
func (m *Machine) Revision() uint64 { return m.revision }

// Self returns this daemon's own record.
func (m *Machine) Self() Member { return m.self }

// Members returns the members that are not dead, ordered by id.
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

// Get returns a fact.
func (m *Machine) Get(key string) (Entry, bool) {
	e, ok := m.entries[key]
	if !ok {
		return Entry{}, false
	}
	return e.Entry, true
}

// Facts returns the facts whose keys begin with a prefix, by key.
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

// Set offers a fact; it is taken if its version is higher than the known one.
func (m *Machine) Set(now time.Time, e Entry) bool { return m.put(now, e) }

// Update changes this daemon's own record and tells the others.
func (m *Machine) Update(now time.Time, change func(*Member)) {
	next := m.self
	change(&next)
	next.Incarnation++
	m.self = next
	m.put(now, memberEntry(next))
}

// Digest covers all entries of members that are not dead and all facts.
func (m *Machine) Digest() uint64 { return m.digest }

// mix adds an entry to the digest, or takes it out again.
func (m *Machine) mix(e *entry) {
	if e != nil && !e.dead() {
		m.digest ^= xxhash.Sum64String(e.Key) * (2*e.Version + 1)
	}
}

// store replaces an entry and keeps what is derived from it.
func (m *Machine) store(e *entry) {
	m.drop(e.Key)
	m.entries[e.Key] = e
	m.mix(e)
	if e.aging() {
		m.aging[e.Key] = true
	}
	if e.sends > 0 {
		m.hot[e.Key] = true
	}
	m.revision++
}

// heardAgain spreads an entry less the more often others tell of it, so that
// news that most know by now costs little. The last send is kept: each member
// tells once more at its next probe, in case the first gossip missed somebody.
func (m *Machine) heardAgain(e *entry) {
	if e.sends > 1 {
		e.sends--
	}
}

// told counts one send.
func (m *Machine) told(e *entry) {
	if e.sends--; e.sends == 0 {
		delete(m.hot, e.Key)
	}
}

const (
	// factRounds is how often a fact is told at once to some members, and factPause the pause
	// between two rounds. One round misses one member in twenty, who would hear of it with a
	// probe, seconds later where there are hundreds; three miss one in ten thousand.
	factRounds = 3
	factPause  = 200 * time.Millisecond
)

// repeat is what is left to tell of a fact.
type repeat struct {
	left int
	at   time.Time // of the next round
}

// repeatFacts makes facts urgent again whose next round is due.
func (m *Machine) repeatFacts(now time.Time) {
	for key, r := range m.repeats {
		if now.Before(r.at) {
			continue
		}
		e := m.entries[key]
		if r.left--; e == nil || r.left <= 0 {
			delete(m.repeats, key)
		}
		if e == nil {
			continue
		}
		r.at = now.Add(factPause)
		e.sends = max(e.sends, m.opt.Fanout)
		m.hot[key] = true
		m.urgent = true
	}
}

func (m *Machine) drop(key string) {
	m.mix(m.entries[key])
	delete(m.entries, key)
	delete(m.aging, key)
	delete(m.hot, key)
}

// put takes an entry if it is news.
func (m *Machine) put(now time.Time, e Entry) bool { return m.learn(now, e, true) }

// learn takes an entry if it is news. tell says that others may not know it
// yet; the answer to a full exchange holds what the others know already.
func (m *Machine) learn(now time.Time, e Entry, tell bool) bool {
	old := m.entries[e.Key]
	if old != nil && old.Version >= e.Version {
		if old.Version == e.Version {
			m.heardAgain(old)
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
			return false // already forgotten here
		}
		next.member = &member
		if old == nil {
			m.probeInThisRound(member.ID)
		}
	} else {
		if m.opt.Stale != nil && m.opt.Stale(now, e) {
			return false
		}
		m.facts = append(m.facts, e)
	}
	if tell {
		next.sends = m.retransmits()
		m.urgent = true
	}
	if tell && next.member == nil {
		m.repeats[e.Key] = &repeat{left: factRounds - 1, at: now.Add(factPause)}
	}
	m.lastNews = now
	m.store(next)
	return true
}

// refute answers a suspicion of this daemon itself.
func (m *Machine) refute(now time.Time, seen Member) {
	m.self.Incarnation = max(m.self.Incarnation, seen.Incarnation) + 1
	m.put(now, memberEntry(m.self))
}

func (m *Machine) retransmits() int {
	return 3 * int(math.Ceil(math.Log2(float64(len(m.entries)+2))))
}

// Receive takes another daemon's gossip and returns the answer.
func (m *Machine) Receive(now time.Time, from string, digest uint64, entries []Entry, full bool) []Entry {
	for _, e := range entries {
		m.put(now, e)
	}
	if full {
		return m.all()
	}
	m.compare(now, from, digest)
	return m.piggyback()
}

// Answer takes the answer to a message.
// full says that the message was a full exchange.
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

// IndirectAnswer takes the answer to an indirect probe.
func (m *Machine) IndirectAnswer(target string, alive bool) {
	if alive && m.probing != nil && m.probing.target == target {
		m.probing = nil
	}
}

// compare asks for a full exchange when the digests still differ after a
// quiet time; while news travels they differ all the time.
func (m *Machine) compare(now time.Time, from string, digest uint64) {
	if digest != m.Digest() && now.Sub(m.lastNews) >= m.opt.QuietPeriod && !slices.Contains(m.fullTo, from) {
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

// piggyback picks the entries with most sends left.
func (m *Machine) piggyback() []Entry {
	var hot []*entry
	for key := range m.hot {
		hot = append(hot, m.entries[key])
	}
	slices.SortFunc(hot, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.sends, a.sends), cmp.Compare(a.Key, b.Key))
	})
	hot = hot[:min(len(hot), m.opt.MaxPiggyback)]
	list := make([]Entry, len(hot))
	for i, e := range hot {
		m.told(e)
		list[i] = e.Entry
	}
	return list
}

// Join asks a seed for its whole state.
func (m *Machine) Join(peerAddress string) Message {
	return Message{To: Member{PeerAddress: peerAddress}, Digest: m.Digest(), Entries: m.all(), Full: true}
}

// Ready passes time on and returns what to send.
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
			m.lastNews = now // one full exchange a quiet time
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

// expire turns suspects into dead members and forgets the dead.
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

// staleEvery is the pause between two looks for stale facts.
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

// probeInThisRound puts a new member among those that are still to be probed in
// this round: one that dies soon after it came would else not be probed by anybody
// before the next round, which is as many seconds away as there are members.
func (m *Machine) probeInThisRound(id string) {
	if id != m.self.ID && len(m.order) > 0 {
		m.order = slices.Insert(m.order, m.rng.IntN(len(m.order)+1), id)
	}
}

// nextTarget goes round all members in a random order, so that the longest
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
