package pomeloroute

import (
	"net/http"

	"github.com/pomelorelay/pomelorelay"
)

// takeClaim makes the call's claim durable, or fails with what is known of the key. Without an error and without
// claimed set, the outcome of an earlier run is to be replayed.
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
	case pomelorelay.ClaimFresh:
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

// replayOutcome answers with the outcome of the run that the key had before.
func (c *call) replayOutcome() {
	head := c.w.Header()
	if c.claim.Outcome.ContentType != "" {
		head.Set("Content-Type", c.claim.Outcome.ContentType)
	}
	head.Set(headerReplayed, "true")
	head.Set(headerRan, string(pomelorelay.RanYes))
	c.w.WriteHeader(c.claim.Outcome.Status)
	// A caller that is gone asks again.
	_, _ = c.w.Write(c.claim.Outcome.Body)
}

// settleClaim tells how the claimed request ended, on every way out.
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

// recordOutcome remembers a whole answer for repeats of the call; one over the bound is only known to have been given.
func (c *call) recordOutcome(resp *http.Response, body []byte, whole bool) {
	if !c.claimed {
		return
	}
	outcome := &pomelorelay.ClaimOutcome{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type")}
	if whole && pomelorelay.Bytes(len(body)) <= c.h.cfg.Options.MaxStoredOutcome {
		outcome.Body = append([]byte(nil), body...)
	} else {
		outcome.Truncated = true
	}
	c.outcome = outcome
}
