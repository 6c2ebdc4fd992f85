package quotas

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/doorvalve/doorvalve/coordination/membership"
)

// roster is what this daemon makes of the others: who owns which subject, who does not
// answer, who is missing.
type roster struct {
	opt     *Options
	started time.Time
	heardAt atomic.Int64 // when another daemon asked this one or answered it last, in Unix ns

	mu       sync.Mutex
	silent   map[string]time.Time // until when, by id
	ranked   map[string][]membership.Member
	revision uint64
	seen     map[string]time.Time // hosts with a daemon that was alive, and when last
	alive    int                  // hosts
}

// missedFor is how long a host whose daemon has vanished without a word is taken to let
// requests through on its own.
const missedFor = 30 * time.Second

const (
	// joinWithin bounds the time after a start in which a daemon that knows no other one
	// waits for them, and joinPause is the pause between two looks. One that took itself for
	// the only one would give all of a quota, beside each other daemon that has just started.
	joinWithin = 500 * time.Millisecond
	joinPause  = 20 * time.Millisecond
)

// join waits until this daemon knows others, or has looked for them for long enough.
func (r *roster) join() {
	for len(r.opt.Members()) <= 1 {
		left := joinWithin - r.opt.Clock().Sub(r.started)
		if left <= 0 {
			return
		}
		time.Sleep(min(left, joinPause))
	}
}

// owners returns the daemons that own the subject of a key, the best first and at most some;
// those that have not answered lately are passed over.
func (r *roster) owners(key string, most int) []membership.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opt.Clock()
	var list []membership.Member
	for _, m := range r.rank(key) {
		if len(list) == most {
			break
		}
		if now.Before(r.silent[m.ID]) {
			continue
		}
		list = append(list, m)
	}
	return list
}

// rankKept is the number of daemons of a rank that are kept: more than are asked, since some
// are silent.
const rankKept = 8

// ranksKept bounds the keys whose ranks are kept.
const ranksKept = 4096

// rank returns the first daemons for a key; the caller holds the mutex.
func (r *roster) rank(key string) []membership.Member {
	if rev := r.opt.Revision(); rev != r.revision {
		clear(r.ranked)
		r.revision = rev
	}
	list, ok := r.ranked[key]
	if !ok {
		list = membership.RendezvousByCapacity(key, r.opt.Members())
		list = append([]membership.Member(nil), list[:min(rankKept, len(list))]...)
		if len(r.ranked) >= ranksKept {
			clear(r.ranked)
		}
		r.ranked[key] = list
	}
	return list
}

// heardFor is how long the word of another daemon counts as a sign that this one is not cut off.
const heardFor = 500 * time.Millisecond

// heard notes that another daemon has asked this one or answered it.
func (r *roster) heard() { r.heardAt.Store(r.opt.Clock().UnixNano()) }

// toAsk returns the daemons to ask for a subject, one after the other: its owners, and in place
// of this daemon, if that may be cut off, another one whose answer tells that it is not.
func (r *roster) toAsk(key string) []membership.Member {
	list := r.owners(key, ownersAsked+1)
	self := slices.IndexFunc(list, func(m membership.Member) bool { return m.ID == r.opt.Self })
	if self >= 0 && r.cutOff(key) {
		return slices.Delete(list, self, self+1)
	}
	return list[:min(len(list), ownersAsked)]
}

// cutOff reports whether this daemon comes to own a subject only because those before it do not
// answer, while nobody else talks to it either: then not they are gone, but this one is, and
// they go on without it.
func (r *roster) cutOff(key string) bool {
	r.mu.Lock()
	ranked := r.rank(key)
	r.mu.Unlock()
	if len(ranked) == 0 || ranked[0].ID == r.opt.Self {
		return false
	}
	return r.opt.Clock().UnixNano()-r.heardAt.Load() > heardFor.Nanoseconds()
}

// failed notes a daemon that has not answered, and reports whether that is news.
func (r *roster) failed(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opt.Clock()
	_, known := r.silent[id]
	r.silent[id] = now.Add(silentFor)
	return !known
}

// look takes the present members.
func (r *roster) look() {
	members := r.opt.Members()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opt.Clock()
	for id, until := range r.silent {
		if now.After(until.Add(silentFor)) {
			delete(r.silent, id)
		}
	}
	alive := map[string]bool{}
	for i := range members {
		switch m := &members[i]; {
		case m.Leaving:
			delete(r.seen, m.Host)
		case m.Status == membership.Alive:
			alive[m.Host] = true
		}
	}
	for host := range alive {
		r.seen[host] = now
	}
	for host, at := range r.seen {
		if now.Sub(at) > missedFor {
			delete(r.seen, host)
		}
	}
	r.alive = len(alive)
}

// part returns the part of a quota that an owner here may give: daemons that it misses
// may be letting requests through on their own.
func (r *roster) part() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.seen) == 0 || r.alive == 0 {
		return 1
	}
	return float64(r.alive) / float64(len(r.seen))
}

// alonePart is the part of an equal share that a daemon may let through by itself beyond
// what it got lately.
const alonePart = 0.25

// aloneShare returns the part of a quota that a daemon may let through by itself
// whatever it got lately.
func (r *roster) aloneShare() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return alonePart / float64(max(1, len(r.seen)))
}
