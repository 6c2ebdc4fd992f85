package grants

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/doorvalve/doorvalve/coordination/placement"
	"github.com/doorvalve/doorvalve/state/bundle"
)

// Credits for an endpoint never add up to more than its slots, and equal reports
// give equal credits, with random reports of running and waiting requests.
func TestAllocateInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		var replicas []placement.Replica
		slots := map[string]int{}
		for e := range rapid.IntRange(1, 3).Draw(t, "endpoints") {
			name := fmt.Sprint("e", e)
			slots[name] = rapid.IntRange(1, 6).Draw(t, "slots")
			for u := range rapid.IntRange(1, 3).Draw(t, "units") {
				replicas = append(replicas, placement.Replica{Unit: fmt.Sprint("u", u), Endpoint: bundle.Endpoint{Name: name, Slots: slots[name]}})
			}
		}
		al := NewAllocator()
		total := 0
		for d := range rapid.IntRange(1, 5).Draw(t, "daemons") {
			var units []UnitReport
			for u := range 3 {
				r := UnitReport{Unit: fmt.Sprint("u", u), InFlight: rapid.IntRange(0, 2).Draw(t, "running")}
				for w := range rapid.IntRange(0, 2).Draw(t, "classes") {
					r.Waiting = append(r.Waiting, Waiting{Worth: int64(10 - w), Count: rapid.IntRange(1, 4).Draw(t, "count"), Deadline: now.Add(time.Minute)})
				}
				units = append(units, r)
			}
			al.Report(now, fmt.Sprint("d", d), units)
		}
		credits := al.Allocate(now, replicas)
		used := map[string]int{}
		for _, list := range credits {
			for _, c := range list {
				used[c.Endpoint] += c.Limit
				total += c.Limit
			}
		}
		for e, n := range used {
			if n > slots[e] {
				t.Fatalf("%s: %d credits for %d slots", e, n, slots[e])
			}
		}
		again := al.Allocate(now, replicas)
		if fmt.Sprint(credits) != fmt.Sprint(again) {
			t.Fatal("the same reports gave different credits")
		}
	})
}

// Of three daemons, the one with the waiting request of the highest worth gets
// the only slot.
func TestAllocateByWorth(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	al := NewAllocator()
	for i, worth := range []int64{1, 9, 5} {
		al.Report(now, fmt.Sprint("d", i), []UnitReport{{Unit: "u", Waiting: []Waiting{{Worth: worth, Count: 3, Deadline: now.Add(time.Second)}}}})
	}
	credits := al.Allocate(now, []placement.Replica{{Unit: "u", Endpoint: bundle.Endpoint{Name: "e", Slots: 1}}})
	if len(credits) != 1 || len(credits["d1"]) != 1 || credits["d1"][0].Limit != 1 {
		t.Errorf("credits %v, want one for d1", credits)
	}
	if credits = al.Allocate(now.Add(2*ReportTTL), nil); len(credits) != 0 || al.Len() != 0 {
		t.Errorf("expired reports still count: %v", credits)
	}
}

func BenchmarkAllocate(b *testing.B) {
	for _, daemons := range []int{7, 50, 370} {
		b.Run(fmt.Sprint(daemons), func(b *testing.B) {
			now := time.Unix(1_000_000, 0)
			al := NewAllocator()
			for d := range daemons {
				al.Report(now, fmt.Sprint("d", d), []UnitReport{{Unit: "u0", InFlight: 1}, {Unit: "u1", Waiting: []Waiting{{Worth: 5, Count: 2, Deadline: now}}}})
			}
			var replicas []placement.Replica
			for e := range 8 {
				for u := range 4 {
					replicas = append(replicas, placement.Replica{Unit: fmt.Sprint("u", u), Endpoint: bundle.Endpoint{Name: fmt.Sprint("e", e), Slots: 64}})
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				al.Allocate(now, replicas)
			}
		})
	}
}
