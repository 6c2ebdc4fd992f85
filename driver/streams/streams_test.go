package streams

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/doorvalve/doorvalve/coordination/continuation"
	"github.com/doorvalve/doorvalve/coordination/membership"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/driver/generations"
	"github.com/doorvalve/doorvalve/protocol/streampb"
	"github.com/doorvalve/doorvalve/standin/record"
	"github.com/doorvalve/doorvalve/state/fleet"
)

// installation is a set of daemons that share a list of endpoints, which each of them sees late.
type installation struct {
	log       *decisions.Log
	mu        sync.Mutex
	hosts     []*host
	endpoints map[string]*fleet.Endpoint
	calls     int
	store     *record.Store   // nil: none
	origins   *record.Records // nil: none
	// generations tracks the store's generation.
	generations *generations.Tracker
	// configure, if not nil, changes the options of each daemon before it starts.
	configure func(*host, *Options)
}

type host struct {
	in         *installation
	nameMu     sync.Mutex
	name       string // read by other daemons through id
	mu         sync.Mutex
	controller *Controller
	stop       context.CancelFunc
	group      int  // daemons of different groups don't reach each other
	blind      bool // does not receive new views
	down       bool // no daemon runs
	viewAt     time.Time
	view       *fleet.View
}

var errPartitioned = errors.New("partitioned")

func newInstallation(hosts int, firstStart bool, store *record.Store) *installation {
	return newInstallationWith(hosts, firstStart, store, nil)
}

func newInstallationWith(hosts int, firstStart bool, store *record.Store, origins *record.Records) *installation {
	in := &installation{origins: origins, log: decisions.New(io.Discard, "test", hclog.Off), endpoints: map[string]*fleet.Endpoint{}, store: store}
	in.generations = generations.New(in.log, tally.NoopScope)
	for i := range hosts {
		in.hosts = append(in.hosts, &host{in: in, name: fmt.Sprintf("h%d", i)})
	}
	for _, h := range in.hosts {
		h.start(firstStart)
	}
	return in
}

func (in *installation) close() {
	for _, h := range in.hosts {
		h.stop()
	}
	time.Sleep(time.Minute) // calls in progress end
	in.log.Close()
}

// id returns the name of the daemon that runs now.
func (h *host) id() string {
	h.nameMu.Lock()
	defer h.nameMu.Unlock()
	return h.name
}

func (h *host) setName(name string) {
	h.nameMu.Lock()
	defer h.nameMu.Unlock()
	h.name = name
}

// restart starts the daemon anew under another name.
func (h *host) restart() {
	h.nameMu.Lock()
	h.name += "'"
	h.nameMu.Unlock()
	h.start(false)
}

func (in *installation) setHosts(hosts []*host) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.hosts = hosts
}

func (in *installation) hostList() []*host {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.hosts
}

func (in *installation) members() []membership.Member {
	var list []membership.Member
	for _, h := range in.hostList() {
		list = append(list, membership.Member{ID: h.id(), PeerAddress: h.id(), Status: membership.Alive})
	}
	return list
}

// start starts a daemon without records.
func (h *host) start(first bool) {
	ctx, cancel := context.WithCancel(context.Background())
	opt := Options{
		Self: h.name, Members: h.in.members, Peer: func(address string) streampb.Streams { return link{h, address} },
		ViewAge: h.viewAge, FirstStart: first, Generations: h.in.generations, Clock: time.Now, Log: h.in.log, Metrics: tally.NoopScope,
	}
	if h.in.store != nil {
		opt.Store = h.in.store
	}
	if h.in.origins != nil {
		opt.Origins = h.in.origins
	}
	if h.in.configure != nil {
		h.in.configure(h, &opt)
	}
	c := New(opt)
	h.mu.Lock()
	if h.stop != nil {
		h.stop()
	}
	h.controller, h.stop, h.down, h.view = c, cancel, false, nil
	h.mu.Unlock()
	go func() { _ = c.Run(ctx) }()
	h.look()
}

func (h *host) viewAge() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.viewAt)
}

// look reads the list of endpoints, unless the daemon is blind.
func (h *host) look() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.blind || h.down {
		return
	}
	h.in.mu.Lock()
	var list []*fleet.Endpoint
	for _, e := range h.in.endpoints {
		list = append(list, e)
	}
	h.in.mu.Unlock()
	h.view, h.viewAt = fleet.NewView(fleet.View{}.Version, list), time.Now()
	h.controller.ObserveView(h.view)
}

