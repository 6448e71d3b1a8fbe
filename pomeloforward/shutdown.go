package pomeloforward

import (
	"context"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelolink"
)

// stopRetryAfter is the Retry-After of a stopping router; another router can accept the request immediately.
const stopRetryAfter = time.Millisecond

// stopFailure returns the failure of a request that is not sent because the router stops before its answer would be complete; nil if it may be
// sent. An answer that has begun is continued as long as possible.
func (c *call) stopFailure() *pomelolink.Failure {
	left, stopping := c.h.cfg.Shutdown.TimeLeft()
	if !stopping || c.answerStarted || (left > 0 && c.timeNeeded(left) <= left) {
		return nil
	}
	f := pomelolink.NewFailure(pomelolink.OutcomeNotSent, pomelorelay.CodeStopping, nil)
	f.Err.RetryAfter = stopRetryAfter
	return f
}

// estimateStreamsUntil is the part of a stop during which streams are taken by the run times of their routes. Where the estimate is wrong, a plain
// request still gets a final answer, and a stream that has begun is cut; later only its deadline counts.
const estimateStreamsUntil = 3.0 / 7

// timeNeeded returns the time within which a request that is sent now will be answered: until its deadline, or less if all recent requests of its
// route were answered much sooner.
func (c *call) timeNeeded(left time.Duration) time.Duration {
	need := c.timeLeft()
	elapsed := c.h.cfg.Shutdown.Elapsed()
	if c.route.Kind == pomelorelay.RouteStream && float64(elapsed) > estimateStreamsUntil*float64(elapsed+left) {
		return need
	}
	if longest, known := c.h.runTimes.longest(c.route.Name); known {
		need = min(need, time.Duration(runTimeMargin*float64(longest)))
	}
	return need
}

// mustEnd reports whether requests must get their final answers.
func (c *call) mustEnd() bool { return c.h.cfg.Shutdown.FinalAnswers().Err() != nil }

// noteStop replaces the error of an attempt that was cancelled because requests must get their final answers.
func (c *call) noteStop(ctx context.Context, f *pomelolink.Failure) {
	if ctx.Err() != context.Canceled || c.r.Context().Err() != nil || !c.mustEnd() {
		return
	}
	f.Err = pomelolink.NewFailure(f.Outcome, pomelorelay.CodeStopLate, f.Err).Err
	f.Err.RetryAfter = stopRetryAfter
}

// closeIfStopping tells the caller to use another connection for its next request if the router is stopping.
func (c *call) closeIfStopping() {
	if _, stopping := c.h.cfg.Shutdown.TimeLeft(); stopping {
		c.w.Header().Set("Connection", "close")
	}
}
