package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/doorvalve/doorvalve/coordination/keepalive"
	"github.com/doorvalve/doorvalve/coordination/placement"
	"github.com/doorvalve/doorvalve/replay"
	"github.com/doorvalve/doorvalve/state/bundle"
)

// site is an example deployment with the arrivals to replay.
type site struct {
	name, file, service string
	shapes              []replay.Shape
	weight              float64 // cold start weight in its bundle
}

func sites() []site {
	return []site{
		{"Tsasan", "examples/tsasan.hujson", "assist-lm", replay.Tsasan(), 40},
		{"Hinokuni", "examples/hinokuni.hujson", "bid-llm", replay.Hinokuni(), 8},
	}
}

func load(file string) (*bundle.Bundle, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return bundle.Parse(file, content)
}

const (
	serviceTime = 2 * time.Second
	queueLength = 256
)

type policyCmd struct {
	Days int    `default:"4" help:"Days to replay."`
	Seed uint64 `default:"1" help:"Seed of the arrivals."`
	Plot string `help:"Folder for a plot of each deployment."`
}

// variant is a policy to compare, one row of the table.
type variant struct {
	name     string
	policy   placement.Policy
	eviction placement.Eviction
}

// variants returns the policies to compare for a bundle; own is the cold start
// weight that the bundle sets.
func variants(b *bundle.Bundle, own float64) []variant {
	list := []variant{
		{"unload never", replay.Never, placement.EvictNever},
		{"least recently used, on demand", replay.Never, placement.EvictLeastRecentlyUsed},
		{"fixed idle time 1 min", replay.Fixed(time.Minute), placement.EvictLeastRecentlyUsed},
		{"fixed idle time 5 min", replay.Fixed(5 * time.Minute), placement.EvictLeastRecentlyUsed},
		{"fixed idle time 30 min", replay.Fixed(30 * time.Minute), placement.EvictLeastRecentlyUsed},
	}
	for _, weight := range []float64{1, 3, 8, 20, 40, 100, 300} {
		name := fmt.Sprintf("learned, weight %g", weight)
		if weight == own {
			name += " (its own)"
		}
		list = append(list, variant{name, keepalive.New(keepalive.Options{
			ColdStartWeight: weight, IdleWeight: b.Policy.IdleWeight, MinIdle: b.Policy.MinIdle.D(), MaxIdle: b.Policy.MaxIdle.D(),
		}), placement.EvictCheapest})
	}
	return list
}

// Run replays the arrivals of each deployment under all policies and prints a
// table for each deployment.
func (c *policyCmd) Run() error {
	for _, s := range sites() {
		b, err := load(s.file)
		if err != nil {
			return err
		}
		arrivals := replay.Generate(b, s.shapes, c.Days, c.Seed)
		fmt.Printf("\n%s: %d requests in %d days, seed %d\n\n", s.name, len(arrivals), c.Days, c.Seed)
		fmt.Println("| policy | cold starts | cold p50 s | cold p99 s | waited for loads, s |  idle accelerator hours | loads | refused |")
		fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- |")
		curve := &tradeOff{title: s.name}
		for _, v := range variants(b, s.weight) {
			r := replay.Run(replay.Options{
				Bundle: b, Service: s.service, Arrivals: arrivals, Length: time.Duration(c.Days) * 24 * time.Hour,
				Policy: v.policy, Eviction: v.eviction, ServiceTime: serviceTime, QueueLen: queueLength,
			})
			fmt.Printf("| %s | %d | %.1f | %.1f | %.0f | %.1f | %d | %d |\n", v.name, len(r.Cold), replay.Quantile(r.Cold, 0.5).Seconds(),
				replay.Quantile(r.Cold, 0.99).Seconds(), replay.Sum(r.Cold).Seconds(), r.IdleHours, r.Loads, r.Refused)
			curve.add(v, r)
		}
		if c.Plot != "" {
			if err := curve.save(filepath.Join(c.Plot, "policy-"+strings.ToLower(s.name)+".png")); err != nil {
				return err
			}
		}
	}
	return nil
}

// tradeOff collects the points of a plot for one deployment: seconds waited for
// loads against idle accelerator hours.
type tradeOff struct {
	title          string
	learned, fixed plotter.XYs
}

// add adds a run's result. Runs that refused requests are left out, because their
// results are not comparable with the others'.
func (t *tradeOff) add(v variant, r replay.Result) {
	if r.Refused > 0 {
		return
	}
	xy := plotter.XY{X: r.IdleHours, Y: replay.Sum(r.Cold).Seconds()}
	if strings.HasPrefix(v.name, "learned") {
		t.learned = append(t.learned, xy)
	} else {
		t.fixed = append(t.fixed, xy)
	}
}

func (t *tradeOff) save(file string) error {
	p := plot.New()
	p.Title.Text = t.title
	p.X.Label.Text, p.Y.Label.Text = "idle accelerator hours", "seconds waited for loads"
	p.X.Min, p.Y.Min = 0, 0
	if err := plotutil.AddLinePoints(p, "learned, by weight", t.learned, "baselines", t.fixed); err != nil {
		return err
	}
	return p.Save(14*vg.Centimeter, 9*vg.Centimeter, file)
}

type overloadCmd struct {
	Times float64 `default:"2" help:"Multiple of the capacity."`
	Seed  uint64  `default:"1" help:"Seed of the arrivals."`
}

const overloadLength = 5 * time.Minute

// Run replays an overload of each deployment by each order of admission and
// prints the requests served and refused by class.
func (c *overloadCmd) Run() error {
	for _, s := range sites() {
		b, err := load(s.file)
		if err != nil {
			return err
		}
		var classes, units []string
		for _, class := range b.Classes {
			classes = append(classes, class.Name)
		}
		for _, m := range b.Models[:9] {
			units = append(units, m.Name)
		}
		arrivals := replay.Overload(b, s.service, units, classes, c.Times, serviceTime, overloadLength, c.Seed)
		fmt.Printf("\n%s: %d requests in %s, %g times the capacity, seed %d\n\n", s.name, len(arrivals), overloadLength, c.Times, c.Seed)
		fmt.Println("| order | class | arrived | served | refused | worth delivered | late |")
		fmt.Println("| --- | --- | --- | --- | --- | --- | --- |")
		for _, o := range []struct {
			name  string
			order replay.Admission
		}{{"by worth", replay.ByWorth}, {"first come first served", replay.FirstComeFirstServed}} {
			r := replay.Run(replay.Options{
				Bundle: b, Service: s.service, Arrivals: arrivals, Length: overloadLength + 10*time.Minute,
				Policy: replay.Never, Admission: o.order, ServiceTime: serviceTime, QueueLen: queueLength,
			})
			for _, class := range classes {
				cr := r.Classes[class]
				fmt.Printf("| %s | %s | %d | %d | %d | | |\n", o.name, class, cr.Arrived, cr.Served, cr.Refused)
			}
			fmt.Printf("| %s | all | %d | %d | %d | %d | %d |\n", o.name, r.Requests, r.Served, r.Refused, r.Worth, r.Late)
		}
	}
	return nil
}
