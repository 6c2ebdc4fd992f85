package streams

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/doorvalve/doorvalve/protocol/streampb"
	"github.com/doorvalve/doorvalve/standin/record"
)

// Guards against a daemon that reads the stored streams for others and, after its first list of the store has failed, tells all that it
// does not know, though the store is back.
func TestReaderAnswersAfterItsFirstListHasFailed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const daemons = 24
		in := mixedInstallation(daemons)
		defer in.close()
		in.hosts[0].begin("kept", in.endpoints["b"])
		time.Sleep(1500 * time.Millisecond)
		in.killAll()
		var reader *host
		readers := in.hosts[0].controller.readers()
		for _, h := range in.hosts {
			if isMember(readers, h.id()) {
				reader = h
			}
		}
		q := request("kept")
		f := q.Fingerprint()
		ask := func() (*streampb.FindResponse, error) {
			return reader.controller.Find(context.Background(), &streampb.FindRequest{Key: f[:], Service: q.Service})
		}
		in.origins.SetAway(true)
		time.Sleep(time.Millisecond) // after its start
		if _, err := ask(); err == nil {
			t.Fatal("an answer though the store is away")
		}
		in.origins.SetAway(false)
		for range 10 {
			time.Sleep(time.Second)
			if resp, err := ask(); err == nil && resp.GetStream().GetSoftware() == "v2" {
				return
			}
		}
		_, err := ask()
		t.Errorf("10 s after the store is back: %v", err)
	})
}

// Guards against callers that are told as long as they come that the origin of their stream is not known yet, because the store was away
// for a moment as all daemons of a large fleet started.
func TestTakeUpsAfterARestartOfAllWithTheStoreAwayAtFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const daemons, streams = 24, 48
		in := mixedInstallation(daemons)
		defer in.close()
		ids, software := in.beginAtBoth(streams)
		time.Sleep(1500 * time.Millisecond)
		in.killAll()
		in.origins.SetAway(true)
		time.Sleep(time.Millisecond)
		for i, id := range ids { // each reader is asked
			_, _, _ = in.hosts[(i+1)%daemons].controller.Resume(context.Background(), "next", request(id))
		}
		in.origins.SetAway(false)
		time.Sleep(2 * time.Second)
		continued := 0
		for i, id := range ids {
			found, _, refusal := in.hosts[(i+1)%daemons].controller.Resume(context.Background(), "again", request(id))
			if refusal == nil && found.Software() == software[id] {
				continued++
			}
		}
		if continued < streams*95/100 {
			t.Errorf("%d of %d streams continue 2 s after the store is back", continued, streams)
		}
	})
}

// Guards against callers that are held until they leave, because daemons that read a slow store are asked before one that has the stream.
func TestSlowStoreDoesNotDelayWhatAnotherDaemonKnows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const daemons = 24
		in := mixedInstallation(daemons)
		defer in.close()
		in.hosts[0].begin("s", in.endpoints["b"])
		time.Sleep(1500 * time.Millisecond)
		key := request("s").Key
		asker := in.hosts[1]
		for _, h := range in.hosts { // whoever else has a record starts anew
			h.controller.mu.Lock()
			_, holds := h.controller.t.Lookup(key)
			h.controller.mu.Unlock()
			if holds && h != in.hosts[0] {
				h.restart()
			}
		}
		in.origins.SetFaults(record.Faults{Slow: time.Minute})
		began := time.Now()
		found, _, refusal := asker.controller.Resume(context.Background(), "next", request("s"))
		if waited := time.Since(began); refusal != nil || found.Software() != "v2" || waited > time.Second {
			t.Errorf("%v, %+v after %v, want v2 within a second", found, refusal, waited)
		}
		time.Sleep(10 * storedTimeout) // lists that have begun end
	})
}
