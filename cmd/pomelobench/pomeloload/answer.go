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

// outcome is how an attempt ended for its caller.
type outcome struct {
	kind outcomeKind
	// own and whole are told of an answer.
	own   bool
	whole bool
	// ran, code and retryAfter are told of a refusal.
	ran        pomelorelay.Ran
	code       pomelorelay.ResultCode
	retryAfter time.Duration
	hasRetry   bool
	// first and at are when the first byte and the end arrived.
	first  time.Time
	at     time.Time
	detail string
}

type outcomeKind int

const (
	answeredOutcome outcomeKind = iota + 1
	refusedOutcome
	brokenOutcome
)

// problem is the body of a router's refusal.
type problem struct {
	Title  string `json:"title"`
	Detail string `json:"detail"`
	Code   pomelorelay.ResultCode
	Ran    pomelorelay.Ran
}

const (
	problemType = "application/problem+json"
	streamType  = "text/event-stream"
	maxLine     = 1 << 20
)

// read takes the answer in and tells what it is worth to the caller of q.
func read(resp *http.Response, q request) outcome {
	o := outcome{first: time.Now()}
	contentType := resp.Header.Get("Content-Type")
	switch {
	case strings.HasPrefix(contentType, problemType) || resp.StatusCode != http.StatusOK:
		o.refusal(resp)
	case strings.HasPrefix(contentType, streamType):
		o.stream(resp.Body, q)
	case q.service.Kind == Plain:
		o.booking(resp.Body, q)
	default:
		o.completion(resp.Body, q)
	}
	o.at = time.Now()
	return o
}

func (o *outcome) breaks(err error) {
	o.kind = brokenOutcome
	o.detail = err.Error()
}

// refusal reads the numbered refusal of a router, or of a stand-in that is called directly.
func (o *outcome) refusal(resp *http.Response) {
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		o.breaks(err)
		return
	}
	var p problem
	_ = json.Unmarshal(body, &p)
	o.kind = refusedOutcome
	o.code = p.Code
	o.ran = pomelorelay.Ran(resp.Header.Get("Ran"))
	o.detail = strconv.Itoa(resp.StatusCode) + " " + p.Title + " " + p.Detail
	if text := resp.Header.Get("Retry-After"); text != "" {
		o.hasRetry = true
		seconds, err := strconv.Atoi(text)
		if err == nil {
			o.retryAfter = time.Duration(seconds) * time.Second
		}
	}
}

func (o *outcome) booking(body io.Reader, q request) {
	data, err := io.ReadAll(body)
	if err != nil {
		o.breaks(err)
		return
	}
	var answer pomelofake.PlainAnswer
	o.kind = answeredOutcome
	o.whole = json.Unmarshal(data, &answer) == nil
	o.own = !o.whole || answer.Proof == q.proof
}

// chatAnswer is what the caller reads of an engine's answer or event.
type chatAnswer struct {
	Choices []struct {
		Delta   chatMessage `json:"delta"`
		Message chatMessage `json:"message"`
	} `json:"choices"`
	Usage *struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

func (o *outcome) completion(body io.Reader, q request) {
	data, err := io.ReadAll(body)
	if err != nil {
		o.breaks(err)
		return
	}
	o.kind = answeredOutcome
	var answer chatAnswer
	if json.Unmarshal(data, &answer) != nil || len(answer.Choices) == 0 || answer.Usage == nil {
		o.own = true
		return
	}
	o.compare(answer.Choices[0].Message.Content, answer.Usage.CompletionTokens, q)
}

// compare holds the text against the one that the stand-in gives to the request.
func (o *outcome) compare(text string, tokens int, q request) {
	o.own = strings.HasPrefix(text, q.proof.AnswerToken(0)) || text == ""
	var want strings.Builder
	for n := range tokens {
		want.WriteString(q.proof.AnswerToken(n))
	}
	o.whole = text == want.String()
}

// stream reads events until the end; a stream that ends in good order without usage and [DONE] is not whole.
func (o *outcome) stream(body io.Reader, q request) {
	var text strings.Builder
	tokens, done, failed := 0, false, false
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		line := lines.Text()
		data, isData := strings.CutPrefix(line, "data: ")
		switch {
		case line == "event: error":
			failed = true
		case !isData:
		case failed:
			o.streamError(data)
			return
		case data == "[DONE]":
			done = true
		default:
			tokens += readEvent(data, &text)
		}
	}
	if err := lines.Err(); err != nil {
		o.breaks(err)
		return
	}
	o.kind = answeredOutcome
	o.compare(text.String(), tokens, q)
	o.whole = o.whole && done
}

// readEvent appends the event's text and returns the number of tokens that it says the whole answer has, if any.
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

// streamError is a stream's end that its caller can tell from a whole one.
func (o *outcome) streamError(data string) {
	var p problem
	_ = json.Unmarshal([]byte(data), &p)
	o.kind = brokenOutcome
	o.code = p.Code
	o.ran = p.Ran
	o.detail = p.Title + " " + p.Detail
}
