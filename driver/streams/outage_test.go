package streams

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/doorvalve/doorvalve/coordination/membership"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/driver/generations"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/protocol/streampb"
	"github.com/doorvalve/doorvalve/standin/record"
	"github.com/doorvalve/doorvalve/state/fleet"
	"github.com/doorvalve/doorvalve/state/storeversion"
)

// Guards against the removal of a dead daemon's object while its streams may still be taken up, because the object was first
// listed long before the daemon ended.
func TestObjectsOfEndedDaemonsAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := mixedInstallation(7)
		defer in.close()
		in.hosts[0].begin("warm", in.endpoints["b"])
		for i := range 100 { // a rollout that lasts; few streams
			time.Sleep(time.Second)
			in.lookAll()
			if i%15 == 0 {
				for j, h := range in.hosts {
					h.begin(fmt.Sprintf("w%d-%d", i, j), in.endpoints["a"])
				}
			}
		}
		ids, software := []string{}, map[string]string{}
		for i := range 40 {
			id := fmt.Sprint("s", i)
			e := in.endpoints[[]string{"a", "b"}[i%2]]
			in.hosts[i%7].begin(id, e)
			ids, software[id] = append(ids, id), e.Software
		}
		time.Sleep(1500 * time.Millisecond)
		// All but the cleaner are killed.
		var keep *host
		for _, h := range in.hosts {
			if membership.Rendezvous(readersName, in.members())[0].ID == h.id() {
				keep = h
			}
		}
		cleaner := func() bool { return membership.Rendezvous(readersName, in.members())[0].ID == keep.id() }
		for suffix := 0; ; suffix++ {
			for i, h := range in.hosts {
				if h != keep {
					h.setName(fmt.Sprintf("h%d-%d", i, suffix))
				}
			}
			if cleaner() {
				break
			}
		}
		for _, h := range in.hosts {
			if h != keep {
				h.start(false)
			}
		}
		for range 12 {
			time.Sleep(time.Second)
			in.lookAll()
		}
		n := 0
		for i, id := range ids {
			found, _, refusal := in.hosts[i%7].controller.Resume(context.Background(), "test", request(id))
			if refusal == nil && found.Software() == software[id] {
				n++
			}
		}
		if n < 38 {
			t.Errorf("%d of %d go on 12 s after", n, len(ids))
		}
	})
}

// Guards against a lost verdict in a fleet of which only a part was asked.
func TestStreamOfADaemonThatWasNotAskedIsNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := newInstallationWith(71, true, &record.Store{Latency: 4 * time.Millisecond}, &record.Records{Latency: 4 * time.Millisecond})
		defer in.close()
		in.set("a", "v1")
		in.lookAll()
		time.Sleep(2 * time.Second)
		in.lookAll()
		in.hosts[0].begin("one", in.endpoints["a"])
		in.set("b", "v2")
		for _, h := range in.hosts[1:] { // the daemon that began the stream sees the version somewhat later
			h.look()
		}
		time.Sleep(100 * time.Millisecond)
		for i := 1; i < 71; i += 10 {
			_, _, refusal := in.hosts[i].controller.Resume(context.Background(), "test", request("one"))
			if refusal != nil {
				t.Errorf("h%d: %d %s", i, refusal.Status, refusal.Reason)
			}
		}
	})
}

// Guards against takers-up that wait for each other's failed reads while the store is slow.
func TestTakeUpsShareFailedReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := mixedInstallation(7)
		defer in.close()
		in.killAll()
		time.Sleep(2 * time.Second)
		in.lookAll()
		in.origins.SetFaults(record.Faults{Away: true, Slow: 2 * time.Second})
		const n = 20
		var wg sync.WaitGroup
		var mu sync.Mutex
		var longest time.Duration
		for i := range n {
			wg.Go(func() {
				at := time.Now()
				_, _, _ = in.hosts[0].controller.Resume(context.Background(), "test", request(fmt.Sprint("q", i)))
				mu.Lock()
				longest = max(longest, time.Since(at))
				mu.Unlock()
			})
		}
		wg.Wait()
		if longest > 5*time.Second {
			t.Errorf("a caller was held %v", longest)
		}
	})
}

