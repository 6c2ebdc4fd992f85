package streams

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/doorvalve/doorvalve/standin/record"
)

// mixedInstallation runs two versions of a service, for longer than the record of the second takes.
func mixedInstallation(daemons int) *installation {
	in := newInstallationWith(daemons, true, &record.Store{Latency: 4 * time.Millisecond}, &record.Records{Latency: 4 * time.Millisecond})
	in.set("a", "v1")
	in.set("b", "v2")
	in.lookAll()
	time.Sleep(500 * time.Millisecond)
	in.lookAll()
	return in
}

// beginAtBoth begins n streams, by turns at both versions and at all daemons.
func (in *installation) beginAtBoth(n int) (ids []string, software map[string]string) {
	software = map[string]string{}
	for i := range n {
		id, e := fmt.Sprint("s", i), in.endpoints[[]string{"a", "b"}[i%2]]
		in.hosts[i%len(in.hosts)].begin(id, e)
		ids, software[id] = append(ids, id), e.Software
	}
	return ids, software
}

// killAll starts all daemons anew, without records, at the same time.
func (in *installation) killAll() {
	time.Sleep(10 * time.Millisecond) // all copies have arrived
	for _, h := range in.hosts {
		h.restart()
	}
}

// Guards against streams that nobody can take up after a restart of all daemons while two versions serve, though they began
// long before, and against those that go on at the other version.
func TestStreamsOutlastAllDaemons(t *testing.T) {
	const streams = 60
	for _, daemons := range []int{3, 7, 24, 71} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				in := mixedInstallation(daemons)
				defer in.close()
				ids, software := in.beginAtBoth(streams)
				time.Sleep(1500 * time.Millisecond)
				for series := range 2 {
					in.killAll()
					continued := 0
					for i, id := range ids {
						found, _, refusal := in.hosts[(i+1)%daemons].controller.Resume(context.Background(), "next", request(id))
						if refusal == nil && found.Software() != software[id] {
							t.Errorf("%s of %s continues at %s", id, software[id], found.Software())
						}
						if refusal == nil {
							continued++
						}
					}
					if continued < streams*95/100 {
						t.Errorf("restart %d: %d of %d streams continue", series, continued, streams)
					}
				}
			})
		})
	}
}

// Guards against take-ups that ask most daemons of a large fleet for a stream that only the store has, and against a list of the
// store for each of them: after a restart of all daemons they come at once, and hosts of a fifth of a core answer late.
func TestTakeUpsAfterARestartOfAllAskFewDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const streams, daemons = 200, 71
		in := mixedInstallation(daemons)
		defer in.close()
		ids, _ := in.beginAtBoth(streams)
		time.Sleep(1500 * time.Millisecond)
		in.killAll()
		calls, lists, began := in.callCount(), in.origins.Calls(), time.Now()
		var all sync.WaitGroup
		for i, id := range ids {
			all.Go(func() {
				if _, _, refusal := in.hosts[(i+1)%daemons].controller.Resume(context.Background(), "next", request(id)); refusal != nil {
					t.Errorf("%s: %v", id, refusal)
				}
			})
		}
		all.Wait()
		took := time.Since(began)
		if n := in.callCount() - calls; n > streams*(askedFirst+maxQuestions) {
			t.Errorf("%d messages for %d streams, want at most %d each", n, streams, askedFirst+maxQuestions)
		}
		readers := minReaders + daemons/daemonsPerReader
		if n, most := in.origins.Calls()-lists, readers*(1+int(took/minListInterval)); n > most {
			t.Errorf("%d lists by %d daemons, want at most %d", n, readers, most)
		}
		if took > 2*minListInterval {
			t.Errorf("the last origin was found after %v", took)
		}
	})
}

