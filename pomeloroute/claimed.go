package pomeloroute

import (
	"net/http"

	"github.com/pomelorelay/pomelorelay"
)

// takeClaim claims the call's idempotency key. If it returns nil, either c.claimed is set and the request may run, or the outcome of an
// earlier run must be replayed. Otherwise it fails with a code that describes the state of the key.
func (c *call) takeClaim() error {
	ctx, cancel := c.context()
	defer cancel()
	key := claimKey(c.account, c.service.Name, c.key)
	content := claimFingerprint(c.r.Method, c.path, c.r.URL.RawQuery, c.bytes())
	claim, err := c.h.cfg.Claims.Claim(ctx, key, content)
	if err != nil {
		return pomelorelay.NewError(pomelorelay.CodeClaimRefused, "", err)
	}
	c.claim = claim
	switch claim.State {
	case pomelorelay.ClaimGranted:
		c.claimed = true
		return nil
	case pomelorelay.ClaimDone:
		if claim.Outcome.Truncated {
			return pomelorelay.NewError(pomelorelay.CodeClaimOutcomeGone, "", nil)
		}
		return nil
	case pomelorelay.ClaimRunning:
		return pomelorelay.NewError(pomelorelay.CodeClaimRunning, "", nil)
	case pomelorelay.ClaimConflict:
		return pomelorelay.NewError(pomelorelay.CodeClaimConflict, "", nil)
	case pomelorelay.ClaimRefused:
		return pomelorelay.NewError(pomelorelay.CodeClaimRefused, "", nil)
	}
	return pomelorelay.NewError(pomelorelay.CodeClaimUnknown, "", nil)
}

// replayOutcome answers with the stored outcome of an earlier run under the same key.
func (c *call) replayOutcome() {
	head := c.w.Header()
	if c.claim.Outcome.ContentType != "" {
		head.Set("Content-Type", c.claim.Outcome.ContentType)
	}
	head.Set(headerReplayed, "true")
	head.Set(headerRan, string(pomelorelay.RanYes))
	c.w.WriteHeader(c.claim.Outcome.Status)
	// A write error means that the caller has disconnected; it can retry.
	_, _ = c.w.Write(c.claim.Outcome.Body)
}

// settleClaim reports how the request that holds the claim ended; run defers settleClaim, so that the claim is settled even after a panic.
func (c *call) settleClaim() {
	switch {
	case c.outcome != nil:
		c.h.cfg.Claims.Settle(c.claim, Settlement{State: pomelorelay.ClaimDone, Outcome: *c.outcome})
	case c.mayHaveRun:
		c.h.cfg.Claims.Settle(c.claim, Settlement{State: pomelorelay.ClaimUnknown})
	default:
		c.h.cfg.Claims.Settle(c.claim, Settlement{Released: true})
	}
}

// recordOutcome keeps a complete answer for retries with the same idempotency key. If its body was not completely buffered or exceeds
// MaxStoredOutcome, only its status and content type are kept.
func (c *call) recordOutcome(resp *http.Response, body []byte, complete bool) {
	if !c.claimed {
		return
	}
	outcome := &pomelorelay.ClaimOutcome{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type")}
	if complete && pomelorelay.Bytes(len(body)) <= c.h.cfg.Options.MaxStoredOutcome {
		outcome.Body = append([]byte(nil), body...)
	} else {
		outcome.Truncated = true
	}
	c.outcome = outcome
}
