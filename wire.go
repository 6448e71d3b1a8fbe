package pomelorelay

import (
	"net/http"
	"net/netip"
	"time"
)

// PromptPart is a segment of a prompt that other requests may share, identified by its hash.
type PromptPart struct {
	Hash   uint64
	Tokens Tokens
}

// CallerFields holds the values of a caller's request headers.
type CallerFields struct {
	// RequestID identifies one attempt of a caller; upstreams echo it in their responses.
	RequestID string
	// Timeout is the caller's timeout; zero if unspecified.
	Timeout time.Duration
	// APIKey is the caller's API key; empty if there is none.
	APIKey string
	// PromptTokens is the number of prompt tokens, MaxOutputTokens the maximum number of generated tokens; zero if unspecified.
	PromptTokens    Tokens
	MaxOutputTokens Tokens
	// OutputEstimate is the caller's estimate of the number of generated tokens; zero if unspecified.
	OutputEstimate Tokens
	// PromptParts are the prompt's parts in order; the last one is specific to the request or its session.
	PromptParts []PromptPart
	// LastEvent is the number of the last event that the caller received of an earlier response, if HasLastEvent is set.
	LastEvent    uint64
	HasLastEvent bool
	// LastEventInvalid is set if the caller names its last event otherwise than by one number.
	LastEventInvalid bool
	// Resumes is the RequestID of the caller's attempt that received the stream's first event; empty if the caller does not name it.
	Resumes string
}

// UpstreamFields holds the values of the request headers that a router sends to an upstream.
type UpstreamFields struct {
	// TimeLeft is the remaining part of the caller's timeout.
	TimeLeft time.Duration
	// ExpectedUpstream is the intended upstream; any other upstream refuses the request without running it.
	ExpectedUpstream UpstreamID
	// Account is the client account of the request; empty on public routes.
	Account AccountID
	// CopyFrom is the address of an upstream that has more of the prompt cached; the receiving upstream copies that part of the KV cache
	// instead of computing it. The address is invalid if there is no such upstream.
	CopyFrom netip.AddrPort
	// LastEvent is the number of the last event forwarded to the caller, if a stream is resumed (HasLastEvent).
	LastEvent    uint64
	HasLastEvent bool
}

// AnswerFields holds the values parsed from the status and headers of the response of an upstream.
type AnswerFields struct {
	// NotRun states that the upstream did not run the request.
	NotRun bool
	// Misdirected states that the address belongs to another upstream than the expected one.
	Misdirected bool
	// Signed states that the response has the header with which upstreams mark their own responses, exactly once.
	Signed bool
	// Load is the load that the upstream announces; it is not known if the upstream announces none, or LoadInvalid is set.
	Load UpstreamFigures
	// LoadInvalid states that the announced load is malformed.
	LoadInvalid bool
}

// UpstreamFigures is the load that an upstream announces in its responses.
type UpstreamFigures struct {
	// Running and Waiting are the numbers of running and queued requests.
	Running, Waiting int
	// Slots is the number of requests that the upstream runs concurrently.
	Slots Slots
	// SlownessPercent is how long work takes on the upstream's host at the moment, in percent of the usual time; zero if the upstream
	// does not announce it.
	SlownessPercent int
}

// Known reports whether the upstream announced its load.
func (f UpstreamFigures) Known() bool { return f.Slots > 0 }

// WireFormat reads and writes the HTTP header fields that a deployment uses.
type WireFormat interface {
	// ReadinessPath returns the path of the readiness check for the load balancer.
	ReadinessPath() string
	// RequestIDField returns the name of the header field for the request id.
	RequestIDField() string
	// ParseCallerFields parses the headers of a caller's request; a value that cannot be parsed counts as unspecified.
	ParseCallerFields(head http.Header) CallerFields
	// SetUpstreamFields turns a caller's headers into those of the request to an upstream; it drops the API key and the fields that callers
	// must not set.
	SetUpstreamFields(head http.Header, f UpstreamFields)
	// ParseAnswerFields parses the status and headers of an upstream's response.
	ParseAnswerFields(resp *http.Response) AnswerFields
	// ReportPath returns the path at which an upstream reports on its process.
	ReportPath() string
	// ParseReport returns the start time of the process in Unix milliseconds from an upstream's report; zero if it does not state one.
	ParseReport(body []byte) int64
}
