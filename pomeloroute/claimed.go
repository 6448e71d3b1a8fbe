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
	content := claimContent(c.r.Method, c.path, c.r.URL.RawQuery, c.bytes())
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

// replay answers with the outcome of the run that the key had before.
func (c *call) replay() {
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

// settle tells how the claimed request ended, on every way out.
func (c *call) settle() {
	switch {
	case c.kept != nil:
		c.h.cfg.Claims.Settle(c.claim, Settlement{State: pomelorelay.ClaimDone, Outcome: *c.kept})
	case c.mayHaveRun:
		c.h.cfg.Claims.Settle(c.claim, Settlement{State: pomelorelay.ClaimUnknown})
	default:
		c.h.cfg.Claims.Settle(c.claim, Settlement{Released: true})
	}
}

// keep remembers a whole answer for repeats of the call; one over the bound is only known to have been given.
func (c *call) keep(resp *http.Response, body []byte, whole bool) {
	if !c.claimed {
		return
	}
	outcome := &pomelorelay.ClaimOutcome{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type")}
	if whole && pomelorelay.Bytes(len(body)) <= c.h.cfg.Options.KeepOutcome {
		outcome.Body = append([]byte(nil), body...)
	} else {
		outcome.Truncated = true
	}
	c.kept = outcome
}
