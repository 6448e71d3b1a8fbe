package pomelonode

import (
	"context"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloquarantine"
	"github.com/pomelorelay/pomelorelay/pomeloroute"
)

// suspects implements pomeloroute.Suspects: reads go to a snapshot, everything else to the control goroutine.
type suspects struct{ n *Node }

// CheckQuarantine fails with CodeQuarantined while the fingerprint is quarantined.
func (a suspects) CheckQuarantine(f pomelorelay.Fingerprint) error {
	left := a.n.suspects.Load().Quarantined(a.n.cfg.Clock.Now(), f)
	if left <= 0 {
		return nil
	}
	return quarantineError(left)
}

func quarantineError(left time.Duration) error {
	e := pomelorelay.NewError(pomelorelay.CodeQuarantined, "", nil)
	e.RetryAfter = left
	return e
}

// AwaitPermission lets a request that is no suspect run at once; a suspect waits for the arbiters' word.
func (a suspects) AwaitPermission(ctx context.Context, run pomeloroute.SuspectRun) error {
	if !run.KnownSuspect && !a.n.suspects.Load().Suspect(run.Fingerprint) {
		return nil
	}
	w := &suspectWaiter{run: suspectRun(run), answer: make(chan pomeloquarantine.Verdict, 1)}
	a.n.mail.post(suspectCheckRequested{w})
	select {
	case v := <-w.answer:
		return a.verdict(v)
	case <-ctx.Done():
		a.n.mail.post(suspectCheckCancelled{w})
		return pomelorelay.NewError(pomelorelay.CodeSuspectHeld, "", ctx.Err())
	}
}

// verdict turns a decision into an error. The turn may have come after seconds: an upstream that has begun to leave
// meanwhile would be seen to get new work long after the host list said so.
func (a suspects) verdict(v pomeloquarantine.Verdict) error {
	switch v.Decision {
	case pomeloquarantine.DecisionRun:
		if a.n.traffic.Load().leaving[v.Run.Upstream] {
			return pomelorelay.NewError(pomelorelay.CodeNoUpstream, "the upstream leaves", nil)
		}
		return nil
	case pomeloquarantine.DecisionQuarantined:
		return quarantineError(v.RetryAfter)
	}
	e := pomelorelay.NewError(pomelorelay.CodeSuspectHeld, "", nil)
	e.RetryAfter = v.RetryAfter
	return e
}

// AttemptStarted tells that an attempt is about to be sent.
func (a suspects) AttemptStarted(run pomeloroute.SuspectRun) {
	a.n.mail.post(suspectAttemptStarted{suspectRun(run)})
}

// UpstreamCrashed tells that the upstream crashed while the attempt ran.
func (a suspects) UpstreamCrashed(run pomeloroute.SuspectRun) {
	a.n.mail.post(suspectAttemptCrashed{suspectRun(run)})
}

// AttemptEnded tells that the attempt ended otherwise, and whether its answer was whole.
func (a suspects) AttemptEnded(run pomeloroute.SuspectRun, complete bool) {
	a.n.mail.post(suspectAttemptEnded{suspectRun(run), complete})
}

func suspectRun(r pomeloroute.SuspectRun) pomeloquarantine.Run {
	return pomeloquarantine.Run{Request: r.Request, Fingerprint: r.Fingerprint, Upstream: r.Upstream, QuarantineFor: r.QuarantineFor}
}

type suspectWaiter struct {
	run    pomeloquarantine.Run
	answer chan pomeloquarantine.Verdict
}

type suspectCheckRequested struct{ w *suspectWaiter }

func (e suspectCheckRequested) apply(c *control, now time.Time) {
	v := c.quarantine.Check(now, e.w.run, &c.suspectOut)
	if v.Decision != pomeloquarantine.DecisionWait {
		e.w.answer <- v
		return
	}
	c.suspectWaiters[e.w.run.Request] = e.w
}

type suspectCheckCancelled struct{ w *suspectWaiter }

func (e suspectCheckCancelled) apply(c *control, _ time.Time) {
	delete(c.suspectWaiters, e.w.run.Request)
	c.quarantine.Cancel(e.w.run, &c.suspectOut)
}

type suspectAttemptStarted struct{ run pomeloquarantine.Run }

func (e suspectAttemptStarted) apply(c *control, _ time.Time) { c.quarantine.Began(e.run) }

type suspectAttemptCrashed struct{ run pomeloquarantine.Run }

func (e suspectAttemptCrashed) apply(c *control, now time.Time) {
	c.quarantine.Crashed(now, e.run, &c.suspectOut)
}

type suspectAttemptEnded struct {
	run   pomeloquarantine.Run
	complete bool
}

func (e suspectAttemptEnded) apply(c *control, _ time.Time) {
	c.quarantine.Ended(e.run, e.complete, &c.suspectOut)
}

// quarantineLifted is posted when an operator ends a quarantine.
type quarantineLifted struct{ fingerprint pomelorelay.Fingerprint }

func (e quarantineLifted) apply(c *control, now time.Time) {
	c.quarantine.Lift(now, e.fingerprint, &c.suspectOut)
}

// flushSuspects carries out what the quarantine's parts asked for and publishes their state to the traffic path.
func (c *control) flushSuspects() {
	c.out = append(c.out, c.suspectOut.Messages...)
	for _, v := range c.suspectOut.Verdicts {
		if w := c.suspectWaiters[v.Run.Request]; w != nil {
			delete(c.suspectWaiters, v.Run.Request)
			w.answer <- v
		}
	}
	c.suspectOut.Messages = c.suspectOut.Messages[:0]
	c.suspectOut.Verdicts = c.suspectOut.Verdicts[:0]
	if s := c.quarantine.Snapshot(); s != c.n.suspects.Load() {
		c.n.suspects.Store(s)
	}
}
