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

	"github.com/go-faster/errors"
)

// base64 makes four bytes of three; the rest of an answer is small.
const answerOverhead = 64 << 10

// Call is one exchange with the store.
type Call struct {
	Method string
	// Path is the path, escaped.
	Path  string
	Query url.Values
	Body  []byte
	// ContentType names the format of the body; empty sends none.
	ContentType string
	// Timeout bounds the exchange; a watch needs its wait and some.
	Timeout time.Duration
	// Count is raised by the call; it is required.
	Count *expvar.Int
	// Changes tells that the call has an effect, so that a lost answer leaves its outcome unknown.
	Changes bool
	// Codes gives the result codes of statuses that mean something else at another store than at ours.
	Codes map[int]pomelorelay.ResultCode
}

// Reply is an answer that arrived whole.
type Reply struct {
	Status int
	Body   []byte
}

// Do makes the call once, under the budget and the breaker; every failure is a *pomelorelay.Error.
func (c *Client) Do(ctx context.Context, one Call) (Reply, error) {
	if err := c.admit(); err != nil {
		return Reply{}, err
	}
	one.Count.Add(1)
	ctx, cancel := context.WithTimeout(ctx, one.Timeout)
	defer cancel()
	got, sent, err := c.exchange(ctx, one)
	if err != nil {
		return Reply{}, c.lost(ctx, one, sent, err)
	}
	return got, c.judge(one, got)
}

func (c *Client) admit() error {
	now := c.cfg.Clock.Now()
	if wait, ok := c.breaker.allow(now); !ok {
		c.stats.Broken.Add(1)
		failure := pomelorelay.NewError(pomelorelay.CodeStoreUnavailable, "the breaker is open", nil)
		failure.RetryAfter = wait
		return failure
	}
	if wait, ok := c.budget.take(now); !ok {
		c.breaker.abandon()
		c.stats.Throttled.Add(1)
		failure := pomelorelay.NewError(pomelorelay.CodeStoreThrottled, "the own call budget is spent", nil)
		failure.RetryAfter = wait
		return failure
	}
	return nil
}

// exchange returns the answer, and whether the request may have left this process.
func (c *Client) exchange(ctx context.Context, one Call) (Reply, bool, error) {
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }})
	req, err := c.request(ctx, one)
	if err != nil {
		return Reply{}, false, err
	}
	res, err := c.http.Do(req)
	if err != nil {
		return Reply{}, sent.Load(), err
	}
	defer res.Body.Close()
	body, err := c.readAnswer(res.Body)
	return Reply{Status: res.StatusCode, Body: body}, true, err
}

func (c *Client) request(ctx context.Context, one Call) (*http.Request, error) {
	address := c.cfg.Addresses[int(c.next.Load())%len(c.cfg.Addresses)]
	target := "http://" + address.String() + one.Path
	if len(one.Query) > 0 {
		target += "?" + one.Query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, one.Method, target, bytes.NewReader(one.Body))
	if err != nil {
		return nil, errors.Wrap(err, "make the request")
	}
	// With GetBody set, net/http may send the body again by itself on a fresh connection or after a redirect; the store
	// would count two writes and the loser's conflict would hide that the first one took effect.
	req.GetBody = nil
	if one.ContentType != "" {
		req.Header.Set("Content-Type", one.ContentType)
	}
	return req, nil
}

func (c *Client) readAnswer(r io.Reader) ([]byte, error) {
	limit := int64(c.cfg.MaxValue)*4/3 + answerOverhead
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, errors.New("the answer is over " + strconv.FormatInt(limit, 10) + " bytes")
	}
	return body, nil
}

// lost names a call without a whole answer: unknown when it has an effect and may have left, unavailable otherwise.
func (c *Client) lost(ctx context.Context, one Call, sent bool, cause error) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		c.breaker.abandon()
	} else {
		c.ended(false)
	}
	if one.Changes && sent {
		c.stats.Unknown.Add(1)
		return pomelorelay.NewError(pomelorelay.CodeStoreUnknown, one.Method+" "+one.Path, cause)
	}
	return pomelorelay.NewError(pomelorelay.CodeStoreUnavailable, one.Method+" "+one.Path, cause)
}

// judge turns a status that is a failure into its error; the statuses that a call expects pass.
func (c *Client) judge(one Call, got Reply) error {
	detail := one.Method + " " + one.Path + ": status " + strconv.Itoa(got.Status)
	if code, ok := one.Codes[got.Status]; ok {
		c.ended(true)
		return pomelorelay.NewError(code, detail, nil)
	}
	switch {
	case got.Status < 300, got.Status == http.StatusNotFound:
		c.ended(true)
		return nil
	case got.Status == http.StatusConflict:
		c.ended(true)
		c.stats.Conflicts.Add(1)
		return pomelorelay.NewError(pomelorelay.CodeStoreConflict, detail, nil)
	case got.Status == http.StatusGone:
		c.ended(true)
		return pomelorelay.NewError(pomelorelay.CodeStoreLeaseLapsed, detail, nil)
	case got.Status == http.StatusRequestEntityTooLarge:
		c.ended(true)
		return pomelorelay.NewError(pomelorelay.CodeStoreTooLarge, detail, nil)
	case got.Status == http.StatusTooManyRequests:
		c.ended(true)
		c.stats.Throttled.Add(1)
		return pomelorelay.NewError(pomelorelay.CodeStoreThrottled, detail, nil)
	}
	c.ended(false)
	// Only 503 promises that nothing took effect; another failure may come from something between us and the store.
	if one.Changes && got.Status >= http.StatusInternalServerError && got.Status != http.StatusServiceUnavailable {
		c.stats.Unknown.Add(1)
		return pomelorelay.NewError(pomelorelay.CodeStoreUnknown, detail, nil)
	}
	return pomelorelay.NewError(pomelorelay.CodeStoreUnavailable, detail, nil)
}

// ended tells the breaker how a call ended, logs when that changed its state, and turns to the next address after a failure.
func (c *Client) ended(ok bool) {
	if !ok {
		c.stats.Failures.Add(1)
		c.next.Add(1)
	}
	opened, closed := c.breaker.done(c.cfg.Clock.Now(), ok)
	if opened {
		c.cfg.Logger.Log(pomelorelay.EventStoreBreakerOpen)
	}
	if closed {
		c.cfg.Logger.Log(pomelorelay.EventStoreBreakerClosed)
	}
}

// Decode reads an answer in JSON; one that cannot be read counts as lost.
func (c *Client) Decode(one Call, got Reply, into any) error {
	if err := json.Unmarshal(got.Body, into); err != nil {
		code := pomelorelay.CodeStoreUnavailable
		if one.Changes {
			c.stats.Unknown.Add(1)
			code = pomelorelay.CodeStoreUnknown
		}
		return pomelorelay.NewError(code, one.Method+" "+one.Path+": the answer cannot be read", err)
	}
	return nil
}
