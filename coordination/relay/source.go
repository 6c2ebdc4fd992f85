package relay

import "time"

// Source is how old what a daemon takes from others is, and from whom it takes
// it next.
//
// Invariant: the age of what was heard is counted from the last answer of the
// store to whoever told it first, so it never gets younger on its way.
type Source struct {
	limit    time.Duration
	seenAt   time.Time // up to which the store has been followed
	failures int       // upstreams given up on
}

// NewSource returns a source whose word is fresh while it is younger than
// limit.
func NewSource(limit time.Duration) *Source { return &Source{limit: limit} }

// Heard takes the age of what an upstream has told.
func (s *Source) Heard(now time.Time, age time.Duration) {
	if at := now.Add(-age); at.After(s.seenAt) {
		s.seenAt = at
	}
	if age >= s.limit {
		s.failures++
	}
}

// Failed records that an upstream did not answer.
func (s *Source) Failed() { s.failures++ }

// Pick returns which of n upstreams to ask; another one after each failure.
func (s *Source) Pick(n int) int { return s.failures % n }

// SeenAt returns the time up to which the store has been followed, zero before
// the first word.
func (s *Source) SeenAt() time.Time { return s.seenAt }

// FreshUntil returns when what was heard is too old to rely on.
func (s *Source) FreshUntil() time.Time {
	if s.seenAt.IsZero() {
		return time.Time{}
	}
	return s.seenAt.Add(s.limit)
}
