package protocol

import (
	"net/http"
	"time"
)

// Call is what a caller's headers say of its request.
type Call struct {
	ID      string // of this attempt of the caller
	Model   string // empty on plain routes
	Adapter string
	// TimeLeft is how long the caller will wait; zero when it does not say.
	TimeLeft time.Duration
	// PromptTokens and OutputTokens size a generation; zero when unknown. Counted says that
	// the caller has told both.
	PromptTokens, OutputTokens int
	TokensKnown                bool
	// Prefix identifies the shared part of the prompt; empty when unknown.
	Prefix      string
	LastEventID string // the stream goes on after it
	Credential  Credential
}

// Attempt is what an endpoint is told beside the caller's own request.
type Attempt struct {
	EndpointID  string // any other process at the address refuses
	TimeLeft    time.Duration
	Rank        int    // 0 is served first
	LastEventID string // set when this daemon goes on with a broken stream
	// Keyed says that requests show keys of workspaces, which no endpoint may see, and
	// Workspace is the one that this request is counted for; empty: none.
	KeyRequired bool
	Workspace   string
}

// AnswerMark is what an endpoint's headers say of its answer.
type AnswerMetadata struct {
	RequestID string // of the request that it belongs to
	NotRun    bool   // the endpoint says that it has not run the request
	Sealed    bool   // the answer is the endpoint's own work
	// WrongEndpoint: another process has the address, or it does not hold the
	// model.
	WrongEndpoint bool
	EndpointID    string // that made the answer; empty where it does not say
	Backpressure  Backpressure
}

// Dialect reads and writes the headers that callers and endpoints use.
type Dialect interface {
	// ReadCall reads a caller's headers. The error is for the caller.
	ReadCall(h http.Header) (Call, error)
	// Outbound turns a caller's headers into those for an endpoint: it drops
	// what concerns one connection or is for this system alone to set.
	Outbound(h http.Header, a Attempt) http.Header
	// ReadAnswer reads the header of an endpoint's answer.
	ReadAnswer(status int, h http.Header) AnswerMetadata
	// Unread returns the names of an answer's headers that mean nothing here: they are
	// neither read nor among those that every HTTP answer may have.
	UnknownHeaders(h http.Header) []string
	// Inbound turns an endpoint's headers into those for the caller.
	Inbound(h http.Header) http.Header
}
