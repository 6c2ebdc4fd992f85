package discovery

import (
	"time"

	"github.com/doorvalve/doorvalve/state/storeversion"
)

// Checkpoint is a version that the store reported in an answer to a list, which is never older than
// its request. It proves that every change confirmed before RequestedAt has a version of at most
// Version, so that data which includes all changes up to Version is complete as of RequestedAt.
type Checkpoint struct {
	RequestedAt, ReceivedAt time.Time
	Version                 storeversion.Version
}

// maxCheckpoints bounds the checkpoints that a Follower keeps while the answers to its watches do
// not reach their versions.
const maxCheckpoints = 16

// ScheduleOptions configure a Schedule.
type ScheduleOptions struct {
	// Interval is the time from the request of a checkpoint to the end of the watches after the next
	// one: the greatest age of the data while the store is sound.
	Interval time.Duration
	// MinLead and MaxLead bound the time by which a checkpoint is requested before the watches
	// end, so that their answers include its version.
	MinLead, MaxLead time.Duration
	// Patience is how long a daemon that relies on the checkpoints of another one waits for the
	// next before it reads the version itself.
	Patience time.Duration
}

// Schedule decides when the version of the store is read while watches wait, and when they end: one
// read just before the end of the watches of all kinds proves that all of them are up to date.
type Schedule struct {
	opt    ScheduleOptions
	last   time.Time     // request of the newest checkpoint, of this daemon or another one
	lead   time.Duration // from the request of a checkpoint to the end of the watches
	relies bool          // on the checkpoints of another daemon
}

// NewSchedule returns a schedule without any checkpoint yet.
func NewSchedule(opt ScheduleOptions) *Schedule { return &Schedule{opt: opt, lead: opt.MinLead} }

// Observe records a checkpoint of this daemon.
func (s *Schedule) Observe(c Checkpoint) {
	if c.RequestedAt.Before(s.last) {
		return
	}
	s.last = c.RequestedAt
	s.lead = min(max(s.opt.MinLead, leadFactor*c.ReceivedAt.Sub(c.RequestedAt)), s.opt.MaxLead)
}

// leadFactor is the lead in multiples of the duration of the last read, as the next may take longer.
const leadFactor = 2

// Rely declares whether another daemon reads the store's version for this one.
func (s *Schedule) Rely(relies bool) { s.relies = relies }

// ObserveShared records that the data from the other daemon, which includes all kinds, is complete as
// of a time.
func (s *Schedule) ObserveShared(asOf time.Time) {
	if asOf.After(s.last) {
		s.last = asOf
	}
}

// Due returns the time at which the next checkpoint is to be requested.
func (s *Schedule) Due() time.Time {
	due := s.last.Add(s.opt.Interval - s.lead)
	if s.relies {
		due = due.Add(s.opt.Patience)
	}
	return due
}

// Plan returns how long a watch is to wait that is requested now for data which is known to be complete
// as of a time, and after what time the next checkpoint is due. The watches of a daemon that relies on
// another one may take longer, unless the proof of the newest checkpoint is lacking.
func (s *Schedule) Plan(now, asOf time.Time) (wait, checkpointAfter time.Duration) {
	checkpointAfter = max(0, s.Due().Sub(now))
	switch {
	case !s.relies:
		return checkpointAfter + s.lead, checkpointAfter
	case s.ProofLate(asOf):
		return s.lead, checkpointAfter
	}
	return relyingWait * s.opt.Interval, checkpointAfter
}

// relyingWait and relyingPause are the wait of a watch, in intervals, and the factor of the pause after
// changes of a daemon that relies on another one, from which it hears of changes at once.
const (
	relyingWait  = 3
	relyingPause = 2
)

// PauseEnd returns the end of a pause after changes: it does not delay the proof that these are all, for
// which other daemons wait.
func (s *Schedule) PauseEnd(now time.Time, pause time.Duration) time.Time {
	if s.relies {
		pause *= relyingPause
	}
	return now.Add(min(pause, max(0, s.Due().Sub(now))))
}

// ProofLate reports whether data, which is known to be complete as of a time, lacks the proof of the newest
// checkpoint at a daemon whose watches would end too late to give it.
func (s *Schedule) ProofLate(asOf time.Time) bool { return s.relies && asOf.Before(s.last) }
