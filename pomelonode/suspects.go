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

// Refuse fails with CodeQuarantined while the fingerprint is quarantined.
func (a suspects) Refuse(f pomelorelay.Fingerprint) error {
	left := a.n.suspects.Load().QuarantineRemaining(a.n.cfg.Clock.Now(), f)
	if left <= 0 {
		return nil
	}
	return quarantined(left)
}

func quarantined(left time.Duration) error {
	e := pomelorelay.NewError(pomelorelay.CodeQuarantined, "", nil)
	e.RetryAfter = left
	return e
}

// Check lets a request that is no suspect run at once; a suspect waits for the arbiters' word.
func (a suspects) Check(ctx context.Context, run pomeloroute.SuspectRun) error {
	if !run.Known && !a.n.suspects.Load().IsSuspect(run.Fingerprint) {
		return nil
	}
	w := &suspectWaiter{run: suspectRun(run), answer: make(chan pomeloquarantine.Verdict, 1)}
	a.n.mail.post(suspectAsked{w})
	select {
	case v := <-w.answer:
		return a.verdict(v)
	case <-ctx.Done():
		a.n.mail.post(suspectCancelled{w})
		return pomelorelay.NewError(pomelorelay.CodeSuspectHeld, "", ctx.Err())
	}
}

// verdict turns a decision into an error. The turn may have come after seconds: an upstream that has begun to leave
// meanwhile would be seen to get new work long after the host list said so.
func (a suspects) verdict(v pomeloquarantine.Verdict) error {
	switch v.Decision {
	case pomeloquarantine.DecisionRun:
		if a.n.traffic.Load().left[v.Run.Upstream] {
			return pomelorelay.NewError(pomelorelay.CodeNoUpstream, "the upstream leaves", nil)
		}
		return nil
	case pomeloquarantine.DecisionQuarantined:
		return quarantined(v.RetryAfter)
	}
	e := pomelorelay.NewError(pomelorelay.CodeSuspectHeld, "", nil)
	e.RetryAfter = v.RetryAfter
	return e
}

// Began tells that an attempt is about to be sent.
func (a suspects) Began(run pomeloroute.SuspectRun) { a.n.mail.post(suspectBegan{suspectRun(run)}) }

// Crashed tells that the upstream crashed while the attempt ran.
func (a suspects) Crashed(run pomeloroute.SuspectRun) {
	a.n.mail.post(suspectCrashed{suspectRun(run)})
}

// Ended tells that the attempt ended otherwise, and whether its answer was whole.
func (a suspects) Ended(run pomeloroute.SuspectRun, clean bool) {
	a.n.mail.post(suspectEnded{suspectRun(run), clean})
}

func suspectRun(r pomeloroute.SuspectRun) pomeloquarantine.Run {
	return pomeloquarantine.Run{Request: r.Request, Fingerprint: r.Fingerprint, Upstream: r.Upstream, QuarantineFor: r.QuarantineFor}
}

type suspectWaiter struct {
	run    pomeloquarantine.Run
	answer chan pomeloquarantine.Verdict
}

type suspectAsked struct{ w *suspectWaiter }

func (e suspectAsked) apply(c *control, now time.Time) {
	v := c.table.Check(now, e.w.run, &c.suspectOut)
	if v.Decision != pomeloquarantine.DecisionWait {
		e.w.answer <- v
		return
	}
	c.suspectWaiters[e.w.run.Request] = e.w
}

type suspectCancelled struct{ w *suspectWaiter }

func (e suspectCancelled) apply(c *control, _ time.Time) {
	delete(c.suspectWaiters, e.w.run.Request)
	c.table.Cancel(e.w.run, &c.suspectOut)
}

type suspectBegan struct{ run pomeloquarantine.Run }

func (e suspectBegan) apply(c *control, _ time.Time) { c.table.Began(e.run) }

type suspectCrashed struct{ run pomeloquarantine.Run }

func (e suspectCrashed) apply(c *control, now time.Time) {
	c.table.Crashed(now, e.run, &c.suspectOut)
}

type suspectEnded struct {
	run   pomeloquarantine.Run
	clean bool
}

func (e suspectEnded) apply(c *control, _ time.Time) {
	c.table.Ended(e.run, e.clean, &c.suspectOut)
}

// lifted is posted when an operator ends a quarantine.
type lifted struct{ fingerprint pomelorelay.Fingerprint }

func (e lifted) apply(c *control, now time.Time) { c.table.Lift(now, e.fingerprint, &c.suspectOut) }

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
	if s := c.table.Snapshot(); s != c.n.suspects.Load() {
		c.n.suspects.Store(s)
	}
}
