// Package reach decides how a daemon reaches the addresses of endpoints: over its own path, or relayed
// by another daemon. What is known of the own path to an address is kept apart from whether the
// endpoint there is up: only that another daemon reaches the address shows that the path is at fault.
//
// Table is a state machine without I/O: callers pass events and the time.
package reach

import (
	"cmp"
	"iter"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// TrialInterval is the time between two trials of a lost path.
	TrialInterval = 400 * time.Millisecond
	// maxTrials bounds the trials that are started at once. It also bounds those of a daemon that has
	// lost the paths to all addresses: the first trial that succeeds makes all others due.
	maxTrials = 2
	// maxTrialsAfterSuccess bounds the trials that are started at once after one has succeeded.
	maxTrialsAfterSuccess = 32
	// relayPause is how long no daemon is asked to relay to an address that none of those asked could
	// reach. It doubles with each further failure up to maxRelayPause.
	relayPause    = 250 * time.Millisecond
	maxRelayPause = 2 * time.Second
	// unreachedFor is how long a daemon that could not reach an address is not asked for it again, and
	// failedFor the same for all addresses after a daemon did not answer or took no more connections.
	unreachedFor = time.Second
	failedFor    = 500 * time.Millisecond
	// notListedFor is how long a daemon that does not list an address is not asked for it again: it may
	// have just started.
	notListedFor = 100 * time.Millisecond
	// unsupportedFor is how long a daemon of an older version, which does not relay, is not asked.
	unsupportedFor = 30 * time.Second
	// farCost is the cost of a relay in another failure domain, in connections of this daemon that a
	// relay of one core carries.
	farCost = 4
	// cutOffCost is the same for a relay in a domain of which another daemon has no path.
	cutOffCost = 100
	// stoppingCost is the same for a relay that is stopping: no other one comes after it.
	stoppingCost = 1e6
	// unitCapacity is the capacity of a relay of one core, and the assumed one if none is known.
	unitCapacity = 1000
	// checkInterval is the least time between two checks of a path on which a connection is silent.
	checkInterval = 2 * time.Second
	// confirmInterval is the same while it is not known whether the path or the endpoint is silent.
	confirmInterval = 250 * time.Millisecond
)

// Path is the way on which connections to an address are opened.
type Path int

// The paths to an address.
const (
	// Direct: over the daemon's own path.
	Direct Path = iota
	// OpenOrRelayed: over a connection of the own path that is open, otherwise relayed. New
	// connections are refused on the own path.
	OpenOrRelayed
	// Relayed: relayed by another daemon.
	Relayed
	// None: neither the own path nor a relay has reached the address just now.
	None
)

// String returns the name of the path as it appears in logs.
func (p Path) String() string { return [...]string{"direct", "open-or-relayed", "relayed", "none"}[p] }

// Failure says how an attempt to open a connection over the own path ended.
type Failure int

// The failures of the own path.
const (
	Refused Failure = iota // rejected at once
	Silent                 // no answer in time
)

// String returns the name of the failure as it appears in logs.
func (f Failure) String() string { return [...]string{"refused", "silent"}[f] }

// Result is what a daemon that was asked to relay to an address answered.
type Result int

// The results of asking for a relay.
const (
	Opened      Result = iota // the connection is open
	Unreached                 // that daemon has not reached the address either
	NotListed                 // it does not list the address yet, or no more
	Busy                      // it takes no more connections
	Failed                    // it did not answer
	Unsupported               // its version does not relay
)

// Relay is a daemon that may relay connections.
type Relay struct {
	ID            string
	PeerAddress   string
	FailureDomain string
	Capacity      int // thousandths of a core; zero if unknown
	// Stopping daemons relay only what no other daemon relays.
	Stopping bool
}

// lost is the state of an address to which the own path is lost.
type lost struct {
	since     time.Time
	failure   Failure
	relayed   time.Time // when a relay last opened a connection there; zero for never
	trialAt   time.Time // of the next trial
	trying    bool
	failures  int       // consecutive rounds in which no relay reached the address
	noRelays  time.Time // no relay is asked before
	unreached map[string]time.Time
}

// peer is what this daemon knows of another one as a relay.
type peer struct {
	open        int       // connections relayed for this daemon
	notBefore   time.Time // it is not asked before
	partitioned bool      // it reports that it has no path to the endpoints
}