// link is the connection from one daemon to another.
type link struct {
	from *host
	to   string
}

func (l link) target() (*Controller, error) {
	time.Sleep(time.Millisecond)
	l.from.in.mu.Lock()
	l.from.in.calls++
	l.from.in.mu.Unlock()
	for _, h := range l.from.in.hostList() {
		h.mu.Lock()
		c, group, down := h.controller, h.group, h.down
		h.mu.Unlock()
		if h.id() != l.to {
			continue
		}
		if down {
			return nil, errPartitioned
		}
		l.from.mu.Lock()
		same := l.from.group == group
		l.from.mu.Unlock()
		if !same {
			time.Sleep(callTimeout)
			return nil, errPartitioned
		}
		return c, nil
	}
	return nil, errPartitioned
}

func (l link) Place(ctx context.Context, req *streampb.PlaceRequest) (*streampb.PlaceResponse, error) {
	c, err := l.target()
	if err != nil {
		return nil, err
	}
	return c.Place(ctx, req)
}

func (l link) Find(ctx context.Context, req *streampb.FindRequest) (*streampb.FindResponse, error) {
	c, err := l.target()
	if err != nil {
		return nil, err
	}
	return c.Find(ctx, req)
}

func (in *installation) callCount() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.calls
}

func (in *installation) set(id, software string) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if software == "" {
		delete(in.endpoints, id)
		return
	}
	in.endpoints[id] = &fleet.Endpoint{ID: id, Service: "llm", Software: software}
}

func (in *installation) lookAll() {
	for _, h := range in.hosts {
		h.look()
	}
}

func request(id string) continuation.Request {
	return continuation.Request{Key: continuation.KeyOf(id), Named: true, Service: "llm", Unit: "m"}
}

func (h *host) begin(id string, e *fleet.Endpoint) {
	h.controller.Begin(context.Background(), id, continuation.Origin{Service: "llm", Software: e.Software, Incarnation: e.Incarnation(), Unit: "m"}, 0)
}

// Guards against messages for each stream while a service runs one version, and bounds those of a
// stream while it runs two.
func TestMessagesOfAStream(t *testing.T) {
	for _, daemons := range []int{7, 24, 375} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				in := newInstallation(daemons, true, nil)
				defer in.close()
				in.set("a", "v1")
				in.lookAll()
				count := func(f func()) int {
					before := in.callCount()
					f()
					time.Sleep(time.Second)
					return in.callCount() - before
				}
				a := in.endpoints["a"]
				if n := count(func() { in.hosts[0].begin("one", a) }); n != 0 {
					t.Errorf("one version: %d messages for a new stream", n)
				}
				if n := count(func() { resume(t, in.hosts[1], "one", "v1") }); n > askedFirst {
					t.Errorf("one version: %d messages for a resumed stream", n)
				}
				in.set("b", "v2")
				if n := count(in.lookAll); n > copies {
					t.Errorf("a second version: %d messages for one record", n)
				}
				if n := count(func() { in.hosts[0].begin("two", in.endpoints["b"]) }); n > copies {
					t.Errorf("two versions: %d messages for a new stream", n)
				}
				if n := count(func() { resume(t, in.hosts[daemons-1], "two", "v2"); resume(t, in.hosts[daemons-2], "one", "v1") }); n > 2*askedFirst {
					t.Errorf("two versions: %d messages for two resumed streams", n)
				}
			})
		})
	}
}

func resume(t *testing.T, h *host, id, software string) {
	t.Helper()
	found, _, refusal := h.controller.Resume(context.Background(), "next", request(id))
	if refusal != nil || found.Software() != software {
		t.Errorf("%s at %s: %q, %v, want %s", id, h.name, found.Software(), refusal, software)
	}
}

// Guards against records that are lost with the daemons that began the streams, and against a
// daemon that has just started and takes the version that it sees for the only one.
func TestRecordsOutlastDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := newInstallation(7, true, nil)
		defer in.close()
		in.set("a", "v1")
		in.set("b", "v2")
		in.lookAll()
		for i := range 40 {
			in.hosts[i%2].begin(fmt.Sprint("s", i), in.endpoints[[]string{"a", "b"}[i%2]])
		}
		in.hosts[0].start(false)
		in.hosts[1].start(false)
		for i := range 40 {
			resume(t, in.hosts[i%7], fmt.Sprint("s", i), []string{"v1", "v2"}[i%2])
		}
		in.set("b", "")
		for _, h := range in.hosts {
			h.start(false) // all at once: whether v2 ran a moment ago is not known any more
		}
		if found, _, refusal := in.hosts[3].controller.Resume(context.Background(), "next", request("s1")); refusal == nil {
			t.Errorf("a stream of v2 continues at %q", found.Software())
		}
	})
}