// Guards against streams of a large fleet that began a good while before all daemons were lost and that nobody has stored, since so many
// daemons may each write only once a second, and bounds the writes.
func TestStreamsOfALargeFleetAreStoredSoon(t *testing.T) {
	const seconds, perDaemon, writesPerSecond = 3, 3, 85 // streams a second begin at each daemon
	for _, daemons := range []int{24, 79, 195} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				in := mixedInstallation(daemons)
				defer in.close()
				time.Sleep(1500 * time.Millisecond) // the first writes are over
				writes, ids, software := in.origins.Calls(), []string(nil), map[string]string{}
				for i := range seconds * perDaemon * daemons {
					id, e := fmt.Sprint("late-", i), in.endpoints[[]string{"a", "b"}[i%2]]
					in.hosts[i%daemons].begin(id, e)
					ids, software[id] = append(ids, id), e.Software
					time.Sleep(time.Second / time.Duration(perDaemon*daemons))
				}
				writes = in.origins.Calls() - writes
				time.Sleep(400 * time.Millisecond)
				in.killAll()
				lost := 0
				for i, id := range ids {
					found, _, refusal := in.hosts[(i+1)%daemons].controller.Resume(context.Background(), "next", request(id))
					if refusal != nil {
						lost++
					} else if found.Software() != software[id] {
						t.Errorf("%s of %s continues at %s", id, software[id], found.Software())
					}
				}
				if lost > 0 {
					t.Errorf("%d of %d streams are lost", lost, len(ids))
				}
				if most := seconds*writesPerSecond + daemons; writes > most { // each daemon that writes reads its object once
					t.Errorf("%d calls to the store in %d s, want at most %d", writes, seconds, most)
				}
			})
		})
	}
}

// Guards against streams that nobody stores where the daemon that is to keep them in the store does not answer.
func TestStreamsAreStoredWithoutTheirKeeper(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const daemons, streams = 24, 48
		in := mixedInstallation(daemons)
		defer in.close()
		readers := in.hosts[0].controller.readers()
		for _, h := range in.hosts {
			if isMember(readers, h.id()) {
				h.mu.Lock()
				h.down = true
				h.mu.Unlock()
			}
		}
		var ids []string
		for i := range streams {
			if h := in.hosts[i%daemons]; !isMember(readers, h.id()) {
				id := fmt.Sprint("s", i)
				h.begin(id, in.endpoints["a"])
				ids = append(ids, id)
			}
		}
		time.Sleep(1500 * time.Millisecond)
		in.killAll()
		for i, id := range ids {
			resume(t, in.hosts[i%daemons], id, "v1")
		}
	})
}

// Guards against callers that come back in vain for a stream that is lost, and against those that are told so while the store, which
// knows the stream, is away.
func TestLostIsToldFromNotKnownYet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := mixedInstallation(5)
		defer in.close()
		in.hosts[0].begin("kept", in.endpoints["b"])
		time.Sleep(1500 * time.Millisecond)
		in.origins.SetAway(true)
		in.hosts[1].begin("lost", in.endpoints["b"])
		in.killAll()
		time.Sleep(2 * settleTime)
		in.lookAll()
		expect := func(id, reason string) {
			t.Helper()
			_, _, refusal := in.hosts[2].controller.Resume(context.Background(), "next", request(id))
			if refusal == nil || refusal.Reason != reason {
				t.Errorf("%s: refusal %v, want %s", id, refusal, reason)
			}
		}
		expect("kept", ReasonUnknownOrigin)
		expect("lost", ReasonUnknownOrigin)
		in.origins.SetAway(false)
		expect("lost", ReasonLostOrigin)
		resume(t, in.hosts[2], "kept", "v2")
	})
}

// Guards against calls to the store while one version serves, and bounds those while two do.
func TestCallsToTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := mixedInstallation(7)
		defer in.close()
		const seconds, perSecond = 10, 4
		before := in.origins.Calls()
		for i := range seconds * perSecond {
			for j, h := range in.hosts {
				h.begin(fmt.Sprintf("s%d-%d", i, j), in.endpoints["a"])
			}
			time.Sleep(time.Second / perSecond)
		}
		limit := len(in.hosts) * (seconds*int(time.Second/minFlushInterval) + 1) // each reads its object once
		if n := in.origins.Calls() - before; n == 0 || n > limit {
			t.Errorf("two versions: %d calls in %d s by %d daemons, want at most %d", n, seconds, len(in.hosts), limit)
		}
		in.set("b", "")
		for range 200 { // the retention and the cleaning after it
			time.Sleep(time.Second)
			in.lookAll()
		}
		if n := in.origins.Len(); n != 0 {
			t.Errorf("%d objects are left after the streams are over", n)
		}
		before = in.origins.Calls() + in.store.Calls()
		for i := range 100 {
			in.hosts[i%7].begin(fmt.Sprint("single-", i), in.endpoints["a"])
			time.Sleep(time.Second)
			in.lookAll()
		}
		if n := in.origins.Calls() + in.store.Calls() - before; n != 0 {
			t.Errorf("one version: %d calls", n)
		}
	})
}

