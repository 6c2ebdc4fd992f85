package continuation

import (
	"fmt"
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/state/fleet"
)

var start = time.Unix(1_000_000, 0)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

// view returns a view of endpoints given as id, software and start of the incarnation.
func view(list ...fleet.Endpoint) *fleet.View {
	var endpoints []*fleet.Endpoint
	for i := range list {
		list[i].Service = "llm"
		endpoints = append(endpoints, &list[i])
	}
	return fleet.NewView(fleet.View{}.Version, endpoints)
}

func ep(id, software string, born int64) fleet.Endpoint {
	return fleet.Endpoint{ID: id, Software: software, StartUnixMs: born}
}

func originAt(e fleet.Endpoint) Origin {
	return Origin{Service: "llm", Software: e.Software, Incarnation: e.Incarnation(), Unit: "m"}
}

func ask(id string) Request {
	return Request{Key: KeyOf(id), Named: id != "", Service: "llm", Unit: "m"}
}

// Guards against streams that continue at an endpoint with other software than the one that began
// them, and against refusals where only one version can have begun the stream.
func TestWhereAStreamMayContinue(t *testing.T) {
	a1, b1, c2, d2, none, other := ep("a", "v1", 1), ep("b", "v1", 1), ep("c", "v2", 1), ep("d", "v2", 1), ep("n", "", 1), ep("o", "", 1)
	later := ep("a", "v2", 2) // the next incarnation of a, with other software
	type step struct {
		at   float64
		view *fleet.View
	}
	for _, c := range []struct {
		name    string
		since   time.Time // zero: first start
		views   []step
		begins  *Origin // at 100 s, as request "first"
		request Request // at 105 s
		decided bool
		allowed []string // of the endpoints in the last view
	}{
		{"one version, no record", time.Time{}, []step{{0, view(a1, b1)}}, nil, ask("lost"), true, []string{"a", "b"}},
		{"one version, no attempt named", time.Time{}, []step{{0, view(a1, b1)}}, nil, ask(""), true, []string{"a", "b"}},
		{"two versions, known", time.Time{}, []step{{0, view(a1, b1, c2, d2)}}, ptr(originAt(c2)), ask("first"), true, []string{"c", "d"}},
		{"two versions, no record", time.Time{}, []step{{0, view(a1, b1, c2, d2)}}, nil, ask("lost"), false, nil},
		{"two versions, no attempt named", time.Time{}, []step{{0, view(a1, c2)}}, ptr(originAt(c2)), ask(""), false, nil},
		{"another version was there a minute ago", time.Time{}, []step{{0, view(a1, c2)}, {60, view(a1, b1)}}, nil, ask("lost"), false, nil},
		{"another version was there long ago", time.Time{}, []step{{0, view(a1, c2)}, {30, view(a1, b1)}}, nil, ask("lost"), true, []string{"a", "b"}},
		{"a daemon that has just started", at(100), []step{{101, view(a1, b1)}}, nil, ask("lost"), false, nil},
		{"a daemon that has just started has the record", at(100), []step{{101, view(a1, b1, c2)}}, ptr(originAt(a1)), ask("first"), true, []string{"a", "b"}},
		{"a daemon without a view", time.Time{}, nil, nil, ask("lost"), false, nil},
		{"its version is gone", time.Time{}, []step{{0, view(a1, c2)}, {102, view(c2, d2)}}, ptr(originAt(a1)), ask("first"), true, nil},
		{"the stream of another workspace", time.Time{}, []step{{0, view(a1, c2)}}, ptr(originAt(a1)), Request{Key: KeyOf("first"), Named: true, Service: "llm", Unit: "m", Workspace: "w"}, false, nil},
		{"the stream of another model", time.Time{}, []step{{0, view(a1, c2)}}, ptr(originAt(a1)), Request{Key: KeyOf("first"), Named: true, Service: "llm", Unit: "m2"}, false, nil},
		{"the stream of another model, one version", time.Time{}, []step{{0, view(a1, b1)}}, ptr(originAt(a1)), Request{Key: KeyOf("first"), Named: true, Service: "llm", Unit: "m2"}, true, []string{"a", "b"}},
		{"no versions reported at all", time.Time{}, []step{{0, view(none, other)}}, ptr(originAt(none)), ask("first"), true, []string{"n", "o"}},
		{"no version reported beside others", time.Time{}, []step{{0, view(none, other, a1)}}, ptr(originAt(none)), ask("first"), true, []string{"n"}},
		{"started again under its id with other software, seen late", time.Time{}, []step{{0, view(a1, b1, c2)}, {103, view(later, b1, c2)}}, ptr(originAt(a1)), ask("first"), false, nil},
		{"started again under its id with other software, seen before", time.Time{}, []step{{0, view(a1, b1, c2)}, {99, view(later, b1, c2)}}, ptr(originAt(a1)), ask("first"), false, nil},
		{"the registry forgot the endpoint", time.Time{}, []step{{0, view(a1, b1, c2)}, {99, view(b1, c2)}}, ptr(originAt(a1)), ask("first"), true, []string{"b"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			table, last, begun := New(c.since), view(), false
			begin := func() {
				if c.begins != nil && !begun {
					table.Begin(at(100), KeyOf("first"), *c.begins, time.Time{})
				}
				begun = true
			}
			for _, s := range c.views {
				if s.at > 100 && c.since.IsZero() {
					begin()
				}
				table.ObserveView(at(s.at), s.view)
				last = s.view
			}
			begin()
			got, decided := table.Decide(at(105), c.request)
			if decided != c.decided {
				t.Fatalf("decided: %t", decided)
			}
			if !decided {
				return
			}
			var allowed []string
			for _, e := range got.Filter(last.ByService["llm"]) {
				allowed = append(allowed, e.ID)
			}
			if fmt.Sprint(allowed) != fmt.Sprint(c.allowed) {
				t.Errorf("may continue at %v, want %v", allowed, c.allowed)
			}
		})
	}
}

func ptr[T any](v T) *T { return &v }

// Guards against two streams of one id, one of which would continue at the other's version.
func TestRecordsThatDifferDecideNothing(t *testing.T) {
	a, c := ep("a", "v1", 1), ep("c", "v2", 1)
	first, second := Record{Key: KeyOf("x"), Origin: originAt(a), At: at(1)}, Record{Key: KeyOf("x"), Origin: originAt(c), At: at(2)}
	for _, order := range [][]Record{{first, second}, {second, first}, {first, second, first}} {
		table := New(time.Time{})
		table.ObserveView(at(0), view(a, c))
		for _, r := range order {
			table.Merge(at(3), []Record{r})
		}
		if _, decided := table.Decide(at(4), ask("x")); decided {
			t.Error("one of two streams with the same id continues")
		}
	}
}

// Guards against memory that grows with the streams of a long rollout.
func TestRecordsAreBounded(t *testing.T) {
	table := New(time.Time{})
	table.ObserveView(at(0), view(ep("a", "v1", 1), ep("c", "v2", 1)))
	for i := range maxRecords + maxRecords/4 {
		table.Begin(at(float64(i)/1e4), KeyOf(fmt.Sprint(i)), originAt(ep("a", "v1", 1)), time.Time{})
	}
	if table.Len() > maxRecords {
		t.Fatalf("%d records", table.Len())
	}
	if _, ok := table.Lookup(KeyOf(fmt.Sprint(maxRecords + maxRecords/4 - 1))); !ok {
		t.Error("the newest record was dropped")
	}
	table.Expire(at(1000))
	if table.Len() != 0 {
		t.Errorf("%d records of streams that have ended", table.Len())
	}
}