// Table is a daemon's knowledge of its paths. It is not safe for concurrent use.
type Table struct {
	domain    string
	rng       *rand.Rand
	addresses map[string]bool // of the listed endpoints
	members   map[string]bool // ids of the daemons by the last SetMembers
	lost      map[string]*lost
	peers     map[string]*peer
	checked   map[string]time.Time // last check of a silent connection, by address
	healing   bool                 // a trial has succeeded and others are still due
}

// New returns the table of a daemon in a failure domain, whose own path to all addresses counts as
// sound. seed is for its random choices.
func New(domain string, seed uint64) *Table {
	return &Table{domain: domain, rng: rand.New(rand.NewPCG(seed, 0)), addresses: map[string]bool{}, lost: map[string]*lost{}, peers: map[string]*peer{}, checked: map[string]time.Time{}}
}

// SetAddresses sets the addresses of the listed endpoints. The state of others is dropped.
func (t *Table) SetAddresses(list []string) {
	t.addresses = make(map[string]bool, len(list))
	for _, a := range list {
		t.addresses[a] = true
	}
	for a := range t.lost {
		if !t.addresses[a] {
			delete(t.lost, a)
		}
	}
	for a := range t.checked {
		if !t.addresses[a] {
			delete(t.checked, a)
		}
	}
}

// Listed reports whether an endpoint is listed at the address.
func (t *Table) Listed(address string) bool { return t.addresses[address] }

// Path returns how to open a connection to an address now.
func (t *Table) Path(now time.Time, address string) Path {
	l := t.lost[address]
	switch {
	case l == nil:
		return Direct
	case now.Before(l.noRelays):
		return None
	case l.failure == Refused:
		return OpenOrRelayed
	}
	return Relayed
}

// Lost reports whether the own path to an address is lost although another daemon reaches it.
func (t *Table) Lost(address string) bool {
	l := t.lost[address]
	return l != nil && !l.relayed.IsZero()
}

// SilentlyLost is Lost for a path that is silent: what was sent over it does not arrive either.
func (t *Table) SilentlyLost(address string) bool {
	return t.Lost(address) && t.lost[address].failure == Silent
}

// Unconfirmed reports whether the own path to an address is silent and no other daemon has reached the
// address: it is not known whether the path is lost or the endpoint does not answer.
func (t *Table) Unconfirmed(address string) bool {
	l := t.lost[address]
	return l != nil && l.failure == Silent && l.relayed.IsZero()
}

// ObserveOpened records that the own path has opened a connection, and returns whether the path was
// lost before.
func (t *Table) ObserveOpened(now time.Time, address string) (regained bool) {
	l := t.lost[address]
	if l == nil {
		return false
	}
	delete(t.lost, address)
	t.healing = len(t.lost) > 0
	for _, other := range t.lost {
		other.trialAt = now
	}
	return true
}

// ObserveFailed records that the own path has failed to open a connection to a listed address, and
// returns whether the path counted as sound before.
func (t *Table) ObserveFailed(now time.Time, address string, failure Failure) (first bool) {
	if !t.addresses[address] {
		return false
	}
	if l := t.lost[address]; l != nil {
		l.failure = failure
		return false
	}
	t.lost[address] = &lost{since: now, failure: failure, trialAt: now.Add(TrialInterval), unreached: map[string]time.Time{}}
	return true
}

// ObserveRelay records what a relay answered for an address. A caller that gets Opened must call
// RelayClosed when the connection has ended.
func (t *Table) ObserveRelay(now time.Time, address, id string, r Result) {
	p := t.peer(id)
	l := t.lost[address]
	switch r {
	case Opened:
		p.open++
		if l != nil {
			l.relayed, l.failures, l.noRelays = now, 0, time.Time{}
		}
	case Unreached:
		if l != nil {
			l.unreached[id] = now.Add(unreachedFor)
		}
	case NotListed:
		if l != nil {
			l.unreached[id] = now.Add(notListedFor)
		}
	case Busy, Failed:
		p.notBefore = now.Add(failedFor)
	case Unsupported:
		p.notBefore = now.Add(unsupportedFor)
	}
}

// ObserveNoRelay records that no relay has reached an address.
func (t *Table) ObserveNoRelay(now time.Time, address string) {
	l := t.lost[address]
	if l == nil || now.Before(l.noRelays) {
		return
	}
	l.noRelays = now.Add(min(maxRelayPause, relayPause<<min(l.failures, 8)))
	l.failures++
	l.relayed = time.Time{}
}

// RelayClosed records that a connection relayed by a daemon has ended.
func (t *Table) RelayClosed(id string) {
	if p := t.peers[id]; p != nil {
		p.open = max(0, p.open-1)
	}
}

