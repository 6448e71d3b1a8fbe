package pomeloload

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelofake"
)

// outcome is the result of an attempt as its caller sees it.
type outcome struct {
	kind outcomeKind
	// matchesRequest reports whether the answer belongs to the request, and complete reports whether the answer is complete; both
	// are set for answers only.
	matchesRequest bool
	complete       bool
	// ran, code, retryAfter and hasRetryAfter are set for refusals; ran and code also for streams that end with an error event.
	ran           pomelorelay.Ran
	code          pomelorelay.ResultCode
	retryAfter    time.Duration
	hasRetryAfter bool
	// firstByteAt and endedAt are when the header and the end of the response arrived.
	firstByteAt time.Time
	endedAt     time.Time
	detail      string
}

type outcomeKind int

const (
	outcomeAnswered outcomeKind = iota + 1
	outcomeRefused
	outcomeBroken
)

// problem is the body of a router's refusal, or the data of a stream's error event.
type problem struct {
	Title  string `json:"title"`
	Detail string `json:"detail"`
	Code   pomelorelay.ResultCode
	Ran    pomelorelay.Ran
}

const (
	problemType  = "application/problem+json"
	streamType   = "text/event-stream"
	maxLineBytes = 1 << 20
)

// readAnswer reads the response to q and returns its outcome.
func readAnswer(resp *http.Response, q request) outcome {
	o := outcome{firstByteAt: time.Now()}
	contentType := resp.Header.Get("Content-Type")
	switch {
	case strings.HasPrefix(contentType, problemType) || resp.StatusCode != http.StatusOK:
		o.readRefusal(resp)
	case strings.HasPrefix(contentType, streamType):
		o.readStream(resp.Body, q)
	case q.service.Kind == Plain:
		o.readPlainAnswer(resp.Body, q)
	default:
		o.readCompletion(resp.Body, q)
	}
	o.endedAt = time.Now()
	return o
}

func (o *outcome) setBroken(err error) {
	o.kind = outcomeBroken
	o.detail = err.Error()
}

// readRefusal reads a refusal of a router, or of a simulated upstream in a run without routers.
func (o *outcome) readRefusal(resp *http.Response) {
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		o.setBroken(err)
		return
	}
	var p problem
	_ = json.Unmarshal(body, &p)
	o.kind = outcomeRefused
	o.code = p.Code
	o.ran = pomelorelay.Ran(resp.Header.Get("Ran"))
	o.detail = strconv.Itoa(resp.StatusCode) + " " + p.Title + " " + p.Detail
	if text := resp.Header.Get("Retry-After"); text != "" {
		o.hasRetryAfter = true
		seconds, err := strconv.Atoi(text)
		if err == nil {
			o.retryAfter = time.Duration(seconds) * time.Second
		}
	}
}

func (o *outcome) readPlainAnswer(body io.Reader, q request) {
	data, err := io.ReadAll(body)
	if err != nil {
		o.setBroken(err)
		return
	}
	var answer pomelofake.PlainAnswer
	o.kind = outcomeAnswered
	o.complete = json.Unmarshal(data, &answer) == nil
	o.matchesRequest = !o.complete || answer.Proof == q.digest
}

// chatAnswer is the part of an engine's answer or stream event that the load generator decodes.
type chatAnswer struct {
	Choices []struct {
		Delta   chatMessage `json:"delta"`
		Message chatMessage `json:"message"`
	} `json:"choices"`
	Usage *struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

func (o *outcome) readCompletion(body io.Reader, q request) {
	data, err := io.ReadAll(body)
	if err != nil {
		o.setBroken(err)
		return
	}
	o.kind = outcomeAnswered
	var answer chatAnswer
	if json.Unmarshal(data, &answer) != nil || len(answer.Choices) == 0 || answer.Usage == nil {
		o.matchesRequest = true
		return
	}
	o.compareText(answer.Choices[0].Message.Content, answer.Usage.CompletionTokens, q)
}

// compareText sets matchesRequest and complete by comparing the text with the one that the stand-in engine generates for q.
func (o *outcome) compareText(text string, tokens int, q request) {
	o.matchesRequest = strings.HasPrefix(text, q.digest.AnswerToken(0)) || text == ""
	var want strings.Builder
	for n := range tokens {
		want.WriteString(q.digest.AnswerToken(n))
	}
	o.complete = text == want.String()
}

// readStream reads events until the end. A stream that ends without usage and [DONE] is incomplete, even if its transport ended
// it properly.
func (o *outcome) readStream(body io.Reader, q request) {
	var text strings.Builder
	tokens, done, failed := 0, false, false
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		line := lines.Text()
		data, isData := strings.CutPrefix(line, "data: ")
		switch {
		case line == "event: error":
			failed = true
		case !isData:
		case failed:
			o.readStreamError(data)
			return
		case data == "[DONE]":
			done = true
		default:
			tokens += readEvent(data, &text)
		}
	}
	if err := lines.Err(); err != nil {
		o.setBroken(err)
		return
	}
	o.kind = outcomeAnswered
	o.compareText(text.String(), tokens, q)
	o.complete = o.complete && done
}

// readEvent appends the event's text and returns the token count of the answer if the event has it, else zero.
func readEvent(data string, text *strings.Builder) int {
	var event chatAnswer
	if json.Unmarshal([]byte(data), &event) != nil {
		return 0
	}
	for _, choice := range event.Choices {
		text.WriteString(choice.Delta.Content)
	}
	if event.Usage == nil {
		return 0
	}
	return event.Usage.CompletionTokens
}

// readStreamError records an error event, by which the server reports that the stream is incomplete.
func (o *outcome) readStreamError(data string) {
	var p problem
	_ = json.Unmarshal([]byte(data), &p)
	o.kind = outcomeBroken
	o.code = p.Code
	o.ran = p.Ran
	o.detail = p.Title + " " + p.Detail
}
