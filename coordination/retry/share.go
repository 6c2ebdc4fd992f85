package retry

import (
	"math"
	"time"
)

// Limit bounds the retries of all daemons together at one service: in any window, at most Ratio times the
// requests for the service, and Extra more.
type Limit struct {
	Ratio  float64
	Extra  float64
	Window time.Duration
}

// DefaultLimit is the limit where none is configured.
var DefaultLimit = Limit{Ratio: 0.2, Extra: 100, Window: 10 * time.Second}

// Share is the part of a limit that one daemon may use.
type Share struct {
	// Ratio is the number of retries that each request earns.
	Ratio float64
	// Saved is the maximum number of earned retries that are saved.
	Saved float64
	// Unearned is the number of retries in each window that need not be earned.
	Unearned int
	// Volatile: what was saved is dropped at the end of each window.
	Volatile bool
}

const (
	// ratioUsed and extraUsed are the parts of a limit that are shared out. The rest is for requests that were
	// sent in an earlier window than they arrived in, and for daemons that the others do not know yet.
	ratioUsed = 0.9
	extraUsed = 0.95
	// minSharing is the least number of daemons assumed to share the extra retries: a daemon that is
	// partitioned sees few others.
	minSharing = 6
	// countMemory is how long a higher number of daemons is remembered. Daemons that are cut off from each other
	// see few, and still share the limit.
	countMemory = 2 * time.Hour
	// joinTime is how long a daemon that has started may take to know the others, and they to know it.
	joinTime = 3 * time.Second
	// unlimited is a number of saved retries that no daemon earns.
	unlimited = 1e9
)

// Sharing decides the share of a daemon.
type Sharing struct {
	limit Limit
	// joinedAt is when the daemon knows the others, and a window has passed in which its former life may have used
	// its share.
	joinedAt time.Time
	// highest are the highest numbers of daemons seen in the present half of countMemory, which began at since, and in
	// the one before it.
	highest [2]int
	since   time.Time
	// informed: the daemon knows how many daemons there were before it started.
	informed   bool
	firstStart bool
}

// NewSharing returns the sharing of a daemon that starts now. firstStart declares that no daemon has run
// before.
func NewSharing(limit Limit, now time.Time, firstStart bool) *Sharing {
	s := &Sharing{limit: limit, joinedAt: now.Add(limit.Window + joinTime), since: now, firstStart: firstStart}
	if firstStart {
		s.joinedAt = now.Add(joinTime)
	}
	return s
}

// SetLimit changes the limit, but for its window: what was spent is known for the present one only.
func (s *Sharing) SetLimit(limit Limit) { s.limit.Ratio, s.limit.Extra = limit.Ratio, limit.Extra }

// Inform tells how many daemons there were before this one started, as far as any of them has seen; zero if there
// were none. Until then, the daemon does not share the extra retries: during a partition it may see few daemons of
// many.
func (s *Sharing) Inform(daemons int) {
	s.informed = true
	s.highest[0] = max(s.highest[0], daemons)
}

// InformAll is Inform for the number of daemons that there may be now: the daemon need not wait to know the others.
func (s *Sharing) InformAll(daemons int) {
	s.Inform(daemons)
	if s.firstStart {
		s.joinedAt = s.since
	}
}

// Highest returns the highest number of daemons that is remembered.
func (s *Sharing) Highest() int { return max(s.highest[0], s.highest[1]) }

// Joined reports whether the daemon has had the time to know the others.
func (s *Sharing) Joined(now time.Time) bool { return !now.Before(s.joinedAt) }

// Share returns the daemon's share when it sees the given number of daemons, itself among them.
func (s *Sharing) Share(now time.Time, daemons int) Share {
	if now.Sub(s.since) >= countMemory/2 {
		s.highest, s.since = [2]int{0, s.highest[0]}, now
	}
	s.highest[0] = max(s.highest[0], daemons)
	each := s.limit.Extra * extraUsed / float64(max(minSharing, s.Highest()))
	ratio := s.limit.Ratio * ratioUsed
	if s.firstStart && now.Before(s.joinedAt.Add(s.limit.Window)) {
		// Of a window that begins before joinedAt, and the time before it, each request earns half: as in unshared.
		ratio = s.limit.Ratio / 2
	}
	switch {
	case each < 1:
		return unshared(s.limit)
	case s.firstStart && !s.Joined(now):
		return Share{Ratio: ratio, Saved: unlimited, Unearned: 1} // nobody has used anything before
	case !s.informed:
		return unshared(s.limit)
	case !s.Joined(now):
		return Share{Ratio: ratio, Saved: 1}
	}
	unearned := math.Floor(each - 1)
	return Share{Ratio: ratio, Saved: each - unearned, Unearned: int(unearned)}
}

// unshared returns a share that keeps to the limit without the extra retries, whatever the number of daemons.
// Retries of a window are paid for by requests of this window and the one before it, and each of them earns
// half of the ratio: the sum is at most the ratio of whichever has more requests.
func unshared(limit Limit) Share {
	return Share{Ratio: limit.Ratio / 2, Saved: 1, Volatile: true}
}
