package protocol

import (
	"strings"
	"testing"
	"time"
)

func TestReadPause(t *testing.T) {
	now := time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)
	const date = "Thu, 03 Dec 2026 08:00:00 GMT" // Date of the answer; the endpoint's clock is an hour behind
	for _, c := range []struct {
		values     []string
		date       string
		want       time.Duration
		unreadable bool
	}{
		{nil, "", 0, false},
		{[]string{"3"}, "", 3 * time.Second, false},
		{[]string{" 2.5 "}, "", 2500 * time.Millisecond, false},
		{[]string{".25"}, "", 250 * time.Millisecond, false},
		{[]string{"0"}, "", 0, false},
		{[]string{"0.0"}, "", 0, false},
		{[]string{"99999999999999999999999"}, "", maxPause, false},
		{[]string{"1", "3", "2"}, "", 3 * time.Second, false},
		{[]string{"2", "soon"}, "", 2 * time.Second, true},
		{[]string{"Thu, 03 Dec 2026 08:00:04 GMT"}, date, 4 * time.Second, false},
		{[]string{"Thu, 03 Dec 2026 09:00:04 GMT"}, "", 4 * time.Second, false},
		{[]string{"Thu, 03 Dec 2026 09:00:04 GMT"}, "no date", 4 * time.Second, false},
		{[]string{"Thursday, 03-Dec-26 08:00:04 GMT"}, date, 4 * time.Second, false},
		{[]string{"Thu, 03 Dec 2026 07:59:00 GMT"}, date, 0, false},
		{[]string{"Thu, 03 Dec 2099 08:00:00 GMT"}, date, maxPause, false},
		{[]string{"-1"}, "", 0, true},
		{[]string{"+1"}, "", 0, true},
		{[]string{"1e3"}, "", 0, true},
		{[]string{"NaN"}, "", 0, true},
		{[]string{"Inf"}, "", 0, true},
		{[]string{"soon"}, "", 0, true},
		{[]string{""}, "", 0, true},
		{[]string{"1, 2"}, "", 0, true},
		{[]string{strings.Repeat("1", 1000)}, "", 0, true},
	} {
		p := ReadPause(c.values, c.date, now)
		if p.For != c.want || (p.Unreadable != "") != c.unreadable {
			t.Errorf("%q: %+v", c.values, p)
		}
	}
}

func FuzzReadPause(f *testing.F) {
	f.Add("3.5", "")
	f.Add("Thu, 03 Dec 2026 08:00:04 GMT", "Thu, 03 Dec 2026 08:00:00 GMT")
	f.Fuzz(func(t *testing.T, value, date string) {
		p := ReadPause([]string{value}, date, time.Unix(1_800_000_000, 0))
		if p.For < 0 || p.For > maxPause || len(p.Unreadable) > 10*maxPauseBytes {
			t.Errorf("%q: %+v", value, p)
		}
	})
}

func TestReadLeaving(t *testing.T) {
	for value, want := range map[string]bool{"1": true, "true": true, "yes": true, " 1 ": true, "0": false, "false": false, "": false} {
		if got := ReadLeaving([]string{value}); got != want {
			t.Errorf("%q: %v", value, got)
		}
	}
	if ReadLeaving(nil) || !ReadLeaving([]string{"0", "1"}) {
		t.Error("wrong result for no values or for several values")
	}
}

func TestReadRejectionLimit(t *testing.T) {
	for _, c := range []struct {
		values     []string
		want       int
		unreadable bool
	}{
		{nil, 0, false},
		{[]string{"5"}, 5, false},
		{[]string{" 7 "}, 7, false},
		{[]string{"9", "4"}, 4, false},
		{[]string{"0"}, 1, true},
		{[]string{"-3"}, 1, true},
		{[]string{"soon"}, 1, true},
		{[]string{""}, 1, true},
		{[]string{"2.5"}, 1, true},
		{[]string{"6", "soon"}, 1, true},
		{[]string{"99999999999999999999999"}, maxRejectionLimit, false},
		{[]string{"-99999999999999999999999"}, 1, true},
		{[]string{strings.Repeat("x", 100_000)}, 1, true},
	} {
		got := ReadRejectionLimit(c.values)
		if got.PerSecond != c.want || (got.Unreadable != "") != c.unreadable || got.Present != (len(c.values) > 0) || len(got.Unreadable) > 2*maxPauseBytes {
			t.Errorf("%.40q: %+v, want %d, unreadable %v", c.values, got, c.want, c.unreadable)
		}
	}
}
