package paths

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/doorvalve/doorvalve/coordination/membership"
	"github.com/doorvalve/doorvalve/coordination/reach"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/internal/dial"
	"github.com/doorvalve/doorvalve/standin/link"
	"github.com/doorvalve/doorvalve/transport/tunnel"
)

// fleet is a number of daemons, "d0" and further, which share endpoints.
type fleet struct {
	network   *link.Network
	daemons   []*Controller
	endpoints []*httptest.Server
	now       atomic.Int64 // of the daemons' clock, in Unix nanoseconds
	// dialed is called after each connection that a daemon has tried to open; nil: nothing is called.
	dialed func(address string)
}

// dial returns the daemon's own paths.
func (f *fleet) dial(daemon string) dial.Func {
	own := f.network.Dial(daemon)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := own(ctx, network, address)
		if f.dialed != nil {
			f.dialed(address)
		}
		return conn, err
	}
}

func (f *fleet) clock() time.Time { return time.Unix(0, f.now.Load()) }

func newFleet(t *testing.T, daemons, endpoints int) *fleet {
	f := &fleet{network: link.New()}
	f.now.Store(time.Now().UnixNano())
	var addresses []string
	for i := range endpoints {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprintf(w, "endpoint %d", i) }))
		t.Cleanup(s.Close)
		f.endpoints = append(f.endpoints, s)
		addresses = append(addresses, s.Listener.Addr().String())
	}
	var members []membership.Member
	for i := range daemons {
		mux := http.NewServeMux()
		s := httptest.NewServer(mux)
		t.Cleanup(s.Close)
		id := fmt.Sprintf("d%d", i)
		log := decisions.New(io.Discard, "test", hclog.Off)
		c := New(Options{
			Self: id, Members: func() []membership.Member { return members }, Dial: f.dial(id), Tunnel: &tunnel.Dialer{Open: dial.TCP, Self: id},
			Publish: func(membership.Entry) {}, Clock: f.clock, Log: log, Metrics: tally.NoopScope,
		})
		c.SetAddresses(addresses)
		mux.Handle(tunnel.Path, tunnel.NewHandler(tunnel.Options{Listed: c.Listed, Dial: c.DialOwn, Examine: c.Examine, Limit: 16, Closed: func() bool { return false }, Log: log, Metrics: tally.NoopScope}))
		members = append(members, membership.Member{ID: id, PeerAddress: s.Listener.Addr().String()})
		f.daemons = append(f.daemons, c)
	}
	return f
}

func (f *fleet) address(endpoint int) string { return f.endpoints[endpoint].Listener.Addr().String() }

// cut changes the links of daemons to endpoints.
func (f *fleet) cut(mode link.Mode, daemons, endpoints []int) {
	for _, d := range daemons {
		for _, e := range endpoints {
			f.network.Set(fmt.Sprintf("d%d", d), f.address(e), mode)
		}
	}
}

