package quarantiner

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/doorvalve/doorvalve/protocol"
)

// Guards against requests that are sent again at once after all daemons have ended: what was held back stays held back until
// its probe is due, also where the clock of the daemon that wrote the record is off, or the store is away while the daemons start.
func TestHeldRequestsOutlastAllDaemons(t *testing.T) {
	for _, off := range []time.Duration{-2 * time.Minute, -time.Minute, 0, time.Minute, 2 * time.Minute} {
		for _, away := range []time.Duration{0, 5 * time.Second} {
			t.Run(fmt.Sprint(off, away), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { heldThroughRestart(t, off, away) })
			})
		}
	}
}

func heldThroughRestart(t *testing.T, off, away time.Duration) {
	in := newInstallation(5, 9, 1)
	defer in.stop()
	time.Sleep(2 * time.Second)
	for i := range 3 {
		crashUnder(in.hosts[i], "bad", fmt.Sprint("x", i))
	}
	heldAt := time.Now()
	time.Sleep(3 * time.Second)
	var rec heldBackRecord
	version, err := in.store.ReadRecord(t.Context(), recordName, &rec)
	if err != nil {
		t.Fatal(err)
	}
	rec.SavedUnixMs -= off.Milliseconds()
	if _, outcome, err := in.store.WriteRecord(t.Context(), recordName, version, rec); outcome != protocol.WriteOK {
		t.Fatal(outcome, err)
	}
	in.store.SetAway(away > 0)
	for _, h := range in.hosts {
		h.start()
	}
	if away > 0 {
		time.Sleep(away) // the endpoints are not known before: they are listed in the store
		in.store.SetAway(false)
	}
	sends := func() int {
		in.mu.Lock()
		defer in.mu.Unlock()
		return len(in.sends["bad"])
	}
	for time.Since(heldAt) < 55*time.Second {
		for _, h := range in.hosts {
			go h.serve("bad", true)
		}
		time.Sleep(2 * time.Second)
		if n := sends(); n > 0 {
			t.Fatalf("sent %d times, %v after it was held back", n, time.Since(heldAt))
		}
	}
	for time.Since(heldAt) < 5*time.Minute && sends() == 0 {
		in.hosts[0].serve("bad", true)
		time.Sleep(time.Second)
	}
	if n := sends(); n == 0 {
		t.Error("no probe within 5 minutes")
	}
}
