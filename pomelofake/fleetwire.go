package pomelofake

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Header names of the wire format for tests.
const (
	TestHeaderRequestID        = "Request-Id"
	TestHeaderWait             = "Wait-Ms"
	TestHeaderCallerKey        = "Caller-Key"
	TestHeaderPromptTokens     = "Prompt-Tokens"
	TestHeaderPromptParts      = "Prompt-Parts"
	TestHeaderExpectedUpstream = "Expected-Upstream"
	TestHeaderAccount          = "Client-Account"
	TestHeaderSignedBy         = "Signed-By"
	TestHeaderNotRun           = "Not-Run"
	TestHeaderLoad             = "Load"
	TestHeaderLastEventID      = "Last-Event-Id"
	TestHeaderResumes          = "Resumes"
)

// TestWireFormat is a wire format with plain header values, for tests that do not depend on a deployment's header names.
type TestWireFormat struct{}

var _ pomelorelay.WireFormat = TestWireFormat{}

// ReadinessPath returns the path of the readiness check for load balancers.
func (TestWireFormat) ReadinessPath() string { return "/ready" }

// RequestIDField returns the name of the request ID header.
func (TestWireFormat) RequestIDField() string { return TestHeaderRequestID }

// ParseCallerFields parses the headers of a caller's request; missing and malformed values are zero.
func (TestWireFormat) ParseCallerFields(head http.Header) pomelorelay.CallerFields {
	f := pomelorelay.CallerFields{RequestID: head.Get(TestHeaderRequestID), APIKey: head.Get(TestHeaderCallerKey)}
	if ms, err := strconv.Atoi(head.Get(TestHeaderWait)); err == nil {
		f.Timeout = time.Duration(ms) * time.Millisecond
	}
	in, out, _ := strings.Cut(head.Get(TestHeaderPromptTokens), ",")
	f.PromptTokens, f.MaxOutputTokens = parseTokens(in), parseTokens(out)
	for _, part := range strings.Fields(head.Get(TestHeaderPromptParts)) {
		hash, tokens, _ := strings.Cut(part, ":")
		f.PromptParts = append(f.PromptParts, pomelorelay.PromptPart{Hash: uint64(parseTokens(hash)), Tokens: parseTokens(tokens)})
	}
	if values := head.Values(TestHeaderLastEventID); len(values) > 1 || head.Get(TestHeaderLastEventID) != "" {
		id, err := strconv.ParseUint(values[0], 10, 64)
		f.LastEventInvalid = err != nil || len(values) > 1
		f.LastEvent, f.HasLastEvent = id, !f.LastEventInvalid
		f.Resumes = head.Get(TestHeaderResumes)
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
func (TestWireFormat) SetUpstreamFields(head http.Header, f pomelorelay.UpstreamFields) {
	head.Del(TestHeaderCallerKey)
	head.Set(TestHeaderWait, strconv.FormatInt(f.TimeLeft.Milliseconds(), 10))
	head.Set(TestHeaderExpectedUpstream, string(f.ExpectedUpstream))
	head.Set(TestHeaderAccount, string(f.Account))
	if f.HasLastEvent {
		head.Set(TestHeaderLastEventID, strconv.FormatUint(f.LastEvent, 10))
	}
}

// ParseAnswerFields parses status and headers of an upstream's answer.
func (TestWireFormat) ParseAnswerFields(resp *http.Response) pomelorelay.AnswerFields {
	misdirected := resp.StatusCode == http.StatusMisdirectedRequest
	signatures := resp.Header.Values(TestHeaderSignedBy)
	f := pomelorelay.AnswerFields{
		NotRun:      misdirected || resp.Header.Get(TestHeaderNotRun) != "",
		Misdirected: misdirected,
		Signed:      len(signatures) == 1 && signatures[0] != "",
	}
	if text := resp.Header.Get(TestHeaderLoad); text != "" {
		_, err := fmt.Sscanf(text, "%d,%d,%d,%d", &f.Load.Running, &f.Load.Waiting, &f.Load.Slots, &f.Load.SlownessPercent)
		f.LoadInvalid = err != nil
	}
	return f
}

// ReportPath returns the path at which upstreams report the start time of their process, as a number.
func (TestWireFormat) ReportPath() string { return "/report" }

// ParseReport parses the report of an upstream.
func (TestWireFormat) ParseReport(body []byte) int64 {
	ms, err := strconv.ParseInt(string(body), 10, 64)
	if err != nil {
		return 0
	}
	return ms
}