// Guards against a lost path that is taken for an endpoint that has crashed, and the other way round.
func TestFailureIsThePathsOrTheEndpoints(t *testing.T) {
	type outcome int
	const (
		opened outcome = iota
		refusedByEndpoint
		noPath
		unanswered
	)
	for _, c := range []struct {
		name               string
		daemons, endpoints int
		fault              func(f *fleet)
		want               outcome
	}{
		{"own path refused", 2, 2, func(f *fleet) { f.cut(link.Refused, []int{0}, []int{0, 1}) }, opened},
		{"own path silent", 2, 2, func(f *fleet) { f.cut(link.Silent, []int{0}, []int{0, 1}) }, opened},
		{"own path to one endpoint refused", 3, 2, func(f *fleet) { f.cut(link.Refused, []int{0, 1}, []int{0}) }, opened},
		{"endpoint down", 3, 2, func(f *fleet) { f.endpoints[0].Close() }, refusedByEndpoint},
		{"endpoint down, alone", 1, 2, func(f *fleet) { f.endpoints[0].Close() }, refusedByEndpoint},
		{"only endpoint down, alone", 1, 1, func(f *fleet) { f.endpoints[0].Close() }, refusedByEndpoint},
		{"endpoint down behind a lost path", 3, 2, func(f *fleet) { f.cut(link.Refused, []int{0}, []int{0, 1}); f.endpoints[0].Close() }, refusedByEndpoint},
		{"endpoint down behind lost paths of all", 3, 2, func(f *fleet) { f.cut(link.Refused, []int{0, 1, 2}, []int{0, 1}); f.endpoints[0].Close() }, noPath},
		{"lost by all, one after the other", 4, 2, func(f *fleet) {
			f.cut(link.Refused, []int{1, 2, 3}, []int{0})
			for _, d := range f.daemons[1:] {
				d.Examine(context.Background(), f.address(0))
			}
			f.now.Add(int64(time.Second))
			f.cut(link.Reset, []int{0}, []int{0})
		}, noPath},
		{"lost by half at once, silent to the others", 4, 2, func(f *fleet) {
			f.cut(link.Silent, []int{2, 3}, []int{0})
			f.cut(link.Reset, []int{0, 1}, []int{0})
		}, noPath},
		{"lost by half at once, the others partitioned", 4, 2, func(f *fleet) {
			f.cut(link.Silent, []int{2, 3}, []int{0, 1})
			for _, id := range []string{"d2", "d3"} {
				f.daemons[0].ReceiveFact(membership.Entry{Key: FactPrefix + id, Value: []byte(`{"partitioned":true}`)})
			}
			f.cut(link.Reset, []int{0, 1}, []int{0})
		}, noPath},
		{"partition that begins link by link", 4, 2, func(f *fleet) {
			f.cut(link.Silent, []int{3}, []int{0})
			f.cut(link.Reset, []int{0, 1, 2}, []int{0})
			var control atomic.Int64
			f.dialed = func(address string) {
				if address == f.address(1) && control.Add(1) == 3 { // each of the three has seen the other endpoint
					f.cut(link.Reset, []int{0, 1, 2}, []int{1})
				}
			}
		}, noPath},
		{"all paths of all daemons refused", 3, 2, func(f *fleet) { f.cut(link.Refused, []int{0, 1, 2}, []int{0, 1}) }, noPath},
		{"all paths refused, alone", 1, 2, func(f *fleet) { f.cut(link.Refused, []int{0}, []int{0, 1}) }, noPath},
		{"endpoint silent", 2, 2, func(f *fleet) { f.cut(link.Silent, []int{0, 1}, []int{0}) }, unanswered},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, c.daemons, c.endpoints)
			c.fault(f)
			broke := f.clock()
			for n := range 2 { // the second time, the first failure is known
				err := f.daemons[0].Check(t.Context(), f.address(0), broke)
				got := unanswered
				switch {
				case err == nil:
					got = opened
				case dial.IsRefused(err):
					got = refusedByEndpoint
				case errors.Is(err, ErrNoPath):
					got = noPath
				}
				if got != c.want || err != nil && !dial.IsDialError(err) {
					t.Errorf("attempt %d: outcome %d, want %d; error %v", n, got, c.want, err)
				}
			}
		})
	}
}

