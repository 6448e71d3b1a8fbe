package pomelofake

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// The header fields of the stand-in's wire format.
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

// FleetWire is a wire format of plain fields, for tests of what does not depend on a deployment's names.
type FleetWire struct{}

var _ pomelorelay.WireFormat = FleetWire{}

// ReadinessPath is the path under which the balancer asks whether a router takes requests.
func (FleetWire) ReadinessPath() string { return "/ready" }

// RequestIDField names the field of a request's id.
func (FleetWire) RequestIDField() string { return FieldRequest }

// ParseCallerFields reads a caller's fields.
func (FleetWire) ParseCallerFields(head http.Header) pomelorelay.CallerFields {
	f := pomelorelay.CallerFields{ID: head.Get(FieldRequest), APIKey: head.Get(FieldKey)}
	if ms, err := strconv.Atoi(head.Get(FieldWait)); err == nil {
		f.Timeout = time.Duration(ms) * time.Millisecond
	}
	in, out, _ := strings.Cut(head.Get(FieldTokens), ",")
	f.PromptTokens, f.MaxOutputTokens = count(in), count(out)
	for _, part := range strings.Fields(head.Get(FieldParts)) {
		hash, tokens, _ := strings.Cut(part, ":")
		f.PromptParts = append(f.PromptParts, pomelorelay.PromptPart{Hash: uint64(count(hash)), Tokens: count(tokens)})
	}
	if id, err := strconv.ParseUint(head.Get(FieldLast), 10, 64); err == nil {
		f.LastEvent, f.HasLastEvent = id, true
	}
	return f
}

func count(text string) pomelorelay.Tokens {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return pomelorelay.Tokens(n)
}

// SetUpstreamFields writes the fields of a request to an upstream.
func (FleetWire) SetUpstreamFields(head http.Header, f pomelorelay.UpstreamFields) {
	head.Del(FieldKey)
	head.Set(FieldWait, strconv.FormatInt(f.TimeLeft.Milliseconds(), 10))
	head.Set(FieldExpected, string(f.ExpectedUpstream))
	head.Set(FieldAccount, string(f.Account))
	if f.HasLastEvent {
		head.Set(FieldLast, strconv.FormatUint(f.LastEvent, 10))
	}
}

// ParseAnswerFields reads the head of an answer.
func (FleetWire) ParseAnswerFields(resp *http.Response) pomelorelay.AnswerFields {
	misdirected := resp.StatusCode == http.StatusMisdirectedRequest
	return pomelorelay.AnswerFields{
		NotRun:      misdirected || resp.Header.Get(FieldNotRun) != "",
		Misdirected: misdirected,
		Signed:      resp.Header.Get(FieldSigned) != "",
	}
}
