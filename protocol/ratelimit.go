package protocol

import (
	"strconv"
	"strings"
)

// RateLimit is what an endpoint says in an answer of the requests a second that it takes from
// all daemons together.
type RateLimit struct {
	Rate    float64
	Present bool // else the answer names no limit
	// Unreadable is the beginning of a value that is no number; it counts as none.
	Unreadable string
}

const (
	// mostRate bounds a limit: beyond it no limit is meant that anybody could reach.
	mostRate = 1e6
	// rateBytes bounds the text of a limit.
	rateBytes = 32
)

// ReadRateLimit reads the values of a header that names a limit: a decimal number that is not
// negative, with or without a fraction. Of several, also in one value with commas between, the
// lowest counts: an endpoint that says two things is in need.
func ReadRateLimit(values []string) RateLimit {
	var r RateLimit
	for _, value := range values {
		for text := range strings.SplitSeq(value, ",") {
			rate, ok := readRate(strings.TrimSpace(text))
			switch {
			case !ok:
				r.Unreadable = strconv.Quote(text[:min(len(text), rateBytes)])
			case !r.Present || rate < r.Rate:
				r.Rate, r.Present = rate, true
			}
		}
	}
	return r
}

func readRate(text string) (float64, bool) {
	if len(text) > rateBytes || strings.Trim(text, "0123456789.") != "" {
		return 0, false // also of exponents, signs, "NaN", "Inf"
	}
	rate, err := strconv.ParseFloat(text, 64)
	return min(rate, mostRate), err == nil
}