// Guards against a stream that begins at a version that the record has lost, because it was read shortly before the writer dropped it.
func TestDroppedVersionBeginsNoStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &record.Store{Latency: 4 * time.Millisecond}
		in := newInstallationWith(5, true, store, &record.Records{Latency: 4 * time.Millisecond})
		defer in.close()
		in.set("a", "v1")
		in.set("b", "v2")
		in.lookAll()
		time.Sleep(2 * time.Second)
		in.lookAll()
		in.set("b", "")
		b := &fleet.Endpoint{ID: "b", Service: "llm", Software: "v2"}
		reader := in.hosts[0]
		if reader.controller.record.IsWriter("h0", in.members()) {
			reader = in.hosts[1]
		}
		for i := range 400 {
			time.Sleep(500 * time.Millisecond)
			in.lookAll()
			if i%20 == 0 { // a caller takes up a stream that nobody knows
				_, _, _ = reader.controller.Resume(context.Background(), "test", request(fmt.Sprint("none", i)))
			}
			var rec seenRecord
			_, _ = store.ReadRecord(context.Background(), recordName, &rec)
			if len(rec.Services["llm"].Versions) == 1 {
				break
			}
		}
		time.Sleep(2 * time.Second)
		in.lookAll()
		in.set("b", "v2")
		in.lookAll()
		if reader.controller.Beginning("llm").Allows(b) {
			var rec seenRecord
			_, _ = store.ReadRecord(context.Background(), recordName, &rec)
			t.Errorf("%s begins streams at v2, the record has %v", reader.name, rec.Services["llm"].Versions)
		}
	})
}

// Guards against a stream that goes on at another version, because the record had lost its own when it began and all daemons were killed before it was written again.
func TestDroppedVersionIsNotJoined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &record.Store{Latency: 4 * time.Millisecond}
		in := newInstallationWith(5, true, store, &record.Records{Latency: 4 * time.Millisecond})
		defer in.close()
		in.set("a", "v1")
		in.set("b", "v2")
		in.lookAll()
		time.Sleep(2 * time.Second)
		in.lookAll()
		in.set("b", "")
		reader := in.hosts[0]
		if reader.controller.record.IsWriter("h0", in.members()) {
			reader = in.hosts[1]
		}
		for i := range 400 {
			time.Sleep(500 * time.Millisecond)
			in.lookAll()
			if i%20 == 0 {
				_, _, _ = reader.controller.Resume(context.Background(), "test", request(fmt.Sprint("none", i)))
			}
			var rec seenRecord
			_, _ = store.ReadRecord(context.Background(), recordName, &rec)
			if len(rec.Services["llm"].Versions) == 1 {
				break
			}
		}
		time.Sleep(2 * time.Second)
		in.lookAll()
		in.set("b", "v2")
		reader.look() // the writer sees it some ms later
		b := in.endpoints["b"]
		began := reader.controller.Beginning("llm").Allows(b)
		if began {
			reader.begin("s", b)
		}
		in.set("b", "")
		for _, h := range in.hosts {
			h.restart()
		}
		time.Sleep(3 * time.Second)
		in.lookAll()
		if found, _, refusal := in.hosts[2].controller.Resume(context.Background(), "test", request("s")); began && refusal == nil && found.Software() != "v2" {
			t.Errorf("s of v2 goes on at %s", found.Software())
		}
	})
}

