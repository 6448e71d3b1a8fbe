package pomelonode

import (
	"context"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloclaim"
	"github.com/pomelorelay/pomelorelay/pomeloroute"
)

// claims implements pomeloroute.Claims by posting events to the control goroutine.
type claims struct{ n *Node }

// Claim claims an idempotency key and waits for the result; if ctx is done first, it cancels the claim and fails with ctx's error.
func (a claims) Claim(ctx context.Context, key pomelorelay.ClaimKey, content pomelorelay.Fingerprint) (pomeloroute.Claim, error) {
	w := &claimWaiter{key: key, content: content, answer: make(chan pomeloclaim.Verdict, 1)}
	a.n.mail.post(claimRequested{w})
	select {
	case v := <-w.answer:
		return pomeloroute.Claim{Key: key, Nonce: v.Nonce, State: v.State, Outcome: v.Outcome}, nil
	case <-ctx.Done():
		a.n.mail.post(claimCancelled{w})
		return pomeloroute.Claim{}, ctx.Err()
	}
}

// Settle reports the result of a request whose claim was granted.
func (a claims) Settle(c pomeloroute.Claim, s pomeloroute.Settlement) {
	a.n.mail.post(claimedRequestEnded{c, s})
}

type claimWaiter struct {
	key       pomelorelay.ClaimKey
	content   pomelorelay.Fingerprint
	nonce     pomelorelay.ClaimNonce
	cancelled bool
	answer    chan pomeloclaim.Verdict
}

type claimRequested struct{ w *claimWaiter }

func (e claimRequested) apply(c *control, now time.Time) {
	if e.w.cancelled {
		return
	}
	e.w.nonce = c.claimRequester.Claim(now, e.w.key, e.w.content, &c.claimOut)
	c.claimWaiters[e.w.nonce] = e.w
}

type claimCancelled struct{ w *claimWaiter }

// apply cancels a claim whose caller has disconnected. If the claim was granted at the same time, it is released; otherwise the caller's
// retry would be refused because the first request would count as still running.
func (e claimCancelled) apply(c *control, now time.Time) {
	e.w.cancelled = true
	if c.claimWaiters[e.w.nonce] != nil {
		delete(c.claimWaiters, e.w.nonce)
		c.claimRequester.Cancel(now, e.w.nonce, &c.claimOut)
		return
	}
	select {
	case v := <-e.w.answer:
		if v.State == pomelorelay.ClaimGranted {
			c.claimRequester.Settle(now, v.Nonce, true, 0, pomelorelay.ClaimOutcome{}, &c.claimOut)
		}
	default:
	}
}

type claimedRequestEnded struct {
	claim      pomeloroute.Claim
	settlement pomeloroute.Settlement
}

func (e claimedRequestEnded) apply(c *control, now time.Time) {
	s := e.settlement
	c.claimRequester.Settle(now, e.claim.Nonce, s.Released, s.State, s.Outcome, &c.claimOut)
}

// storeOpDone is posted when a store operation of the claim keeper, which stores the claims on idempotency keys, returns.
type storeOpDone struct{ result pomeloclaim.StoreResult }

func (e storeOpDone) apply(c *control, now time.Time) {
	c.keeper.HandleStoreResult(now, e.result, &c.claimOut)
}

// flushClaims sends the messages, starts the store operations and delivers the verdicts that the claim components produced.
func (c *control) flushClaims() {
	c.outgoing = append(c.outgoing, c.claimOut.Messages...)
	for _, op := range c.claimOut.StoreOps {
		c.n.storeOp(op)
	}
	for _, v := range c.claimOut.Verdicts {
		if w := c.claimWaiters[v.Nonce]; w != nil {
			delete(c.claimWaiters, v.Nonce)
			w.answer <- v
		}
	}
	c.claimOut.Messages = c.claimOut.Messages[:0]
	c.claimOut.StoreOps = c.claimOut.StoreOps[:0]
	c.claimOut.Verdicts = c.claimOut.Verdicts[:0]
}
