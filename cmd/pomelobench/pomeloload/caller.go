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
	// lateAnswerGrace is how long a caller waits after its deadline, to detect late answers.
	lateAnswerGrace = 3 * time.Second
	maxRetryPause   = time.Second
	minRetryPause   = 50 * time.Millisecond
)

// callers sends the requests of all loads and records their outcomes.
type callers struct {
	plan        Plan
	balancer    *balancer
	recorder    *recorder
	lastRequest atomic.Uint64
	lastAttempt atomic.Uint64
	wg          sync.WaitGroup
}

// start starts the callers of every account; they send no new request after issueCtx ends.
func (c *callers) start(ctx, issueCtx context.Context) {
	seed := c.plan.Seed
	for _, account := range c.plan.Accounts {
		for _, load := range account.Loads {
			service := c.plan.service(load.Service)
			for range load.Callers {
				seed++
				rng := rand.New(rand.NewPCG(seed, seed))
				c.wg.Go(func() { c.closedLoop(ctx, issueCtx, account, service, load, rng) })
			}
			if load.ArrivalRate > 0 {
				seed++
				rng := rand.New(rand.NewPCG(seed, seed))
				c.wg.Go(func() { c.openLoop(ctx, issueCtx, account, service, load, rng) })
			}
		}
	}
}

func (c *callers) closedLoop(ctx, issueCtx context.Context, account Account, service Service, load Load, rng *rand.Rand) {
	for sent := 0; issueCtx.Err() == nil && (load.MaxRequestsPerCaller == 0 || sent < load.MaxRequestsPerCaller); sent++ {
		c.sendRequest(ctx, issueCtx, account, service, load, rng)
	}
}

func (c *callers) openLoop(ctx, issueCtx context.Context, account Account, service Service, load Load, rng *rand.Rand) {
	for {
		pause := time.Duration(rng.ExpFloat64() / load.ArrivalRate * float64(time.Second))
		if !sleep(issueCtx, pause) {
			return
		}
		attemptRandom := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		c.wg.Go(func() { c.sendRequest(ctx, issueCtx, account, service, load, attemptRandom) })
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// sendRequest sends a request until it is answered, may not be sent again, or has used its attempts. A fraction of the requests of
// an at-most-once service is also sent twice concurrently, or again after the answer.
func (c *callers) sendRequest(ctx, issueCtx context.Context, account Account, service Service, load Load, rng *rand.Rand) {
	q, err := newRequest(account, service, load, c.lastRequest.Add(1))
	if err != nil {
		return
	}
	c.recorder.addRequest(q)
	if service.AtMostOnce && rng.Float64() < load.OverlapFraction {
		attemptRandom := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		c.recorder.addResend()
		c.wg.Go(func() { c.sendAttempt(ctx, q, attemptRandom) })
	}
	for range c.plan.MaxAttempts {
		o := c.sendAttempt(ctx, q, rng)
		if o.kind == outcomeAnswered {
			break
		}
		if !mayResend(q, o) || !sleep(issueCtx, retryPause(o)) {
			return
		}
		c.recorder.addResend()
	}
	if service.AtMostOnce && rng.Float64() < load.ResendFraction && issueCtx.Err() == nil {
		c.recorder.addResend()
		c.sendAttempt(ctx, q, rng)
	}
}

// mayResend reports whether a caller sends a request again: after a refusal that reports that the request did not run, and after a
// broken connection, since requests without an Idempotency-Key are idempotent. Requests with such a key, which prevents a second
// run, and requests with a prompt marker, whose callers imitate persistent users, are sent again after any failure.
func mayResend(q request, o outcome) bool {
	if o.kind == outcomeRefused && o.ran == pomelorelay.RanNo {
		return true
	}
	return o.kind == outcomeBroken || q.service.AtMostOnce || q.load.PromptMarker != ""
}

func retryPause(o outcome) time.Duration {
	return min(max(o.retryAfter, minRetryPause), maxRetryPause)
}

func (c *callers) sendAttempt(ctx context.Context, q request, rng *rand.Rand) outcome {
	t := c.balancer.pick(q.service.Name, q.load.Routers, rng)
	id := pomelocheck.AttemptID(fmt.Sprintf("%s/%d", q.id, c.lastAttempt.Add(1)))
	sent := pomelocheck.RequestSent{
		Attempt: id, Content: q.content(), Account: q.account.Name, Node: t.name, At: time.Now(),
		Deadline: time.Now().Add(c.plan.Timeout), AtMostOnce: q.service.AtMostOnce,
	}
	c.recorder.attemptSent(q, sent)
	o := c.exchange(ctx, t, q, string(id))
	c.recorder.attemptEnded(q, sent, o)
	return o
}

func (c *callers) exchange(ctx context.Context, t *target, q request, id string) outcome {
	ctx, cancel := context.WithTimeout(ctx, c.plan.Timeout+lateAnswerGrace)
	defer cancel()
	r, err := c.newHTTPRequest(ctx, t, q, id)
	if err != nil {
		return outcome{kind: outcomeBroken, endedAt: time.Now(), detail: err.Error()}
	}
	resp, err := t.client.Do(r)
	if err != nil {
		return transportFailure(err)
	}
	defer func() { _ = resp.Body.Close() }()
	return readAnswer(resp, q)
}

// newHTTPRequest wraps the body so that net/http cannot rewind it. Otherwise the transport would resend requests with an
// Idempotency-Key by itself after a broken connection, and two sends would be recorded as one attempt.
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
	r.Header.Set(headerTimeout, c.plan.Timeout.String())
	if q.service.AtMostOnce {
		r.Header.Set(headerIdempotencyKey, q.id)
	}
	if c.plan.Direct {
		r.Header.Set(headerRequestID, id)
	}
	return r, nil
}

// transportFailure returns the outcome of a failed round trip. A failure to connect counts as a refusal of a request that did not
// run, any other failure as a broken connection.
func transportFailure(err error) outcome {
	o := outcome{kind: outcomeBroken, endedAt: time.Now(), detail: err.Error()}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		o.kind = outcomeRefused
		o.ran = pomelorelay.RanNo
	}
	return o
}