// SetPartitioned records whether a daemon reports that it has no path to the endpoints.
func (t *Table) SetPartitioned(id string, partitioned bool) {
	p := t.peer(id)
	if p.partitioned && !partitioned {
		t.searchAgain()
	}
	p.partitioned = partitioned
}

// IsPartitioned reports whether a daemon has reported that it has no path to the endpoints.
func (t *Table) IsPartitioned(id string) bool { return t.peers[id] != nil && t.peers[id].partitioned }

func (t *Table) peer(id string) *peer {
	p := t.peers[id]
	if p == nil {
		p = &peer{}
		t.peers[id] = p
	}
	return p
}

// SetMembers sets the daemons that may relay. A new one may have a path to the addresses that no relay
// has reached. The state of others is dropped; relaying reports whether one of them, or one that is
// stopping, still relays connections of this daemon.
func (t *Table) SetMembers(members []Relay) (relaying bool) {
	stopping, known := map[string]bool{}, map[string]bool{}
	joined := false
	for _, m := range members {
		stopping[m.ID], known[m.ID] = m.Stopping, true
		joined = joined || !t.members[m.ID]
	}
	t.members = known
	for id, p := range t.peers {
		if known[id] && !stopping[id] {
			continue
		}
		relaying = relaying || p.open > 0
		if !known[id] && p.open == 0 {
			delete(t.peers, id)
		}
	}
	if joined {
		t.searchAgain()
	}
	return relaying
}

// searchAgain ends the pauses in which no relay is asked.
func (t *Table) searchAgain() {
	for _, l := range t.lost {
		l.noRelays, l.failures = time.Time{}, 0
	}
}

// Refused returns how long an address has refused the own connections; ok is false if it does not.
func (t *Table) Refused(now time.Time, address string) (age time.Duration, ok bool) {
	l := t.lost[address]
	if l == nil || l.failure != Refused {
		return 0, false
	}
	return now.Sub(l.since), true
}

// Witnesses returns up to n daemons, chosen at random, to ask whether they reach an endpoint. Those that
// have reported that they have no path are among them, and need not be asked: IsPartitioned.
func (t *Table) Witnesses(members []Relay, n int) []Relay {
	list := slices.Clone(members)
	t.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}

// Choose returns the daemon to ask for a relay to an address, among those that were not asked before
// for the same connection; ok is false if there is none. It prefers the own failure domain, avoids
// domains of which a daemon has not reached the address, since domains are cut off as a whole, and
// spreads connections by the capacity of the relays.
func (t *Table) Choose(now time.Time, address string, members []Relay, asked []string) (relay Relay, ok bool) {
	l := t.lost[address]
	cutOff := t.domainsWithoutPath(now, l, members, asked)
	best := 0.0
	for _, m := range members {
		p := t.peers[m.ID]
		switch {
		case slices.Contains(asked, m.ID):
			continue
		case p != nil && (p.partitioned || now.Before(p.notBefore)):
			continue
		case l != nil && now.Before(l.unreached[m.ID]):
			continue
		}
		cost := t.rng.Float64() // spreads the choices of daemons with equal state
		if p != nil {
			cost += float64(p.open) * unitCapacity / float64(cmp.Or(m.Capacity, unitCapacity))
		}
		if m.FailureDomain != t.domain {
			cost += farCost
		}
		if cutOff[m.FailureDomain] {
			cost += cutOffCost
		}
		if m.Stopping {
			cost += stoppingCost
		}
		if !ok || cost < best {
			relay, best, ok = m, cost, true
		}
	}
	return relay, ok
}

// domainsWithoutPath returns the failure domains of the daemons that were asked for a connection, or
// have not reached its address just before. l is the state of the address; it may be nil.
func (t *Table) domainsWithoutPath(now time.Time, l *lost, members []Relay, asked []string) map[string]bool {
	domains := map[string]bool{}
	for _, m := range members {
		if slices.Contains(asked, m.ID) || l != nil && now.Before(l.unreached[m.ID]) {
			domains[m.FailureDomain] = true
		}
	}
	return domains
}

