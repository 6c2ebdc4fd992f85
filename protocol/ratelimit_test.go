package protocol

import (
	"math"
	"strings"
	"testing"
)

func TestReadRateLimit(t *testing.T) {
	for _, c := range []struct {
		values     []string
		rate       float64
		present    bool
		unreadable bool
	}{
		{nil, 0, false, false},
		{[]string{"1.1"}, 1.1, true, false},
		{[]string{"2"}, 2, true, false},
		{[]string{"0"}, 0, true, false},
		{[]string{"0.05"}, 0.05, true, false},
		{[]string{" 3.5 "}, 3.5, true, false},
		{[]string{"007"}, 7, true, false},
		{[]string{".5"}, 0.5, true, false},
		{[]string{"5."}, 5, true, false},
		{[]string{"99999999999999999999"}, maxRate, true, false},
		{[]string{"2", "1.5"}, 1.5, true, false},
		{[]string{"2, 3"}, 2, true, false},
		{[]string{"2", "many"}, 2, true, true},
		{[]string{""}, 0, false, true},
		{[]string{"."}, 0, false, true},
		{[]string{"1.2.3"}, 0, false, true},
		{[]string{"-1"}, 0, false, true},
		{[]string{"+1"}, 0, false, true},
		{[]string{"1e3"}, 0, false, true},
		{[]string{"0x10"}, 0, false, true},
		{[]string{"NaN"}, 0, false, true},
		{[]string{"Inf"}, 0, false, true},
		{[]string{"1 2"}, 0, false, true},
		{[]string{strings.Repeat("1", 1000)}, 0, false, true},
	} {
		r := ReadRateLimit(c.values)
		if r.Rate != c.rate || r.Present != c.present || (r.Unreadable != "") != c.unreadable {
			t.Errorf("%q: %+v", c.values, r)
		}
	}
}

func FuzzReadRateLimit(f *testing.F) {
	f.Add("1.1")
	f.Add("2,NaN")
	f.Fuzz(func(t *testing.T, value string) {
		r := ReadRateLimit([]string{value})
		if math.IsNaN(r.Rate) || r.Rate < 0 || r.Rate > maxRate || len(r.Unreadable) > 10*maxRateBytes {
			t.Errorf("%q: %+v", value, r)
		}
	})
}