// Guards against streams of the only version that are kept by one daemon alone after a second version has appeared: of all
// daemons but the record's writer, which learn of it by the record.
func TestStreamsBegunBeforeASecondVersionAreKept(t *testing.T) {
	const streams = 70
	for _, restart := range []struct {
		name  string
		hosts int // that are started anew
	}{{"all", 7}, {"one", 1}, {"three", 3}} {
		t.Run(restart.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				in := newInstallationWith(7, true, &record.Store{Latency: 4 * time.Millisecond}, &record.Records{Latency: 4 * time.Millisecond})
				defer in.close()
				in.set("a", "v1")
				in.lookAll()
				time.Sleep(time.Second)
				for i := range streams {
					in.hosts[i%7].begin(fmt.Sprint("s", i), in.endpoints["a"])
				}
				in.set("b", "v2")
				in.lookAll()
				time.Sleep(1500 * time.Millisecond)
				for _, h := range in.hosts[:restart.hosts] {
					h.restart()
				}
				for i := range streams {
					resume(t, in.hosts[(i+3)%7], fmt.Sprint("s", i), "v1")
				}
			})
		})
	}
}

// Guards against log lines that leave out which record decided about a stream that is taken up, how old it is and who wrote it.
func TestWhatDecidedIsNamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := mixedInstallation(5)
		defer in.close()
		in.hosts[1].begin("kept", in.endpoints["b"])
		writer := in.hosts[1].name
		time.Sleep(1500 * time.Millisecond)
		_, f, _ := in.hosts[1].controller.Resume(context.Background(), "next", request("kept"))
		if f.Source != sourceOwn || f.Writer != writer || f.AgeMs < 1500 {
			t.Errorf("at the daemon that began it: %+v", f)
		}
		in.killAll()
		time.Sleep(2 * settleTime)
		in.lookAll()
		_, f, refusal := in.hosts[2].controller.Resume(context.Background(), "next", request("kept"))
		if refusal != nil || f.Source != sourceStored || f.Writer != writer || f.AgeMs < 3000 {
			t.Errorf("by the store: %+v, %v", f, refusal)
		}
		_, f, refusal = in.hosts[2].controller.Resume(context.Background(), "next", request("lost"))
		if refusal == nil || f.Source != "" || f.Writer == "" || f.AgeMs == 0 || fmt.Sprint(f.Versions) != "[v1 v2]" || len(f.Silent) != 0 {
			t.Errorf("lost: %+v, %v", f, refusal)
		}
		in.origins.SetAway(true)
		_, f, _ = in.hosts[2].controller.Resume(context.Background(), "next", request("unknown"))
		if fmt.Sprint(f.Silent) != "["+sourceStored+"]" {
			t.Errorf("the store is away: %+v", f)
		}
	})
}

// Guards against streams that only the daemon that began them knows, after it has learned from others, and not from its own list
// of endpoints, that a second version serves: they were neither copied to other daemons nor stored.
func TestStreamsAreKeptOnceOthersTellOfAVersion(t *testing.T) {
	for _, c := range []struct {
		name  string
		learn func(in *installation)
	}{
		{"by the record, as the version has left", func(in *installation) {
			in.set("b", "v2")
			in.lookAll()
			time.Sleep(20 * time.Millisecond) // one daemon writes it, the others look 30 ms later
			in.set("b", "")
			in.lookAll()
		}},
		{"by the copy of a stream, before they see the version", func(in *installation) {
			in.set("b", "v2")
			in.hosts[0].look()
			time.Sleep(500 * time.Millisecond)
			for i := range 20 {
				in.hosts[0].begin(fmt.Sprint("other-", i), in.endpoints["b"])
			}
			time.Sleep(100 * time.Millisecond)
			in.lookAll()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				in := newInstallationWith(7, true, &record.Store{Latency: 4 * time.Millisecond}, &record.Records{Latency: 4 * time.Millisecond})
				defer in.close()
				in.set("a", "v1")
				in.lookAll()
				time.Sleep(1200 * time.Millisecond)
				in.lookAll()
				for i, h := range in.hosts {
					h.begin(fmt.Sprint("s", i), in.endpoints["a"])
				}
				c.learn(in)
				time.Sleep(1500 * time.Millisecond)
				in.lookAll()
				in.killAll()
				for i := range in.hosts {
					resume(t, in.hosts[(i+1)%len(in.hosts)], fmt.Sprint("s", i), "v1")
				}
			})
		})
	}
}
