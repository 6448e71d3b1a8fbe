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

// ReadyPath returns the path of the readiness check for load balancers.
func (FleetWire) ReadyPath() string { return "/ready" }

// IDField returns the name of the request ID header.
func (FleetWire) IDField() string { return FieldRequest }

// ReadCaller parses the headers of a caller's request; missing and malformed values are zero.
func (FleetWire) ReadCaller(head http.Header) pomelorelay.CallerFields {
	f := pomelorelay.CallerFields{ID: head.Get(FieldRequest), Key: head.Get(FieldKey)}
	if ms, err := strconv.Atoi(head.Get(FieldWait)); err == nil {
		f.Wait = time.Duration(ms) * time.Millisecond
	}
	in, out, _ := strings.Cut(head.Get(FieldTokens), ",")
	f.Prompt, f.Output = parseTokens(in), parseTokens(out)
	for _, part := range strings.Fields(head.Get(FieldParts)) {
		hash, tokens, _ := strings.Cut(part, ":")
		f.Parts = append(f.Parts, pomelorelay.PromptPart{Hash: uint64(parseTokens(hash)), Tokens: parseTokens(tokens)})
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

// WriteUpstream sets the headers of a request to an upstream.
func (FleetWire) WriteUpstream(head http.Header, f pomelorelay.UpstreamFields) {
	head.Del(FieldKey)
	head.Set(FieldWait, strconv.FormatInt(f.Wait.Milliseconds(), 10))
	head.Set(FieldExpected, string(f.Upstream))
	head.Set(FieldAccount, string(f.Account))
	if f.HasLastEvent {
		head.Set(FieldLast, strconv.FormatUint(f.LastEvent, 10))
	}
}

// ReadAnswer parses status and headers of an upstream's answer.
func (FleetWire) ReadAnswer(resp *http.Response) pomelorelay.AnswerFields {
	misdirected := resp.StatusCode == http.StatusMisdirectedRequest
	return pomelorelay.AnswerFields{
		NotRun:      misdirected || resp.Header.Get(FieldNotRun) != "",
		Misdirected: misdirected,
		Signed:      resp.Header.Get(FieldSigned) != "",
	}
}
