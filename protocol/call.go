package protocol

import (
	"net/http"
	"time"
)

// Call holds what a caller's headers state about its request.
type Call struct {
	ID      string // identifies this attempt of the caller
	Model   string // empty on plain routes
	Adapter string
	// TimeLeft is how long the caller will wait; zero if the caller does not state it.
	TimeLeft time.Duration
	// PromptTokens and OutputTokens size a generation; zero when unknown. TokensKnown
	// reports whether the caller has stated both.
	PromptTokens, OutputTokens int
	TokensKnown                bool
	// Prefix identifies the shared part of the prompt; empty when unknown.
	Prefix string
	// Parts are the leading parts of the prompt, in order; empty when unknown. An engine that has
	// processed a prompt with the same first parts need not process them again.
	Parts []PromptPart
	// SharedParts are the ids of all parts of the prompt that other requests may share, in order: all
	// but the last one, which is the request's own, and at most MaxSharedParts. The same part has the
	// same id in all requests.
	SharedParts []string
	LastEventID string // the stream is resumed after this event
	// Resumes is the ID of the attempt that brought the first event of the resumed stream; empty
	// when unknown.
	Resumes    string
	Credential Credential
}

// MaxPromptParts bounds the parts of a prompt that are kept for one request: requests with the same
// first parts share most of what can be shared.
const MaxPromptParts = 64

// MaxSharedParts bounds the shared parts of a prompt that are kept for one request.
const MaxSharedParts = 512

// PromptPart is one part of a prompt.
type PromptPart struct {
	ID     string // the same id has the same content
	Tokens int    // zero when unknown
}

// Attempt holds what a daemon adds to a caller's request when it sends it to an endpoint.
type Attempt struct {
	EndpointID  string // any other process at the address rejects the request
	TimeLeft    time.Duration
	Rank        int    // 0 is served first
	LastEventID string // set when this daemon resumes a broken stream
	// KeyRequired reports whether requests carry keys of workspaces, which no endpoint may
	// see. Workspace is the workspace that this request is counted for, empty for none.
	KeyRequired bool
	Workspace   string
}

// AnswerMetadata holds what an endpoint's headers state about its answer.
type AnswerMetadata struct {
	RequestID string // of the request that the answer belongs to
	NotRun    bool   // the endpoint states that it has not run the request
	Sealed    bool   // the answer carries the proof that an endpoint made it
	// WrongEndpoint reports that another process has the address, or that the
	// endpoint does not hold the model.
	WrongEndpoint bool
	EndpointID    string // of the endpoint that made the answer; empty if it is not stated
	Backpressure  Backpressure
}

// Dialect reads and writes the headers that callers and endpoints use.
type Dialect interface {
	// ReadCall reads a caller's headers. The text of the error is sent to the caller.
	ReadCall(h http.Header) (Call, error)
	// Outbound turns a caller's headers into those for an endpoint: it drops
	// headers that concern a single connection or that only this system may set.
	Outbound(h http.Header, a Attempt) http.Header
	// ReadAnswer reads the header of an endpoint's answer.
	ReadAnswer(status int, h http.Header) AnswerMetadata
	// UnknownHeaders returns the names of an answer's headers that are neither read here
	// nor among those that every HTTP answer may have.
	UnknownHeaders(h http.Header) []string
	// Inbound turns an endpoint's headers into those for the caller.
	Inbound(h http.Header) http.Header
}
