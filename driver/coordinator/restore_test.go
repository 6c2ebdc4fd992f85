package coordinator

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/doorvalve/doorvalve/coordination/lease"
	"github.com/doorvalve/doorvalve/state/storeversion"
)

// restore replaces the lease by an older copy, nil for none, in the next generation.
func (f *fakeLease) restore(copied *lease.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.record = lease.Record{}
	f.version = storeversion.Version{Generation: f.version.Generation + 1}
	if copied != nil {
		f.record, f.version.Revision = *copied, 1
	}
}

// stored returns the record in the store.
func (f *fakeLease) stored() lease.Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.record
}

// fence returns the fence of the lease that the coordinator holds now or held last.
func (c *Coordinator) fence() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease.Fence()
}

// longestGap returns the longest time within a period for which a coordinator does not hold the lease.
func longestGap(c *Coordinator, within time.Duration) (longest time.Duration) {
	gap := time.Duration(0)
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		gap += 10 * time.Millisecond
		if c.Holds() {
			gap = 0
		}
		longest = max(longest, gap)
	}
	return longest
}

// Guards against a service without a coordinator, or with two, after the store has lost the lease:
// its holder writes it again, under the same fence, and no other daemon takes it.
func TestHolderWritesItsLeaseAgain(t *testing.T) {
	for name, copied := range map[string]*lease.Record{
		"lost": nil, "of an older holder": {Holder: "h3", Fence: 4, Term: leaseTerm, Generation: 1}, "released": {Fence: 4, Term: leaseTerm, Generation: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeLease{version: storeversion.Version{Generation: 1}}
				holder := start(t, f, "h1", true)
				time.Sleep(2 * leaseTerm)
				if !holder.Holds() {
					t.Fatal("the only candidate does not hold the lease")
				}
				other := start(t, f, "h2", true)
				time.Sleep(time.Second)
				fence := holder.fence()
				f.restore(copied)
				if gap := longestGap(holder, 10*time.Second); gap > 50*time.Millisecond {
					t.Errorf("the holder was without the lease for %v", gap)
				}
				if other.Holds() || holder.fence() != fence {
					t.Errorf("another daemon holds the lease: %v; the holder's fence is %d, was %d", other.Holds(), holder.fence(), fence)
				}
				if rec := f.stored(); rec.Holder != "h1" || rec.Generation != 2 {
					t.Errorf("the record was not written again: %+v", rec)
				}
			})
		})
	}
}

// Guards against a daemon that takes a lease at once because an older copy has it as free, or as the
// daemon's own, while another one may still hold it.
func TestNobodyTakesALeaseRightAfterARestore(t *testing.T) {
	for name, copied := range map[string]*lease.Record{
		"lost": nil, "released": {Fence: 4, Term: leaseTerm, Generation: 1}, "its own": {Holder: "h2", Fence: 4, Term: leaseTerm, Generation: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeLease{record: lease.Record{Holder: "h1", Fence: 9, Term: time.Hour, Generation: 1}, version: storeversion.Version{Generation: 1, Revision: 7}}
				c := start(t, f, "h2", true)
				time.Sleep(time.Second)
				f.restore(copied)
				restored := time.Now()
				for !c.Holds() && time.Since(restored) < time.Minute {
					time.Sleep(10 * time.Millisecond)
				}
				if took := time.Since(restored); took < leaseTerm || took > 2*leaseTerm {
					t.Errorf("taken %v after the restore, want a term of %v", took, leaseTerm)
				}
				if fence := c.fence(); fence <= 9 {
					t.Errorf("fence %d after 9", fence)
				}
			})
		})
	}
}
