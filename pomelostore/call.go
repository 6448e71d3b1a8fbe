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

// call is one exchange with the store.
type call struct {
	method  string
	path    string
	query   url.Values
	body    []byte
	timeout time.Duration
	count   *expvar.Int
	// changes tells that the call has an effect, so that a lost answer leaves its outcome unknown.
	changes bool
}

// reply is an answer that arrived whole.
type reply struct {
	status int
	body   []byte
}

// do makes the call once, under the budget and the breaker; every failure is a *pomelorelay.Error.
func (c *Client) do(ctx context.Context, one call) (reply, error) {
	if err := c.admit(); err != nil {
		return reply{}, err
	}
	one.count.Add(1)
	ctx, cancel := context.WithTimeout(ctx, one.timeout)
	defer cancel()
	got, sent, err := c.exchange(ctx, one)
	if err != nil {
		return reply{}, c.lost(ctx, one, sent, err)
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
func (c *Client) exchange(ctx context.Context, one call) (reply, bool, error) {
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }})
	req, err := c.request(ctx, one)
	if err != nil {
		return reply{}, false, err
	}
	res, err := c.http.Do(req)
	if err != nil {
		return reply{}, sent.Load(), err
	}
	defer res.Body.Close()
	body, err := c.readAnswer(res.Body)
	return reply{status: res.StatusCode, body: body}, true, err
}

func (c *Client) request(ctx context.Context, one call) (*http.Request, error) {
	address := c.cfg.Addresses[int(c.next.Load())%len(c.cfg.Addresses)]
	target := "http://" + address.String() + one.path
	if len(one.query) > 0 {
		target += "?" + one.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, one.method, target, bytes.NewReader(one.body))
	if err != nil {
		return nil, errors.Wrap(err, "make the request")
	}
	// With GetBody set, net/http may send the body again by itself on a fresh connection or after a redirect; the store
	// would count two writes and the loser's conflict would hide that the first one took effect.
	req.GetBody = nil
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
func (c *Client) lost(ctx context.Context, one call, sent bool, cause error) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		c.breaker.abandon()
	} else {
		c.ended(false)
	}
	if one.changes && sent {
		c.stats.Unknown.Add(1)
		return pomelorelay.NewError(pomelorelay.CodeStoreUnknown, one.method+" "+one.path, cause)
	}
	return pomelorelay.NewError(pomelorelay.CodeStoreUnavailable, one.method+" "+one.path, cause)
}

// judge turns a status that is a failure into its error; the statuses that a call expects pass.
func (c *Client) judge(one call, got reply) error {
	detail := one.method + " " + one.path + ": status " + strconv.Itoa(got.status)
	switch {
	case got.status < 300, got.status == http.StatusNotFound:
		c.ended(true)
		return nil
	case got.status == http.StatusConflict:
		c.ended(true)
		c.stats.Conflicts.Add(1)
		return pomelorelay.NewError(pomelorelay.CodeStoreConflict, detail, nil)
	case got.status == http.StatusGone:
		c.ended(true)
		return pomelorelay.NewError(pomelorelay.CodeStoreLeaseLapsed, detail, nil)
	case got.status == http.StatusRequestEntityTooLarge:
		c.ended(true)
		return pomelorelay.NewError(pomelorelay.CodeStoreTooLarge, detail, nil)
	case got.status == http.StatusTooManyRequests:
		c.ended(true)
		c.stats.Throttled.Add(1)
		return pomelorelay.NewError(pomelorelay.CodeStoreThrottled, detail, nil)
	}
	c.ended(false)
	// Only 503 promises that nothing took effect; another failure may come from something between us and the store.
	if one.changes && got.status >= http.StatusInternalServerError && got.status != http.StatusServiceUnavailable {
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

// decode reads the answer; one that cannot be read counts as lost.
func (c *Client) decode(one call, got reply, into any) error {
	if err := json.Unmarshal(got.body, into); err != nil {
		code := pomelorelay.CodeStoreUnavailable
		if one.changes {
			c.stats.Unknown.Add(1)
			code = pomelorelay.CodeStoreUnknown
		}
		return pomelorelay.NewError(code, one.method+" "+one.path+": the answer cannot be read", err)
	}
	return nil
}
