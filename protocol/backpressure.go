package protocol

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Backpressure is what an endpoint reports about itself in the headers of an answer.
type Backpressure struct {
	// Leaving reports that the endpoint is about to stop and takes no further requests in
	// this incarnation.
	Leaving bool
	// Pause asks the daemon that received the answer to send no requests for a while.
	Pause Pause
	// Limit is the rate that the endpoint accepts from all daemons together.
	Limit RateLimit
	// Rejections is how many requests the endpoint can reject in a second before it crashes.
	Rejections RejectionLimit
}

// RejectionLimit is the number of requests that an endpoint can reject in a second for lack of room.
// With more of them it crashes. Meanwhile it may keep fewer requests waiting than before.
type RejectionLimit struct {
	Present   bool
	PerSecond int // at least 1 if present
	// Unreadable is the quoted beginning of a value that is no whole number above zero; the strictest
	// limit counts then.
	Unreadable string
}

// maxRejectionLimit bounds a rejection limit. No endpoint gets as many requests in a second.
const maxRejectionLimit = 1_000_000

// ReadRejectionLimit reads the values of a header with a rejection limit. If there are several, the
// lowest counts. A value of zero or below, or that is no number, counts as the strictest limit: the
// endpoint says that it is fragile.
func ReadRejectionLimit(values []string) RejectionLimit {
	l := RejectionLimit{Present: len(values) > 0, PerSecond: maxRejectionLimit}
	for _, value := range values {
		n, err := strconv.Atoi(strings.TrimSpace(value))
		if errors.Is(err, strconv.ErrRange) && n > 0 {
			continue // too large to matter
		}
		if err != nil || n < 1 {
			l.Unreadable = strconv.Quote(value[:min(len(value), maxPauseBytes)])
			n = 1
		}
		l.PerSecond = min(l.PerSecond, n)
	}
	if !l.Present {
		l.PerSecond = 0
	}
	return l
}

// Pause is the Retry-After of an endpoint that has rejected a request.
type Pause struct {
	For time.Duration // zero: the answer requests no pause
	// Unreadable is the quoted beginning of a value that is neither a number of seconds nor
	// an HTTP date; such a value requests no pause.
	Unreadable string
}

const (
	// maxPause bounds a pause: an endpoint that asks for more is not expected to return.
	maxPause = 24 * time.Hour
	// maxPauseBytes bounds the text of a pause; an HTTP date has 29 bytes.
	maxPauseBytes = 64
)

// ReadPause reads the values of a Retry-After header: seconds, with or without a fraction, or an
// HTTP date, which is compared with the Date of the same answer or, if it has none, with now. If
// there are several values, the longest pause counts.
func ReadPause(values []string, date string, now time.Time) Pause {
	var p Pause
	for _, value := range values {
		d, ok := readPause(strings.TrimSpace(value), date, now)
		if !ok {
			p.Unreadable = strconv.Quote(value[:min(len(value), maxPauseBytes)])
		}
		p.For = max(p.For, d)
	}
	return p
}

func readPause(text, date string, now time.Time) (time.Duration, bool) {
	if len(text) > maxPauseBytes {
		return 0, false
	}
	if at, err := http.ParseTime(text); err == nil {
		if sent, err := http.ParseTime(date); err == nil {
			now = sent
		}
		return min(max(0, at.Sub(now)), maxPause), true
	}
	if strings.Trim(text, "0123456789.") != "" {
		return 0, false // exponents, signs, "NaN" and "Inf" are rejected as well
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, false
	}
	return time.Duration(min(seconds, maxPause.Seconds()) * float64(time.Second)), true
}

// ReadLeaving reads the values of a header with which an endpoint announces that it is leaving:
// any value counts as true, except an empty one, "0" and "false".
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
