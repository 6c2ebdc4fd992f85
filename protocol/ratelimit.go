package protocol

import (
	"strconv"
	"strings"
)

// RateLimit is the number of requests per second that an endpoint, as it reports in an answer,
// accepts from all daemons together.
type RateLimit struct {
	Rate    float64
	Present bool // false if the answer states no limit
	// Unreadable is the quoted beginning of a value that is not a number; such a value sets no
	// limit.
	Unreadable string
}

const (
	// maxRate bounds a limit: no load reaches a higher one, so that it limits nothing.
	maxRate = 1e6
	// maxRateBytes bounds the text of a limit.
	maxRateBytes = 32
)

// ReadRateLimit reads the values of a rate limit header: a decimal number that is not negative,
// with or without a fraction. If there are several, also separated by commas in one value, the
// lowest counts: an endpoint that reports conflicting limits is treated as overloaded.
func ReadRateLimit(values []string) RateLimit {
	var r RateLimit
	for _, value := range values {
		for text := range strings.SplitSeq(value, ",") {
			rate, ok := readRate(strings.TrimSpace(text))
			switch {
			case !ok:
				r.Unreadable = strconv.Quote(text[:min(len(text), maxRateBytes)])
			case !r.Present || rate < r.Rate:
				r.Rate, r.Present = rate, true
			}
		}
	}
	return r
}

func readRate(text string) (float64, bool) {
	if len(text) > maxRateBytes || strings.Trim(text, "0123456789.") != "" {
		return 0, false // exponents, signs, "NaN" and "Inf" are rejected as well
	}
	rate, err := strconv.ParseFloat(text, 64)
	return min(rate, maxRate), err == nil
}