// Guards against streams that are refused after a restart of all daemons though one version has run all
// the time, and against those that continue at that version though another ran before the restart or
// the store was restored from a copy since.
func TestAllDaemonsRestart(t *testing.T) {
	for _, c := range []struct {
		name      string
		change    func(in *installation) // while the first daemons run
		continues bool
	}{
		{"one version", func(*installation) {}, true},
		{"another one until just before", func(in *installation) {
			in.set("b", "v2")
			in.lookAll()
			time.Sleep(100 * time.Millisecond)
			in.beginWhereAllowed(t, "lost", "b")
			in.set("b", "")
			time.Sleep(10 * time.Millisecond) // all copies have arrived
		}, false},
		{"another one since the copy that the store was restored from", func(in *installation) {
			backup := in.store.Backup()
			in.set("b", "v2")
			in.lookAll()
			time.Sleep(3 * time.Second)
			in.set("b", "")
			in.store.Restore(backup)
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				in := newInstallation(5, true, &record.Store{Latency: 4 * time.Millisecond})
				defer in.close()
				in.set("a", "v1")
				in.lookAll()
				time.Sleep(3 * time.Second)
				in.lookAll()
				time.Sleep(1200 * time.Millisecond)
				c.change(in)
				in.lookAll()
				for _, h := range in.hosts {
					h.stop()
				}
				for _, h := range in.hosts {
					h.start(false)
				}
				for _, h := range in.hosts {
					found, _, refusal := h.controller.Resume(context.Background(), "next", request("lost"))
					if (refusal == nil) != c.continues {
						t.Errorf("%s: continues at %q, refused: %v", h.name, found.Software(), refusal)
					}
				}
			})
		})
	}
}

// beginWhereAllowed begins a stream at an endpoint, at a daemon that lets it begin there.
func (in *installation) beginWhereAllowed(t *testing.T, id, endpoint string) {
	t.Helper()
	for _, h := range in.hosts {
		if h.controller.Beginning("llm").Allows(in.endpoints[endpoint]) {
			h.begin(id, in.endpoints[endpoint])
			return
		}
	}
	t.Errorf("no daemon lets a stream begin at %s", endpoint)
}

// Guards against a stream that continues at another version after a restart of all daemons, because it began before
// anything that outlasts them said that its version existed.
func TestVersionsAreRecordedBeforeStreamsBegin(t *testing.T) {
	for _, listed := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond, 12 * time.Millisecond, 40 * time.Millisecond, 200 * time.Millisecond, 900 * time.Millisecond} {
		t.Run(listed.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				in := newInstallation(5, true, &record.Store{Latency: 4 * time.Millisecond})
				defer in.close()
				in.set("a", "v1")
				in.lookAll()
				time.Sleep(1200 * time.Millisecond) // the record has v1
				in.lookAll()
				in.set("b", "v2")
				in.lookAll()
				time.Sleep(listed)
				var begun []string
				for i, h := range in.hosts {
					if h.controller.Beginning("llm").Allows(in.endpoints["b"]) {
						begun = append(begun, fmt.Sprint("s", i))
						h.begin(begun[len(begun)-1], in.endpoints["b"])
					}
				}
				if listed > 100*time.Millisecond && len(begun) != len(in.hosts) {
					t.Errorf("only %d of %d daemons let streams begin at a version that has long been listed", len(begun), len(in.hosts))
				}
				in.set("b", "")
				time.Sleep(10 * time.Millisecond) // all copies have arrived
				for _, h := range in.hosts {
					h.start(false)
				}
				for _, id := range begun {
					for _, h := range in.hosts {
						if found, _, refusal := h.controller.Resume(context.Background(), "next", request(id)); refusal == nil && found.Software() != "v2" {
							t.Errorf("%s of v2 continues at %s", id, found.Software())
						}
					}
				}
			})
		})
	}
}
