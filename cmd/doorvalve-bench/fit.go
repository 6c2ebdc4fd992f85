package main

import (
	"cmp"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

type fitCmd struct {
	CSV   string `default:"docs/capacity/slopes.csv" help:"Measurements."`
	Plots string `default:"docs/capacity" help:"Folder for the plots."`
	Page  string `default:"docs/CAPACITY.md" help:"Page whose table is replaced, between its marks."`
}

// Marks around the table that replaceTable writes.
const (
	tableBegin = "<!-- slopes: written by doorvalve-bench fit -->"
	tableEnd   = "<!-- end of slopes -->"
)

// slope is one fitted line through the measurements of a metric.
type slope struct {
	role, metric, unit, varied string
	xs, ys                     []float64
	a, b                       float64 // y = a + b*x
	spread                     float64 // largest distance of a measurement from the line, divided by the largest y
	shape                      string  // class of growth, see classify
}

// Run fits a line to each metric, plots it and replaces the table on the page.
func (c *fitCmd) Run() error {
	points, err := read(c.CSV)
	if err != nil {
		return err
	}
	slopes := fit(points)
	table := &strings.Builder{}
	fmt.Fprintln(table, "| role | metric | against | measured | a + b·x | spread | shape | plot |")
	fmt.Fprintln(table, "| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, s := range slopes {
		name := s.file()
		if err := s.plot(filepath.Join(c.Plots, name)); err != nil {
			return err
		}
		var cells []string
		for i := range s.xs {
			cells = append(cells, fmt.Sprintf("%g: %.3g", s.xs[i], s.ys[i]))
		}
		fmt.Fprintf(table, "| %s | %s, %s | %s | %s | %.3g + %.3g·x | %.0f%% | %s | [plot](capacity/%s) |\n",
			s.role, s.metric, s.unit, s.varied, strings.Join(cells, "; "), s.a, s.b, 100*s.spread, s.shape, name)
	}
	return replaceTable(c.Page, table.String())
}

// fit groups points by role, metric and varied quantity and fits a line to each
// group by least squares. The result is sorted by role.
func fit(points []point) []*slope {
	byKey := map[string]*slope{}
	var list []*slope
	for _, p := range points {
		key := p.role + "/" + p.metric + "/" + p.varied
		s := byKey[key]
		if s == nil {
			s = &slope{role: p.role, metric: p.metric, unit: p.unit, varied: p.varied}
			byKey[key] = s
			list = append(list, s)
		}
		s.xs, s.ys = append(s.xs, p.x), append(s.ys, p.y)
	}
	for _, s := range list {
		s.a, s.b = stat.LinearRegression(s.xs, s.ys, nil, false)
		for i := range s.xs {
			s.spread = max(s.spread, math.Abs(s.ys[i]-s.a-s.b*s.xs[i])/max(slices.Max(s.ys), 1e-9))
		}
		s.shape = s.classify()
	}
	slices.SortStableFunc(list, func(a, b *slope) int { return cmp.Compare(a.role, b.role) })
	return list
}

// Bounds of the classes of growth: k in y ~ x^k between the first and the last
// size.
const (
	flatBelow   = 0.15
	worseAbove  = 1.25
	linearAbove = 0.75
)

// classify returns the class of growth by the exponent between the first and
// the last size. Measurements must be in order of size.
func (s *slope) classify() string {
	first, last := 0, len(s.xs)-1
	if s.ys[first] <= 0 || s.ys[last] <= 0 {
		return "too small to tell"
	}
	exponent := math.Log(s.ys[last]/s.ys[first]) / math.Log(s.xs[last]/s.xs[first])
	switch {
	case exponent < flatBelow:
		return "flat"
	case exponent < linearAbove:
		return fmt.Sprintf("less than linear (x^%.2f)", exponent)
	case exponent <= worseAbove:
		return "linear"
	default:
		return fmt.Sprintf("worse than linear (x^%.2f)", exponent)
	}
}

var nameSeparators = regexp.MustCompile(`[^a-z0-9]+`)

// file returns the name of the plot's file.
func (s *slope) file() string {
	return strings.Trim(nameSeparators.ReplaceAllString(strings.ToLower(s.role+" "+s.metric+" by "+s.varied), "-"), "-") + ".png"
}

func (s *slope) plot(file string) error {
	p := plot.New()
	p.Title.Text = s.role + ": " + s.metric
	p.X.Label.Text, p.Y.Label.Text = s.varied, s.unit
	p.Y.Min = 0
	xys := make(plotter.XYs, len(s.xs))
	for i := range s.xs {
		xys[i] = plotter.XY{X: s.xs[i], Y: s.ys[i]}
	}
	points, err := plotter.NewScatter(xys)
	if err != nil {
		return err
	}
	p.Add(points, plotter.NewFunction(func(x float64) float64 { return s.a + s.b*x }), plotter.NewGrid())
	p.Y.Max = 1.1*slices.Max(s.ys) + 1e-9
	return p.Save(12*vg.Centimeter, 8*vg.Centimeter, file)
}

// replaceTable replaces the text between the marks on a page.
func replaceTable(page, table string) error {
	content, err := os.ReadFile(page)
	if err != nil {
		return err
	}
	before, rest, ok1 := strings.Cut(string(content), tableBegin)
	_, after, ok2 := strings.Cut(rest, tableEnd)
	if !ok1 || !ok2 {
		return fmt.Errorf("%s has no marks for the table", page)
	}
	return os.WriteFile(page, []byte(before+tableBegin+"\n"+table+tableEnd+after), 0o644)
}
