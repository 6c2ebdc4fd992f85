package residency

import (
	"fmt"
	"testing"
	"time"
)

// bigCluster is a service of the size that users plan for next: 90 engines, 480 models.
func bigCluster() *simCluster {
	w := newSimCluster(480, 90)
	for i := 270; i < 480; i++ {
		for j := range 3 {
			w.engines[(i+j*30)%90].onDisk[fmt.Sprintf("m%02d", i)] = true
		}
	}
	for range 10 {
		w.step()
	}
	for i := range 40 {
		w.p.ReceiveDemand(w.now, fmt.Sprint("d", i), Demand{Active: map[string]int{fmt.Sprintf("m%02d", i): 3}, Running: map[Place]int{{incarnation(fmt.Sprintf("e%d", i/3)), fmt.Sprintf("m%02d", i)}: 3}})
	}
	return w
}

func BenchmarkReady(b *testing.B) {
	w := bigCluster()
	for i := 300; i < 330; i++ {
		w.p.Want(w.now, Want{Model: fmt.Sprintf("m%02d", i)})
	}
	w.p.lease.OrdersFrom = w.now.Add(time.Hour)
	b.ReportAllocs()
	for b.Loop() {
		w.p.lease.OrdersFrom = w.now
		w.p.schedule(w.p.newDraft(w.now))
	}
}

func BenchmarkWant(b *testing.B) {
	w := bigCluster()
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		w.p.Want(w.now, Want{Model: fmt.Sprintf("m%02d", i%270)})
	}
}

func BenchmarkStepAtRest(b *testing.B) {
	w := bigCluster()
	b.ReportAllocs()
	for b.Loop() {
		w.now = w.now.Add(25 * time.Millisecond)
		w.p.Ready(w.now)
	}
}

// A schedule for a service of bigCluster's size derives the state of each engine only once.
// The cost of a schedule grew with the product of wanted models, engines and daemons
// before.
func TestScheduleStaysCheap(t *testing.T) {
	w := bigCluster()
	for i := 300; i < 330; i++ {
		w.p.Want(w.now, Want{Model: fmt.Sprintf("m%02d", i)})
	}
	const maxAllocs = 800 // a few for each engine and each wanted model
	if n := testing.AllocsPerRun(5, func() { w.p.schedule(w.p.newDraft(w.now)) }); n > maxAllocs {
		t.Fatalf("%v allocations for one schedule", n)
	}
}
