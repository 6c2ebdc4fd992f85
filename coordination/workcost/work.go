// Package workcost estimates what a request costs an engine: the time until its first event, the
// pause between its events and the time until its end. Estimates depend on the tokens of the
// request, on the work that the engine already has, and on three learned speeds: of the service, of
// the model and of the engine. An Estimator is a state machine without I/O: callers pass
// observations and the time.
package workcost

import (
	"time"

	"github.com/doorvalve/doorvalve/state/fleet"
)

const (
	// maxTokens bounds the token counts of one request. Callers state them, and a count beyond any
	// context length must not make an engine look busy for hours.
	maxTokens = 1_000_000
	// defaultPrompt and defaultOutput are the token counts of requests that state none.
	defaultPrompt = 1000
	defaultOutput = 200
)

// Work is the size of one request.
type Work struct {
	Prompt int // prompt tokens to process
	Output int // tokens to generate, at most
}

// WorkOf returns the work of a request by the token counts that its caller states. Unknown counts
// get defaults, and others are limited to a range that is safe to add up.
func WorkOf(prompt, output int, known bool) Work {
	if !known {
		return Work{Prompt: defaultPrompt, Output: defaultOutput}
	}
	return Work{Prompt: min(maxTokens, max(0, prompt)), Output: min(maxTokens, max(0, output))}
}

// Held returns the cache tokens that a request occupies at its end.
func (w Work) Held() int { return w.Prompt + w.Output }

// Load is the work that an engine already has.
type Load struct {
	Running       int // running requests
	PendingPrompt int // prompt tokens of the requests that have been sent and have no first event yet
}

// Estimate is the expected course of a request at an engine.
type Estimate struct {
	FirstEvent time.Duration // from the send to the first event
	Gap        time.Duration // between two events while the engine processes prompts
	End        time.Duration // from the send to the last event
	// Age is the time since the engine's speed was last measured; zero if it never was.
	Age time.Duration
	// Known reports whether the engine's own speed has been measured. Otherwise the estimate is
	// that of an average engine of the service.
	Known bool
}

// Speed is the measured speed of an engine relative to the average engine of its service: 2 is
// twice as fast.
type Speed struct {
	Incarnation fleet.Incarnation
	Relative    float64
}

// Sample sums up measurements at one engine: of each, the logarithm of the measured over the
// predicted duration. The sum of different daemons' samples is a sample.
type Sample struct {
	Incarnation fleet.Incarnation
	Count       int
	LogRatio    float64
}
