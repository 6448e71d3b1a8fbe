package pomeloload

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelocheck"
)

const (
	// answerGrace is how much longer than its deadline a caller listens, to see an answer that is held back.
	answerGrace = 3 * time.Second
	maxPause    = time.Second
	minPause    = 50 * time.Millisecond
)

// callers send requests and record what becomes of them.
type callers struct {
	plan     Plan
	balancer *balancer
	recorder *recorder
	number   atomic.Uint64
	attempts atomic.Uint64
	wg       sync.WaitGroup
}

// start starts the callers of every account; they take up no new request once issuing ends.
func (c *callers) start(ctx, issuing context.Context) {
	seed := c.plan.Seed
	for _, account := range c.plan.Accounts {
		for _, load := range account.Loads {
			service := c.plan.service(load.Service)
			for range load.Callers {
				seed++
				random := rand.New(rand.NewPCG(seed, seed))
				c.wg.Go(func() { c.closedLoop(ctx, issuing, account, service, load, random) })
			}
			if load.Rate > 0 {
				seed++
				random := rand.New(rand.NewPCG(seed, seed))
				c.wg.Go(func() { c.openLoop(ctx, issuing, account, service, load, random) })
			}
		}
	}
}

func (c *callers) closedLoop(ctx, issuing context.Context, account Account, service Service, load Load, random *rand.Rand) {
	for sent := 0; issuing.Err() == nil && (load.Requests == 0 || sent < load.Requests); sent++ {
		c.one(ctx, issuing, account, service, load, random)
	}
}

func (c *callers) openLoop(ctx, issuing context.Context, account Account, service Service, load Load, random *rand.Rand) {
	for {
		pause := time.Duration(random.ExpFloat64() / load.Rate * float64(time.Second))
		if !wait(issuing, pause) {
			return
		}
		own := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		c.wg.Go(func() { c.one(ctx, issuing, account, service, load, own) })
	}
}

func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// one takes a request to its end: it is sent again while it may run and has not been answered.
func (c *callers) one(ctx, issuing context.Context, account Account, service Service, load Load, random *rand.Rand) {
	q, err := newRequest(account, service, load, c.number.Add(1))
	if err != nil {
		return
	}
	c.recorder.request(q)
	if service.Once && random.Float64() < load.Overlap {
		own := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		c.recorder.resent()
		c.wg.Go(func() { c.attempt(ctx, q, own) })
	}
	for range c.plan.MaxAttempts {
		o := c.attempt(ctx, q, random)
		if o.kind == answeredOutcome {
			break
		}
		if !mayResend(q, o) || !wait(issuing, pauseFor(o)) {
			return
		}
		c.recorder.resent()
	}
	if service.Once && random.Float64() < load.Resend && issuing.Err() == nil {
		c.recorder.resent()
		c.attempt(ctx, q, random)
	}
}

// mayResend tells whether a careful caller sends again: what carries a key, what is idempotent, and what was not run. One with
// a marker sends again whatever it was told, as people do whose request fails.
func mayResend(q request, o outcome) bool {
	if o.kind == refusedOutcome && o.ran == pomelorelay.RanNo {
		return true
	}
	return o.kind == brokenOutcome || q.service.Once || q.load.Marker != ""
}

func pauseFor(o outcome) time.Duration {
	return min(max(o.retryAfter, minPause), maxPause)
}

func (c *callers) attempt(ctx context.Context, q request, random *rand.Rand) outcome {
	t := c.balancer.pick(q.service.Name, q.load.Routers, random)
	id := pomelocheck.AttemptID(fmt.Sprintf("%s/%d", q.id, c.attempts.Add(1)))
	sent := pomelocheck.RequestSent{
		Attempt: id, Content: q.content(), Account: q.account.Name, Node: t.name, At: time.Now(),
		Deadline: time.Now().Add(c.plan.Timeout), AtMostOnce: q.service.Once,
	}
	c.recorder.sent(q, sent)
	o := c.exchange(ctx, t, q, string(id))
	c.recorder.ended(q, sent, o)
	return o
}

func (c *callers) exchange(ctx context.Context, t *target, q request, id string) outcome {
	ctx, cancel := context.WithTimeout(ctx, c.plan.Timeout+answerGrace)
	defer cancel()
	r, err := c.newHTTPRequest(ctx, t, q, id)
	if err != nil {
		return outcome{kind: brokenOutcome, at: time.Now(), detail: err.Error()}
	}
	resp, err := t.client.Do(r)
	if err != nil {
		return failed(err)
	}
	defer func() { _ = resp.Body.Close() }()
	return read(resp, q)
}

// newHTTPRequest hides the body's type from net/http: a body that can be read again, together with an Idempotency-Key,
// makes the transport send a request twice by itself when a connection breaks, which would show here as one attempt.
func (c *callers) newHTTPRequest(ctx context.Context, t *target, q request, id string) (*http.Request, error) {
	path := q.path()
	if !c.plan.Direct {
		path = "/" + string(q.service.Name) + path
	}
	body := io.NopCloser(bytes.NewReader(q.body))
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.addr.String()+path, body)
	if err != nil {
		return nil, err
	}
	r.ContentLength = int64(len(q.body))
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Authorization", "Bearer "+q.account.Token)
	r.Header.Set(headerDeadline, c.plan.Timeout.String())
	if q.service.Once {
		r.Header.Set(headerIdemKey, q.id)
	}
	if c.plan.Direct {
		r.Header.Set(headerRequest, id)
	}
	return r, nil
}

// failed tells a connection that was never made, so that nothing ran, from one that broke.
func failed(err error) outcome {
	o := outcome{kind: brokenOutcome, at: time.Now(), detail: err.Error()}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		o.kind = refusedOutcome
		o.ran = pomelorelay.RanNo
	}
	return o
}
