package pomelorelay

import (
	"net/http"
	"net/netip"
	"time"
)

// PromptPart is a part of a prompt that other requests may share.
type PromptPart struct {
	Hash   uint64
	Tokens Tokens
}

// CallerFields is what a caller's header fields say of its request.
type CallerFields struct {
	// ID marks one attempt of a caller; upstreams repeat it in their answers.
	ID string
	// Timeout is how long the caller waits; zero when it does not say.
	Timeout time.Duration
	// APIKey is the caller's key; empty when there is none.
	APIKey string
	// PromptTokens and Output are the tokens of the prompt and the most that are generated; zero when it does not say.
	PromptTokens Tokens
	MaxOutputTokens Tokens
	// OutputEstimate is the caller's estimate of the generated tokens; zero when there is none.
	OutputEstimate Tokens
	// PromptParts are the prompt's parts in order; the last one is the request's or its session's own.
	PromptParts []PromptPart
	// LastEvent is the number of the last event that the caller has of an earlier answer.
	LastEvent    uint64
	HasLastEvent bool
}

// UpstreamFields is what a router tells an upstream of a request.
type UpstreamFields struct {
	// TimeLeft is how much of the caller's time is left.
	TimeLeft time.Duration
	// ExpectedUpstream must be who answers; any other refuses without running the request.
	ExpectedUpstream UpstreamID
	// Account is whose request it is; empty on public routes.
	Account AccountID
	// CopyFrom is another upstream that keeps more of the prompt, which is copied from there instead of read; not valid when there is none.
	CopyFrom netip.AddrPort
	// LastEvent is the number of the last event that was passed on when a stream is taken up again.
	LastEvent    uint64
	HasLastEvent bool
}

// AnswerFields is what an answer's head says of itself.
type AnswerFields struct {
	// NotRun tells that the upstream did not run the request.
	NotRun bool
	// Misdirected tells that another upstream than the expected one has the address.
	Misdirected bool
	// Signed tells that the answer is an upstream's own.
	Signed bool
	// Load is what the upstream says of its load; HasLoad tells that it does.
	Running, Waiting int
	HasLoad          bool
}

// WireFormat reads and writes the header fields of a deployment.
type WireFormat interface {
	// ReadinessPath is the path under which the balancer asks whether a router takes requests.
	ReadinessPath() string
	// RequestIDField names the field of a request's id.
	RequestIDField() string
	// ParseCallerFields reads a caller's fields; what cannot be read counts as not said.
	ParseCallerFields(head http.Header) CallerFields
	// SetUpstreamFields makes a caller's fields those of the request to an upstream: the key and what callers may not set are dropped.
	SetUpstreamFields(head http.Header, f UpstreamFields)
	// ParseAnswerFields reads the head of an answer.
	ParseAnswerFields(resp *http.Response) AnswerFields
}
