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

// ReadyPath is the path under which the balancer asks whether a router takes requests.
func (FleetWire) ReadyPath() string { return "/ready" }

// IDField names the field of a request's id.
func (FleetWire) IDField() string { return FieldRequest }

// ReadCaller reads a caller's fields.
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

// WriteUpstream writes the fields of a request to an upstream.
func (FleetWire) WriteUpstream(head http.Header, f pomelorelay.UpstreamFields) {
	head.Del(FieldKey)
	head.Set(FieldWait, strconv.FormatInt(f.Wait.Milliseconds(), 10))
	head.Set(FieldExpected, string(f.Upstream))
	head.Set(FieldAccount, string(f.Account))
	if f.HasLastEvent {
		head.Set(FieldLast, strconv.FormatUint(f.LastEvent, 10))
	}
}

// ReadAnswer reads the head of an answer.
func (FleetWire) ReadAnswer(resp *http.Response) pomelorelay.AnswerFields {
	misdirected := resp.StatusCode == http.StatusMisdirectedRequest
	return pomelorelay.AnswerFields{
		NotRun:      misdirected || resp.Header.Get(FieldNotRun) != "",
		Misdirected: misdirected,
		Signed:      resp.Header.Get(FieldSigned) != "",
	}
}
