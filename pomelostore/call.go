package pomelostore

import (
	"bytes"
	"context"
	"encoding/json"
	"expvar"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelohead"

	"github.com/go-faster/errors"
)

// maxResponseOverhead is how many bytes a response may have in addition to its base64-encoded value, which is a third larger than the
// value.
const maxResponseOverhead = 64 << 10

var errResponseTooLarge = errors.New("response is too large")

// Call is one HTTP call to the store.
type Call struct {
	Method string
	// Path is the escaped URL path.
	Path  string
	Query url.Values
	Body  []byte
	// ContentType is the Content-Type header; empty sends none.
	ContentType string
	// Timeout limits the whole call; for a watch it must exceed the time for which the store may hold the call.
	Timeout time.Duration
	// Counter is incremented when the call is sent; it is required.
	Counter *expvar.Int
	// Mutates marks a call that changes the store, so that a lost response leaves its outcome unknown.
	Mutates bool
	// MaxResponse limits the body of the response in bytes; zero allows one value of the largest size.
	MaxResponse int64
	// ResultCodes overrides the default result codes of HTTP statuses, for stores that use a status differently.
	ResultCodes map[int]pomelorelay.ResultCode
}

// Reply is a complete HTTP response.
type Reply struct {
	Status int
	Body   []byte
}

// Do sends the call once, subject to the call budget and the circuit breaker; every error is a *pomelorelay.Error.
func (c *Client) Do(ctx context.Context, call Call) (Reply, error) {
	if err := c.admit(); err != nil {
		return Reply{}, err
	}
	call.Counter.Add(1)
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	reply, sent, err := c.exchange(ctx, call)
	if errors.Is(err, errResponseTooLarge) && !call.Mutates {
		// The store works; only this call cannot be answered.
		c.recordResult(true)
		return Reply{}, pomelorelay.NewError(pomelorelay.CodeStoreValueTooLarge, call.Method+" "+call.Path, err)
	}
	if err != nil {
		return Reply{}, c.unansweredError(ctx, call, sent, err)
	}
	return reply, c.checkStatus(call, reply)
}

func (c *Client) admit() error {
	now := c.cfg.Clock.Now()
	if wait, ok := c.breaker.allow(now); !ok {
		c.stats.Broken.Add(1)
		failure := pomelorelay.NewError(pomelorelay.CodeStoreUnavailable, "circuit breaker is open", nil)
		failure.RetryAfter = wait
		return failure
	}
	if wait, ok := c.budget.take(now); !ok {
		c.breaker.abandon()
		c.stats.Throttled.Add(1)
		failure := pomelorelay.NewError(pomelorelay.CodeStoreThrottled, "call budget of this process is spent", nil)
		failure.RetryAfter = wait
		return failure
	}
	return nil
}

// exchange returns the response and reports whether the request may have been sent.
func (c *Client) exchange(ctx context.Context, call Call) (Reply, bool, error) {
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }})
	req, err := c.newRequest(ctx, call)
	if err != nil {
		return Reply{}, false, err
	}
	res, err := c.http.Do(req)
	if err != nil {
		return Reply{}, sent.Load(), err
	}
	defer res.Body.Close()
	if err := pomelohead.CheckParsed(res); err != nil {
		return Reply{}, true, err
	}
	body, err := c.readBody(res.Body, call.MaxResponse)
	return Reply{Status: res.StatusCode, Body: body}, true, err
}

func (c *Client) newRequest(ctx context.Context, call Call) (*http.Request, error) {
	address := c.cfg.Addresses[int(c.addressIndex.Load())%len(c.cfg.Addresses)]
	target := "http://" + address.String() + call.Path
	if len(call.Query) > 0 {
		target += "?" + call.Query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, target, bytes.NewReader(call.Body))
	if err != nil {
		return nil, errors.Wrap(err, "create HTTP request")
	}
	// With GetBody set, net/http may resend the body on a new connection or after a redirect: the store would receive two
	// writes, and the conflict of the second would hide that the first took effect.
	req.GetBody = nil
	if call.ContentType != "" {
		req.Header.Set("Content-Type", call.ContentType)
	}
	return req, nil
}

