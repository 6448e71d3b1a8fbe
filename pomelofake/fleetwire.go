package pomelofake

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Header names of the wire format for tests.
const (
	FieldRequest  = "Request-Id"
	FieldWait     = "Wait-Ms"
	FieldKey      = "Caller-Key"
	FieldTokens   = "Prompt-Tokens"
	FieldParts    = "Prompt-Parts"
	FieldExpected = "Expected-Upstream"
	FieldAccount  = "Client-Account"
	FieldSigned   = "Signed-By"
	FieldNotRun   = "Not-Run"
	FieldLast     = "Last-Event-Id"
)

// FleetWire is a wire format with plain header values, for tests that do not depend on a deployment's header names.
type FleetWire struct{}

var _ pomelorelay.WireFormat = FleetWire{}

// ReadinessPath returns the path of the readiness check for load balancers.
func (FleetWire) ReadinessPath() string { return "/ready" }

// RequestIDField returns the name of the request ID header.
func (FleetWire) RequestIDField() string { return FieldRequest }

// ParseCallerFields parses the headers of a caller's request; missing and malformed values are zero.
func (FleetWire) ParseCallerFields(head http.Header) pomelorelay.CallerFields {
	f := pomelorelay.CallerFields{ID: head.Get(FieldRequest), APIKey: head.Get(FieldKey)}
	if ms, err := strconv.Atoi(head.Get(FieldWait)); err == nil {
		f.Timeout = time.Duration(ms) * time.Millisecond
	}
	in, out, _ := strings.Cut(head.Get(FieldTokens), ",")
	f.PromptTokens, f.MaxOutputTokens = parseTokens(in), parseTokens(out)
	for _, part := range strings.Fields(head.Get(FieldParts)) {
		hash, tokens, _ := strings.Cut(part, ":")
		f.PromptParts = append(f.PromptParts, pomelorelay.PromptPart{Hash: uint64(parseTokens(hash)), Tokens: parseTokens(tokens)})
	}
	if id, err := strconv.ParseUint(head.Get(FieldLast), 10, 64); err == nil {
		f.LastEvent, f.HasLastEvent = id, true
	}
	return f
}

func parseTokens(text string) pomelorelay.Tokens {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return pomelorelay.Tokens(n)
}

// SetUpstreamFields sets the headers of a request to an upstream.
func (FleetWire) SetUpstreamFields(head http.Header, f pomelorelay.UpstreamFields) {
	head.Del(FieldKey)
	head.Set(FieldWait, strconv.FormatInt(f.TimeLeft.Milliseconds(), 10))
	head.Set(FieldExpected, string(f.ExpectedUpstream))
	head.Set(FieldAccount, string(f.Account))
	if f.HasLastEvent {
		head.Set(FieldLast, strconv.FormatUint(f.LastEvent, 10))
	}
}

// ParseAnswerFields parses status and headers of an upstream's answer.
func (FleetWire) ParseAnswerFields(resp *http.Response) pomelorelay.AnswerFields {
	misdirected := resp.StatusCode == http.StatusMisdirectedRequest
	return pomelorelay.AnswerFields{
		NotRun:      misdirected || resp.Header.Get(FieldNotRun) != "",
		Misdirected: misdirected,
		Signed:      resp.Header.Get(FieldSigned) != "",
	}
}
