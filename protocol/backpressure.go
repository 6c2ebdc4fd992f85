package protocol

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Backpressure is what an endpoint says of itself in an answer, beside the answer.
type Backpressure struct {
	// Leaving says that the endpoint is about to stop and wants no further requests in this life.
	Leaving bool
	// Pause asks the daemon that got the answer to send nothing for a while.
	Pause Pause
	// Limit is the rate that the endpoint takes from all daemons together.
	Limit RateLimit
}

// Pause is the Retry-After of an endpoint that has turned a request away.
type Pause struct {
	For time.Duration // zero: the answer asks for none
	// Unreadable is the beginning of a value that is neither a time nor a date; it counts as none.
	Unreadable string
}

const (
	// longestPause bounds a pause: an endpoint that names more is not expected back.
	longestPause = 24 * time.Hour
	// pauseBytes bounds the text of a pause; a date of HTTP has 29.
	pauseBytes = 64
)

// ReadPause reads the values of a Retry-After header: seconds, with or without a fraction, or a
// date of HTTP, which is compared with the Date of the same answer and, where it has none, with
// now. Of several the longest counts.
func ReadPause(values []string, date string, now time.Time) Pause {
	var p Pause
	for _, value := range values {
		d, ok := readPause(strings.TrimSpace(value), date, now)
		if !ok {
			p.Unreadable = strconv.Quote(value[:min(len(value), pauseBytes)])
		}
		p.For = max(p.For, d)
	}
	return p
}

func readPause(text, date string, now time.Time) (time.Duration, bool) {
	if len(text) > pauseBytes {
		return 0, false
	}
	if at, err := http.ParseTime(text); err == nil {
		if sent, err := http.ParseTime(date); err == nil {
			now = sent
		}
		return min(max(0, at.Sub(now)), longestPause), true
	}
	if strings.Trim(text, "0123456789.") != "" {
		return 0, false // also of exponents, signs, "NaN", "Inf"
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, false
	}
	return time.Duration(min(seconds, longestPause.Seconds()) * float64(time.Second)), true
}

// ReadLeaving reads the values of a header that says that an endpoint leaves: any value but an
// explicit no.
func ReadLeaving(values []string) bool {
	for _, value := range values {
		switch strings.ToLower(strings.TrimSpace(value)) {
		case "", "0", "false":
		default:
			return true
		}
	}
	return false
}
