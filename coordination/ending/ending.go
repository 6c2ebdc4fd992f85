// Package ending decides how an answer has ended that has neither a length nor chunks: the end of its
// connection is the end of its body, whether it is whole or not. It does no I/O.
package ending

import "github.com/doorvalve/doorvalve/coordination/reach"

// End says how an answer has ended. The zero value is NotKnown.
type End int

const (
	// NotKnown: the answer may be whole or broken. It goes on where it may be repeated or resumed, and
	// ends broken for the caller otherwise. It shows nothing about the endpoint or the request.
	NotKnown End = iota
	// Whole: the endpoint closed the connection and serves on.
	Whole
	// Broken: the endpoint ended with the connection.
	Broken
)

// String returns the name of the end as it appears in logs.
func (e End) String() string { return [...]string{"not-known", "whole", "broken"}[e] }

// Evidence is what is known of an answer whose endpoint has closed its side of the connection. The end of
// a connection that broke, or of a relay, is no such end.
type Evidence struct {
	// Endpoint is what a check of the endpoint has shown just after the end.
	Endpoint reach.Life
	// Leaving: the endpoint is leaving. It may refuse connections and still complete its answers, or end
	// while it writes them.
	Leaving bool
	// Empty: a stream that was asked for from its beginning has brought no event.
	Empty bool
}

// Decide returns how the answer has ended.
func Decide(e Evidence) End {
	switch {
	case e.Empty:
		return NotKnown
	case e.Endpoint == reach.LifeServing:
		return Whole
	case e.Endpoint == reach.LifeGone && !e.Leaving:
		return Broken
	}
	return NotKnown
}