// Trials returns the addresses whose lost path is to be tried now. The caller must call TrialEnded for
// each.
func (t *Table) Trials(now time.Time) []string {
	limit := maxTrials
	if t.healing {
		limit = maxTrialsAfterSuccess
	}
	var due []string
	for a, l := range t.lost {
		if !l.trying && !now.Before(l.trialAt) {
			due = append(due, a)
		}
	}
	slices.SortFunc(due, func(a, b string) int {
		return cmp.Or(t.lost[a].trialAt.Compare(t.lost[b].trialAt), cmp.Compare(a, b))
	})
	if len(due) <= limit {
		t.healing = false
	}
	due = due[:min(len(due), limit)]
	for _, a := range due {
		t.lost[a].trying = true
	}
	return due
}

// TrialEnded records the end of a trial. Its result is passed to ObserveOpened or ObserveFailed.
func (t *Table) TrialEnded(now time.Time, address string) {
	if l := t.lost[address]; l != nil {
		l.trying, l.trialAt = false, now.Add(TrialInterval)
	}
}

// StartCheck reports whether the path to an address should be checked because a connection there is
// silent, at most once in a while: the own path while it counts as sound, and whether another daemon
// reaches the address while that is not known of a silent path.
func (t *Table) StartCheck(now time.Time, address string) bool {
	interval := checkInterval
	if t.Unconfirmed(address) {
		interval = confirmInterval
	} else if t.lost[address] != nil {
		return false
	}
	if !t.addresses[address] || now.Sub(t.checked[address]) < interval {
		return false
	}
	t.checked[address] = now
	return true
}

// StartChecks is StartCheck for up to limit addresses.
func (t *Table) StartChecks(now time.Time, limit int) []string {
	var list []string
	for a := range t.addresses {
		if len(list) < limit && t.StartCheck(now, a) {
			list = append(list, a)
		}
	}
	return list
}

// Summary describes the lost paths.
type Summary struct {
	Since           time.Time // of the first loss
	Refused, Silent int
	Relayed         int      // addresses that another daemon reaches
	Addresses       []string // some of the addresses
}

// Summary returns a summary of the lost paths that names up to limit addresses.
func (t *Table) Summary(now time.Time, limit int) Summary {
	s := Summary{Since: now}
	for a, l := range t.lost {
		if l.since.Before(s.Since) {
			s.Since = l.since
		}
		if l.failure == Refused {
			s.Refused++
		} else {
			s.Silent++
		}
		if !l.relayed.IsZero() {
			s.Relayed++
		}
		s.Addresses = append(s.Addresses, a)
	}
	slices.Sort(s.Addresses)
	s.Addresses = s.Addresses[:min(len(s.Addresses), limit)]
	return s
}

// LostPath describes an address to which the own path is lost.
type LostPath struct {
	Address string `json:"address"`
	Failure string `json:"failure"` // how the own path fails
	SinceMs int64  `json:"since_ms"`
	Relayed bool   `json:"relayed"` // another daemon reaches the address
}

// LostPaths returns the lost paths, sorted by address.
func (t *Table) LostPaths(now time.Time) []LostPath {
	list := make([]LostPath, 0, len(t.lost))
	for a, l := range t.lost {
		list = append(list, LostPath{a, l.failure.String(), now.Sub(l.since).Milliseconds(), !l.relayed.IsZero()})
	}
	slices.SortFunc(list, func(a, b LostPath) int { return cmp.Compare(a.Address, b.Address) })
	return list
}

// Partitioned reports whether this daemon has lost its path to more than half of the given addresses
// while another daemon reaches at least one of them. Endpoints that are down for all don't make a
// daemon partitioned.
func (t *Table) Partitioned(addresses []string) bool {
	return t.partitioned(slices.Values(addresses), len(addresses))
}

// PartitionedFromAll is Partitioned for all listed addresses.
func (t *Table) PartitionedFromAll() bool {
	return t.partitioned(maps.Keys(t.lost), len(t.addresses))
}

// partitioned is Partitioned for n addresses, among them all given ones; the others are not lost.
func (t *Table) partitioned(addresses iter.Seq[string], n int) bool {
	lost, relayed := 0, false
	for a := range addresses {
		if l := t.lost[a]; l != nil {
			lost++
			relayed = relayed || !l.relayed.IsZero()
		}
	}
	return relayed && 2*lost > n
}

// Counts returns the number of listed addresses, and of those to which the own path is lost.
func (t *Table) Counts() (listed, lost int) { return len(t.addresses), len(t.lost) }

// Sound returns a listed address, other than the given one, to which the own path is not known to be
// lost; ok is false if there is none.
func (t *Table) Sound(except string) (address string, ok bool) {
	for a := range t.addresses { // any one will do
		if a != except && t.lost[a] == nil {
			return a, true
		}
	}
	return "", false
}
