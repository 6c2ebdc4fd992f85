package balance

import (
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/coordination/backpressure"
	"github.com/doorvalve/doorvalve/state/fleet"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newBalancer(domain string, seed uint64) *Balancer {
	return New(domain, seed, backpressure.New(backpressure.Options{LeaveWithin: 2 * time.Second}))
}

func incarnation(id string) fleet.Incarnation { return fleet.Incarnation{ID: id} }

func endpoints(ids ...string) []*fleet.Endpoint {
	var list []*fleet.Endpoint
	for _, id := range ids {
		list = append(list, &fleet.Endpoint{ID: id, FailureDomain: "d-" + id, Slots: 64})
	}
	return list
}

func TestPickTakesTheLeastLoaded(t *testing.T) {
	b := newBalancer("d-a", 1)
	list := endpoints("a", "b")
	var tickets []Ticket
	for range 4 {
		tickets = append(tickets, b.Started(start, list[0], Query{}))
	}
	if e := b.Pick(start, list, Query{}); e.ID != "b" {
		t.Fatalf("picked %s with four requests running", e.ID)
	}
	for i := range tickets {
		b.Ended(start, &tickets[i], time.Second, true)
	}
	if e := b.Pick(start, list, Query{}); e.ID != "a" {
		t.Fatalf("picked %s in another failure domain at equal load", e.ID)
	}
}

func TestFailedEndpointIsAvoidedForAWhile(t *testing.T) {
	b := newBalancer("x", 1)
	list := endpoints("a", "b")
	first := b.Failed(start, incarnation("a"))
	second := b.Failed(start, incarnation("a"))
	if second <= first {
		t.Fatalf("a second failure in a row is avoided for %v, the first for %v", second, first)
	}
	for range 20 {
		if e := b.Pick(start.Add(first), list, Query{}); e.ID != "b" {
			t.Fatal("an endpoint that has just failed was picked")
		}
	}
	if e := b.Pick(start, list[:1], Query{}); e == nil {
		t.Fatal("the only endpoint was not picked after a failure")
	}
	seen := false
	for range 50 {
		seen = seen || b.Pick(start.Add(second), list, Query{}).ID == "a"
	}
	if !seen {
		t.Fatal("the endpoint is still avoided after the back-off")
	}
}

func TestAbsentUnitAndLeavingEndpointAreNeverPicked(t *testing.T) {
	b := newBalancer("x", 1)
	list := endpoints("a", "b")
	list[1].Leaving = true
	b.MarkAbsent(start, incarnation("a"), "m")
	if e := b.Pick(start, list, Query{Unit: "m"}); e != nil {
		t.Fatalf("picked %s", e.ID)
	}
	b.ClearAbsent(incarnation("a"), "m")
	if e := b.Pick(start, list, Query{Unit: "m"}); e == nil || e.ID != "a" {
		t.Fatal("not picked though the coordinator reports the unit as present")
	}
	if e := b.Pick(start, list, Query{Unit: "m", Exclude: []fleet.Incarnation{incarnation("a")}}); e != nil {
		t.Fatal("an excluded endpoint was picked")
	}
}

func TestAffinityKeepsPromptsTogether(t *testing.T) {
	b := newBalancer("x", 1)
	b.SetDaemons(6)
	list := endpoints("a", "b", "c", "d")
	count := map[string]int{}
	for range 100 {
		count[b.Pick(start, list, Query{Affinity: "part"}).ID]++
	}
	most := 0
	for _, n := range count {
		most = max(most, n)
	}
	if most < 50 {
		t.Fatalf("the same prompt was spread: %v", count)
	}
}

// Guards against state of one incarnation of an endpoint that is applied to the next.
func TestNextLifeIsNotAvoided(t *testing.T) {
	b := newBalancer("d-a", 1)
	before := fleet.Incarnation{ID: "a", StartUnixMs: 1000}
	b.Failed(start, before)
	b.MarkAbsent(start, before, "m")
	old := endpoints("a")[0]
	old.StartUnixMs = before.StartUnixMs
	ticket := b.Started(start, old, Query{Unit: "m"})
	list := endpoints("a")
	list[0].StartUnixMs = 2000
	if e := b.Pick(start, list, Query{Unit: "m"}); e == nil || b.Avoided(start, e.Incarnation()) {
		t.Fatal("the next incarnation is avoided for failures of the one before")
	}
	b.Ended(start, &ticket, time.Second, true)
	if b.RecentlyServed(start, list[0].Incarnation(), "m") {
		t.Fatal("a success of the incarnation before counts for the next one")
	}
}

// Holders of a model are near capacity if each has at least three quarters of its slots
// taken, by the reported requests of all daemons and those that this daemon has sent since.
func TestNearCapacity(t *testing.T) {
	b := newBalancer("x", 1)
	list := endpoints("a", "b")
	for _, e := range list {
		e.Service, e.Slots = "llm", 12
	}
	if b.NearCapacity(start, list, Query{}) {
		t.Fatal("near capacity without a report")
	}
	b.ReceiveRunning("llm", start, Running{incarnation("a"): 12, incarnation("b"): 8}, Running{})
	if b.NearCapacity(start, list, Query{}) {
		t.Fatal("one of them has slots free")
	}
	b.Started(start, list[1], Query{})
	if !b.NearCapacity(start, list, Query{}) {
		t.Fatal("not near capacity with the request that was sent since the report")
	}
	if b.NearCapacity(start.Add(reportTTL), list, Query{}) {
		t.Fatal("near capacity by a report that is too old")
	}
	b.Failed(start, incarnation("b"))
	if !b.NearCapacity(start, list, Query{}) {
		t.Fatal("not near capacity though the endpoint that has failed does not count")
	}
}

// An endpoint at which nothing listens is not picked, even if there is no other, so that its
// requests are served elsewhere or refused at once. After the back-off it is tried again.
func TestEndedEndpointIsNotPicked(t *testing.T) {
	b := newBalancer("x", 1)
	list := endpoints("a")
	for range 5 { // several requests notice the same failure
		b.MarkUnreachable(start, incarnation("a"))
	}
	if e := b.Pick(start.Add(unreachableFirst-time.Millisecond), list, Query{}); e != nil || !b.MarkedUnreachable(start, incarnation("a")) {
		t.Fatalf("picked %v", e)
	}
	if e := b.Pick(start.Add(unreachableFirst), list, Query{}); e == nil {
		t.Fatal("not picked after the back-off")
	}
	again := start.Add(unreachableFirst)
	b.MarkUnreachable(again, incarnation("a"))
	if e := b.Pick(again.Add(2*unreachableFirst-time.Millisecond), list, Query{}); e != nil {
		t.Fatal("the back-off did not grow with the second refusal")
	}
	ticket := b.Started(again, list[0], Query{})
	b.Ended(again, &ticket, time.Millisecond, true)
	if e := b.Pick(again, list, Query{}); e == nil {
		t.Fatal("not picked though it has answered")
	}
}