// get sends a request to an endpoint, and returns the hop that it took.
func (f *fleet) get(transport *Transport, endpoint int) (hop Hop, err error) {
	ctx := WithObserver(context.Background(), func(h Hop) { hop = h })
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, f.endpoints[endpoint].URL, nil)
	if err != nil {
		return Hop{}, err
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return Hop{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return hop, err
}

// Guards against an open connection that is given up because new ones are refused.
func TestOpenConnectionsAreUsedWhileNewOnesAreRefused(t *testing.T) {
	f := newFleet(t, 2, 1)
	pooled, perRequest := f.daemons[0].Transport(&http.Transport{}), f.daemons[0].Transport(&http.Transport{DisableKeepAlives: true})
	if _, err := f.get(pooled, 0); err != nil {
		t.Fatal(err)
	}
	f.cut(link.Refused, []int{0}, []int{0})
	for i, c := range []struct {
		transport *Transport
		relayed   bool
	}{{pooled, false}, {perRequest, true}, {pooled, false}, {perRequest, true}} {
		if hop, err := f.get(c.transport, 0); err != nil || (hop.Relay != "") != c.relayed {
			t.Errorf("request %d: relayed by %q, want relayed %v; error %v", i, hop.Relay, c.relayed, err)
		}
	}
}

// Guards against an own path that stays unused after it works again.
func TestTrialsFindThatAPathWorksAgain(t *testing.T) {
	f := newFleet(t, 2, 3)
	transport := f.daemons[0].Transport(&http.Transport{})
	f.cut(link.Reset, []int{0}, []int{0, 1, 2})
	for i := range 3 {
		if hop, err := f.get(transport, i); err != nil || hop.Relay != "d1" {
			t.Fatalf("relayed by %q, error %v", hop.Relay, err)
		}
	}
	if !f.daemons[0].Partitioned([]string{f.address(0), f.address(1)}) {
		t.Error("the daemon does not count as partitioned")
	}
	f.cut(link.Up, []int{0}, []int{0, 1, 2})
	f.daemons[0].try(t.Context(), f.address(0)) // one that succeeds makes all others due
	f.daemons[0].mu.Lock()
	due := f.daemons[0].table.Trials(f.daemons[0].opt.Clock())
	f.daemons[0].mu.Unlock()
	if len(due) != 2 || f.daemons[0].Path(f.address(0)) != reach.Direct {
		t.Errorf("%d trials due after one has succeeded, path %v", len(due), f.daemons[0].Path(f.address(0)))
	}
}

// Guards against requests that wait for connections while no daemon reaches an endpoint.
func TestRequestsFailAtOnceWithoutAnyPath(t *testing.T) {
	f := newFleet(t, 3, 2)
	f.cut(link.Silent, []int{0, 1, 2}, []int{0, 1})
	transport := f.daemons[0].Transport(&http.Transport{})
	if _, err := f.get(transport, 0); err == nil {
		t.Fatal("no error")
	}
	var dialed net.Conn
	f.daemons[0].opt.Dial = func(context.Context, string, string) (net.Conn, error) {
		t.Error("a connection was opened for a request")
		return dialed, errors.ErrUnsupported
	}
	if _, err := f.get(transport, 0); !errors.Is(err, ErrNoPath) {
		t.Errorf("error %v, want that there is no path", err)
	}
}

// A partition and its end cost each daemon two facts, and one more in each repeatInterval; a path that
// comes and goes costs one in each minPublishInterval at most.
func TestFactsOfAPartitionAreFew(t *testing.T) {
	now := time.Unix(1000, 0)
	var facts []membership.Entry
	c := New(Options{Self: "d0", Clock: func() time.Time { return now }, Publish: func(e membership.Entry) { facts = append(facts, e) }, Log: decisions.New(io.Discard, "test", hclog.Off), Metrics: tally.NoopScope})
	c.SetAddresses([]string{"a", "b"})
	other := New(Options{Self: "d1", Log: c.opt.Log, Metrics: tally.NoopScope})
	run := func(d time.Duration, change func()) (published int) {
		before := len(facts)
		for end := now.Add(d); now.Before(end); now = now.Add(tick) {
			change()
			c.publish(now)
		}
		return len(facts) - before
	}
	lose := func() {
		for _, a := range []string{"a", "b"} {
			c.table.ObserveFailed(now, a, reach.Silent)
			c.table.ObserveRelay(now, a, "d1", reach.Opened)
		}
	}
	regain := func() { c.table.ObserveOpened(now, "a"); c.table.ObserveOpened(now, "b") }
	if n := run(9*time.Second, lose); n != 1 {
		t.Errorf("%d facts in the first 9 s of a partition, want 1", n)
	}
	other.ReceiveFact(facts[len(facts)-1])
	if !other.IsPartitioned("d0") {
		t.Error("the fact does not say that the daemon is partitioned")
	}
	if n := run(9*time.Second, regain); n != 1 {
		t.Errorf("%d facts after the partition, want 1", n)
	}
	other.ReceiveFact(facts[len(facts)-1])
	if other.IsPartitioned("d0") {
		t.Error("the fact does not say that the partition has ended")
	}
	flip := 0
	if n := run(10*time.Second, func() {
		if flip++; flip%2 == 0 {
			lose()
		} else {
			regain()
		}
	}); n > 11 {
		t.Errorf("%d facts in 10 s of a path that comes and goes", n)
	}
	if !StaleFact(now.Add(time.Minute), facts[len(facts)-1]) || StaleFact(now, facts[len(facts)-1]) {
		t.Error("facts are kept for too long or not long enough")
	}
	other.ReceiveFact(membership.Entry{Key: FactPrefix + "d0", Value: []byte("{")}) // logged, changes nothing
}

// Guards against requests that are refused, or wait for a while, because the few daemons that were asked
// to relay have no path either, though another one has.
func TestSearchFindsTheDaemonWithAPath(t *testing.T) {
	f := newFleet(t, 7, 8)
	for e := range f.endpoints {
		f.cut(link.Refused, []int{0, 1, 2, 3, 4, 5}, []int{e})
	}
	transport := f.daemons[0].Transport(&http.Transport{DisableKeepAlives: true})
	for e := range f.endpoints {
		if hop, err := f.get(transport, e); err != nil || hop.Relay != "d6" {
			t.Errorf("endpoint %d: relay %q, error %v; want d6", e, hop.Relay, err)
		}
	}
}

// Guards against an endpoint that counts as crashed because the one daemon that reaches it again was not
// asked.
func TestAllDaemonsAreAskedBeforeAnEndpointCountsAsDown(t *testing.T) {
	f := newFleet(t, 3, 2)
	f.cut(link.Refused, []int{0, 1}, []int{0})
	c := f.daemons[0]
	c.observeFailed(f.address(0), reach.Refused)
	c.observeRelay(f.address(0), "d2", reach.Unreached) // d2 had no path just before
	if err := c.Check(t.Context(), f.address(0), f.clock()); err != nil {
		t.Fatalf("error %v, want that d2 reaches the endpoint", err)
	}
}