// Guards against a version that is gone and counts on because the record is read.
func TestGoneVersionIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := mixedInstallation(5)
		defer in.close()
		in.set("b", "")
		for i := range 600 {
			time.Sleep(time.Second)
			in.lookAll()
			if i%20 == 0 {
				for _, h := range in.hosts {
					_, _, _ = h.controller.Resume(context.Background(), "test", request(fmt.Sprint("none", i)))
				}
			}
		}
		_, _, refusal := in.hosts[0].controller.Resume(context.Background(), "test", request("x"))
		if refusal != nil {
			t.Errorf("10 min after the second version has left: %d %s", refusal.Status, refusal.Reason)
		}
	})
}

// Guards against losses of daemons that are not noticed while a version waits to be recorded.
func TestLossIsSeenWhileAVersionIsPending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := decisions.New(io.Discard, "test", hclog.Off)
		defer log.Close()
		store := &record.Records{}
		var mu sync.Mutex
		members := []membership.Member{{ID: "d", PeerAddress: "d", Status: membership.Alive}, {ID: "x", PeerAddress: "x", Status: membership.Alive}}
		c := New(Options{Self: "d", Members: func() []membership.Member { mu.Lock(); defer mu.Unlock(); return members }, Peer: func(string) streampb.Streams { return dead{} },
			ViewAge: func() time.Duration { return 0 }, Store: store, FirstStart: true, Generations: generations.New(log, tally.NoopScope), Log: log, Metrics: tally.NoopScope})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() { _ = c.Run(ctx) }()
		view := func(e ...*fleet.Endpoint) { c.ObserveView(fleet.NewView(fleet.View{}.Version, e)) }
		a, b := &fleet.Endpoint{ID: "a", Service: "llm", Software: "v1"}, &fleet.Endpoint{ID: "b", Service: "llm", Software: "v2"}
		view(a)
		time.Sleep(3 * time.Second)
		store.SetAway(true) // rejects calls of this daemon for the record; views are fresh
		view(a, b)
		time.Sleep(3 * time.Second)
		mu.Lock()
		members = members[:1] // x, which has written v2 and begun a stream there, has ended
		mu.Unlock()
		time.Sleep(3 * time.Second)
		found, _, refusal := c.Resume(context.Background(), "test", request("of v2, begun at x"))
		if refusal == nil {
			t.Errorf("continues at %s", found.Software())
		}
		cancel()
		time.Sleep(time.Minute)
	})
}

type dead struct{}

func (dead) Place(context.Context, *streampb.PlaceRequest) (*streampb.PlaceResponse, error) {
	return nil, errPartitioned
}
func (dead) Find(context.Context, *streampb.FindRequest) (*streampb.FindResponse, error) {
	return nil, errPartitioned
}

// Guards against the removal of old objects with no daemon eligible.
func TestObjectsAreCleanedWithoutMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := decisions.New(io.Discard, "test", hclog.Off)
		defer log.Close()
		c := New(Options{Self: "d", Members: func() []membership.Member { return nil }, Peer: func(string) streampb.Streams { return dead{} },
			ViewAge: func() time.Duration { return 0 }, Store: &record.Records{}, Origins: &record.Records{}, FirstStart: true, Generations: generations.New(log, tally.NoopScope), Log: log, Metrics: tally.NoopScope})
		defer func() {
			if r := recover(); r != nil {
				t.Errorf("panic: %v", r)
			}
		}()
		c.removeAbsent(context.Background())
	})
}

// lateStore executes one write, of which the answer was lost, when told to.
type lateStore struct {
	*record.Records
	mu   sync.Mutex
	hold func(v any) bool
	late func()
}

func (l *lateStore) WriteRecord(ctx context.Context, name string, expected storeversion.Version, v any) (storeversion.Version, protocol.WriteOutcome, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.late == nil && l.hold != nil && l.hold(v) {
		l.late = func() { _, _, _ = l.Records.WriteRecord(context.Background(), name, expected, v) }
		return storeversion.Version{}, protocol.WriteUnknown, record.ErrAway
	}
	return l.Records.WriteRecord(ctx, name, expected, v)
}

