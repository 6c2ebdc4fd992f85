package main

import (
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"strconv"
)

// point is one measurement: the value y of a metric at the size x of the varied quantity.
type point struct {
	role, metric, unit, varied string
	x, y                       float64
}

// write writes points as CSV lines: role,metric,unit,varied,x,y.
func write(w io.Writer, points ...point) error {
	out := csv.NewWriter(w)
	for _, p := range points {
		if err := out.Write([]string{p.role, p.metric, p.unit, p.varied, fmt.Sprint(p.x), strconv.FormatFloat(p.y, 'g', 6, 64)}); err != nil {
			return err
		}
	}
	out.Flush()
	return out.Error()
}

// read reads the points of a CSV file that write has written.
func read(file string) ([]point, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	rows, err := csv.NewReader(f).ReadAll()
	if err != nil {
		return nil, err
	}
	points := make([]point, 0, len(rows))
	for _, row := range rows {
		x, err := strconv.ParseFloat(row[4], 64)
		if err != nil {
			return nil, err
		}
		y, err := strconv.ParseFloat(row[5], 64)
		if err != nil {
			return nil, err
		}
		points = append(points, point{row[0], row[1], row[2], row[3], x, y})
	}
	return points, nil
}
