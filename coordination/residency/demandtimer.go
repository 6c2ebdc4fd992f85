package residency

import "time"

// DemandInterval is the interval at which a daemon reports its running and waiting requests
// to a coordinator if nothing makes an earlier report necessary. With many daemons,
// DemandDelay is longer and applies instead.
const DemandInterval = 400 * time.Millisecond

const (
	// minDemandDelay is the minimum time until a daemon reports that a model has started or
	// stopped running requests at an endpoint. Changes in the meantime go into the same
	// report.
	minDemandDelay = 40 * time.Millisecond
	// maxDemandRate is the maximum number of such reports that a coordinator should receive
	// from all daemons per second. Each costs it about 0.1 ms of processor time, and a host
	// may have a fifth of a core.
	maxDemandRate = 300
	// maxFreedRate is the same for reports that a model can be replaced. There are as many
	// of them as requests for rare models, and each brings the load of the next model
	// forward by up to DemandDelay. That is 0.65 s with 195 daemons, where a request runs
	// for two seconds.
	maxFreedRate = 600
)

// DemandDelay returns how soon each of the given number of daemons reports that a model has
// started or stopped running requests at an endpoint.
func DemandDelay(daemons int) time.Duration {
	return max(minDemandDelay, time.Duration(daemons)*time.Second/maxDemandRate)
}

// DemandTimer determines when a daemon reports its requests to a coordinator.
type DemandTimer struct {
	sentAt time.Time // time of the last report
	due    time.Time
}

// ObserveSent records that the daemon has sent a full report, and sets the latest time for
// the next one.
func (t *DemandTimer) ObserveSent(now time.Time, daemons int) {
	t.sentAt, t.due = now, now.Add(max(DemandInterval, DemandDelay(daemons)))
}

// ObserveChange records that a model has started or stopped running requests at an
// endpoint.
func (t *DemandTimer) ObserveChange(now time.Time, daemons int) {
	t.dueBy(now.Add(DemandDelay(daemons)))
}

// ObserveFreed records that a model has stopped running requests at an endpoint that a
// coordinator had returned for it: another model may be loaded in its place.
func (t *DemandTimer) ObserveFreed(now time.Time, daemons int) {
	gap := time.Duration(daemons) * time.Second / maxFreedRate
	at := now.Add(minDemandDelay)
	if earliest := t.sentAt.Add(gap); at.Before(earliest) {
		at = earliest
	}
	t.dueBy(at)
}

func (t *DemandTimer) dueBy(at time.Time) {
	if at.Before(t.due) {
		t.due = at
	}
}

// Due returns when the next report is due.
func (t *DemandTimer) Due() time.Time { return t.due }