// Guards against a late write that removes a version from the record in which daemons have found it since.
func TestLateWriteDropsNoVersionInService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := decisions.New(io.Discard, "test", hclog.Off)
		defer log.Close()
		store := &lateStore{Records: &record.Records{}}
		c := New(Options{Self: "d", Members: func() []membership.Member { return []membership.Member{{ID: "d", Status: membership.Alive}} }, Peer: func(string) streampb.Streams { return dead{} },
			ViewAge: func() time.Duration { return 0 }, Store: store, FirstStart: true, Generations: generations.New(log, tally.NoopScope), Log: log, Metrics: tally.NoopScope})
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = c.Run(ctx) }()
		view := func(e ...*fleet.Endpoint) { c.ObserveView(fleet.NewView(fleet.View{}.Version, e)) }
		a, b := &fleet.Endpoint{ID: "a", Service: "llm", Software: "v1"}, &fleet.Endpoint{ID: "b", Service: "llm", Software: "v2"}
		view(a, b)
		time.Sleep(3 * time.Second)
		store.mu.Lock()
		store.hold = func(v any) bool { return len(v.(seenRecord).Services["llm"].Versions) == 1 }
		store.mu.Unlock()
		view(a)
		time.Sleep(80 * time.Second) // v2 is dropped by a write without an answer; the record is read again
		view(a, b)
		time.Sleep(3 * time.Second)
		store.mu.Lock()
		late := store.late
		store.mu.Unlock()
		if late == nil {
			t.Fatal("no write to drop v2")
		}
		late()
		time.Sleep(20 * time.Second)
		var rec seenRecord
		_, _ = store.ReadRecord(ctx, recordName, &rec)
		if c.Beginning("llm").Allows(b) && len(rec.Services["llm"].Versions) == 1 {
			t.Errorf("streams begin at v2 20 s after the late write; the record has %v", rec.Services["llm"].Versions)
		}
		cancel()
		time.Sleep(time.Minute)
	})
}

// Guards against a daemon that starts while the store is away and lets no stream begin, though the other daemons know that the
// only version is in service.
func TestStreamsBeginAtADaemonThatStartsInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := decisions.New(io.Discard, "test", hclog.Off)
		defer log.Close()
		store := &record.Records{}
		age := time.Duration(0)
		var mu sync.Mutex
		controllers := map[string]*Controller{}
		members := []membership.Member{{ID: "d", PeerAddress: "d", Status: membership.Alive}, {ID: "x", PeerAddress: "x", Status: membership.Alive}}
		newController := func(name string, first bool) *Controller {
			return New(Options{Self: name, Members: func() []membership.Member { return members }, Peer: func(a string) streampb.Streams { mu.Lock(); defer mu.Unlock(); return controllers[a] },
				ViewAge: func() time.Duration { mu.Lock(); defer mu.Unlock(); return age }, Store: store, FirstStart: first, Generations: generations.New(log, tally.NoopScope), Log: log, Metrics: tally.NoopScope})
		}
		controllers["d"], controllers["x"] = newController("d", true), newController("x", true)
		ctx, cancel := context.WithCancel(context.Background())
		v := fleet.NewView(fleet.View{}.Version, []*fleet.Endpoint{{ID: "a", Service: "llm", Software: "v1"}})
		for _, c := range controllers {
			go func() { _ = c.Run(ctx) }()
			c.ObserveView(v)
		}
		time.Sleep(3 * time.Second)
		store.SetAway(true)
		mu.Lock()
		age = 5 * time.Second // the view of all daemons is as old as the outage
		mu.Unlock()
		d2 := newController("d", false)
		mu.Lock()
		controllers["d"] = d2
		mu.Unlock()
		go func() { _ = d2.Run(ctx) }()
		d2.ObserveView(v) // from another daemon
		time.Sleep(10 * time.Second)
		if r := d2.AwaitInService(ctx, "llm"); r != nil {
			t.Errorf("%d %s", r.Status, r.Reason)
		}
		cancel()
		time.Sleep(time.Minute)
	})
}
