package protocol

import (
	"errors"

	"github.com/uber-go/tally/v4"

	"github.com/doorvalve/doorvalve/internal/bounded"
)

// Reasons of failures because an answer has no end. The endpoint has not crashed.
const (
	ReasonHeadTooLarge   = "head-too-large"
	ReasonHeadTooSlow    = "head-too-slow"
	ReasonEventTooLarge  = "event-too-large"
	ReasonAnswerTooLarge = "answer-too-large"
	// ReasonWithoutEnd is that of a large answer while another one of its endpoint had no end.
	ReasonWithoutEnd = "answers-without-end"
)

// EndlessReason returns the reason of a failure whose error is that the head of an answer has no end; empty for other
// errors.
func EndlessReason(err error) string {
	switch {
	case errors.Is(err, bounded.ErrHeadTooLarge):
		return ReasonHeadTooLarge
	case errors.Is(err, bounded.ErrHeadTooSlow):
		return ReasonHeadTooSlow
	}
	return ""
}

// CountersOfEndless returns counters of the answers without an end, by reason.
func CountersOfEndless(scope tally.Scope) map[string]tally.Counter {
	counters := map[string]tally.Counter{}
	for _, reason := range []string{ReasonHeadTooLarge, ReasonHeadTooSlow, ReasonEventTooLarge, ReasonAnswerTooLarge, ReasonWithoutEnd} {
		counters[reason] = scope.Tagged(map[string]string{"reason": reason}).Counter("answers_without_end_total")
	}
	return counters
}
