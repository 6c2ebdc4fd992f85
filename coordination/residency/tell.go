package residency

import "time"

// TellEvery is how often a daemon tells a coordinator what runs and waits, when
// nothing urges it and they are not so many that TellSoon is longer.
const DemandInterval = 400 * time.Millisecond

const (
	// tellLeast is the least time after which a daemon tells that a model has
	// begun or ceased to run at an endpoint. What changes meanwhile goes along.
	tellLeast = 40 * time.Millisecond
	// tellsMost is the number of such messages a second that a coordinator is to
	// get from all daemons: each costs it some 0.1 ms of processor time, and a
	// host may have a fifth of a core.
	tellsMost = 300
	// freedMost is the same for messages that a place is free: there are as many as
	// requests for rare models, and each brings the next model's load forward by up
	// to TellSoon, which is 0.65 s with 195 daemons, beside runs of two seconds.
	freedMost = 600
)

// TellSoon returns how soon each of so many daemons tells that a model has begun
// or ceased to run at an endpoint.
func DemandDelay(daemons int) time.Duration {
	return max(tellLeast, time.Duration(daemons)*time.Second/tellsMost)
}

// Pace decides when a daemon tells a coordinator of its requests.
type DemandTimer struct {
	told time.Time // last
	due  time.Time
}

// Told notes that the daemon has told all, and sets when it is due again at the latest.
func (p *DemandTimer) ObserveSent(now time.Time, daemons int) {
	p.told, p.due = now, now.Add(max(DemandInterval, DemandDelay(daemons)))
}

// Turned notes that a model has begun or ceased to run at an endpoint.
func (p *DemandTimer) ObserveChange(now time.Time, daemons int) {
	p.before(now.Add(DemandDelay(daemons)))
}

// Freed notes that a model has ceased to run at an endpoint that a coordinator has named
// for it: another may be loaded in its place.
func (p *DemandTimer) ObserveFreed(now time.Time, daemons int) {
	gap := time.Duration(daemons) * time.Second / freedMost
	at := now.Add(tellLeast)
	if earliest := p.told.Add(gap); at.Before(earliest) {
		at = earliest
	}
	p.before(at)
}

func (p *DemandTimer) before(at time.Time) {
	if at.Before(p.due) {
		p.due = at
	}
}

// Due returns when the daemon is to tell.
func (p *DemandTimer) Due() time.Time { return p.due }