func (c *Client) readBody(r io.Reader, limit int64) ([]byte, error) {
	if limit == 0 {
		limit = int64(c.cfg.MaxValue)*4/3 + maxResponseOverhead
	}
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, errors.Wrapf(errResponseTooLarge, "over %d bytes", limit)
	}
	return body, nil
}

// unansweredError records a call without a complete response and returns its error: CodeStoreUnknown when the call mutates the store and
// may have been sent, CodeStoreUnavailable otherwise.
func (c *Client) unansweredError(ctx context.Context, call Call, sent bool, cause error) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		c.breaker.abandon()
	} else {
		c.recordResult(false)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		// The other idle connections may have gone silent too, and each would cost a further timeout.
		c.http.CloseIdleConnections()
	}
	if call.Mutates && sent {
		c.stats.Unknown.Add(1)
		return pomelorelay.NewError(pomelorelay.CodeStoreUnknown, call.Method+" "+call.Path, cause)
	}
	return pomelorelay.NewError(pomelorelay.CodeStoreUnavailable, call.Method+" "+call.Path, cause)
}

// checkStatus records the result and returns the error of an HTTP status, nil for success and for 404, which callers handle.
func (c *Client) checkStatus(call Call, reply Reply) error {
	detail := call.Method + " " + call.Path + ": status " + strconv.Itoa(reply.Status)
	if code, ok := call.ResultCodes[reply.Status]; ok {
		c.recordResult(true)
		return pomelorelay.NewError(code, detail, nil)
	}
	switch {
	case reply.Status < 300, reply.Status == http.StatusNotFound:
		c.recordResult(true)
		return nil
	case reply.Status == http.StatusConflict:
		c.recordResult(true)
		c.stats.Conflicts.Add(1)
		return pomelorelay.NewError(pomelorelay.CodeStoreConflict, detail, nil)
	case reply.Status == http.StatusGone:
		c.recordResult(true)
		return pomelorelay.NewError(pomelorelay.CodeStoreLeaseLapsed, detail, nil)
	case reply.Status == http.StatusRequestEntityTooLarge:
		c.recordResult(true)
		return pomelorelay.NewError(pomelorelay.CodeStoreValueTooLarge, detail, nil)
	case reply.Status == http.StatusTooManyRequests:
		c.recordResult(true)
		c.stats.Throttled.Add(1)
		return pomelorelay.NewError(pomelorelay.CodeStoreThrottled, detail, nil)
	}
	c.recordResult(false)
	// Only 503 guarantees that the call had no effect; other failures may come from a proxy in front of the store.
	if call.Mutates && reply.Status >= http.StatusInternalServerError && reply.Status != http.StatusServiceUnavailable {
		c.stats.Unknown.Add(1)
		return pomelorelay.NewError(pomelorelay.CodeStoreUnknown, detail, nil)
	}
	return pomelorelay.NewError(pomelorelay.CodeStoreUnavailable, detail, nil)
}

// recordResult passes a call's result to the breaker, logs a change of its state, and switches to the next address after a failure.
func (c *Client) recordResult(ok bool) {
	if !ok {
		c.stats.Failures.Add(1)
		c.addressIndex.Add(1)
	}
	opened, closed := c.breaker.done(c.cfg.Clock.Now(), ok)
	if opened {
		c.cfg.Logger.Log(pomelorelay.EventStoreBreakerOpen)
	}
	if closed {
		c.cfg.Logger.Log(pomelorelay.EventStoreBreakerClosed)
	}
}

// Decode decodes a JSON response; one that cannot be decoded counts as a lost response.
func (c *Client) Decode(call Call, reply Reply, result any) error {
	if err := json.Unmarshal(reply.Body, result); err != nil {
		code := pomelorelay.CodeStoreUnavailable
		if call.Mutates {
			c.stats.Unknown.Add(1)
			code = pomelorelay.CodeStoreUnknown
		}
		return pomelorelay.NewError(code, call.Method+" "+call.Path+": decode response", err)
	}
	return nil
}
