package pomelonode

import (
	"context"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloquarantine"
	"github.com/pomelorelay/pomelorelay/pomeloroute"
)

// suspects implements pomeloroute.Suspects. It answers from a snapshot of suspected and quarantined requests where it can, and posts
// everything else to the control goroutine.
type suspects struct{ n *Node }

// CheckQuarantine fails with CodeQuarantined while requests with the fingerprint, or with the prompt parts, are quarantined.
func (a suspects) CheckQuarantine(f pomelorelay.Fingerprint, sharedParts []pomelorelay.Fingerprint) error {
	now := a.n.cfg.Clock.Now()
	remaining := max(a.n.suspects.Load().QuarantineRemaining(now, f), a.n.crashedParts.Load().QuarantineRemaining(now, sharedParts...))
	if remaining <= 0 {
		return nil
	}
	return quarantineError(remaining)
}

func quarantineError(remaining time.Duration) error {
	e := pomelorelay.NewError(pomelorelay.CodeQuarantined, "", nil)
	e.RetryAfter = remaining
	return e
}

// AwaitPermission returns nil immediately for a request that is not suspected of crashing upstreams. A suspected request waits for the
// decision of the routers that arbitrate for its fingerprint and for the upstream.
func (a suspects) AwaitPermission(ctx context.Context, run pomeloroute.SuspectRun) error {
	if !run.KnownSuspect && !a.n.suspects.Load().IsSuspect(run.Fingerprint) {
		return nil
	}
	w := &suspectWaiter{run: suspectRun(run), answer: make(chan pomeloquarantine.Verdict, 1)}
	a.n.mail.post(suspectCheckRequested{w})
	select {
	case v := <-w.answer:
		return a.verdictError(v)
	case <-ctx.Done():
		a.n.mail.post(suspectCheckCancelled{w})
		return pomelorelay.NewError(pomelorelay.CodeSuspectHeld, "", ctx.Err())
	}
}

// verdictError converts a decision into an error. A request that may run is refused nevertheless if its upstream has started leaving: the
// decision may have taken seconds, and the upstream would get new work long after the host list showed it as leaving.
func (a suspects) verdictError(v pomeloquarantine.Verdict) error {
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

// AttemptStarted reports that an attempt is about to be sent.
func (a suspects) AttemptStarted(run pomeloroute.SuspectRun) {
	a.n.mail.post(suspectAttemptStarted{suspectRun(run), run.SharedParts})
}

// UpstreamCrashed reports that the upstream crashed while the attempt ran.
func (a suspects) UpstreamCrashed(run pomeloroute.SuspectRun) {
	a.n.mail.post(suspectAttemptCrashed{suspectRun(run), run.SharedParts})
}

// AttemptEnded reports that the attempt ended without a crash, and whether its answer was complete and no server error.
func (a suspects) AttemptEnded(run pomeloroute.SuspectRun, served bool) {
	a.n.mail.post(suspectAttemptEnded{suspectRun(run), run.SharedParts, served})
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

type suspectAttemptStarted struct {
	run         pomeloquarantine.Run
	sharedParts []pomelorelay.Fingerprint
}

func (e suspectAttemptStarted) apply(c *control, _ time.Time) {
	c.quarantine.Began(e.run)
	c.crashedParts.began(e.run, e.sharedParts)
}

type suspectAttemptCrashed struct {
	run         pomeloquarantine.Run
	sharedParts []pomelorelay.Fingerprint
}

func (e suspectAttemptCrashed) apply(c *control, now time.Time) {
	c.quarantine.Crashed(now, e.run, &c.suspectOut)
	c.sendCrashedParts(c.crashedParts.crashed(now, e.run, e.sharedParts))
}

type suspectAttemptEnded struct {
	run         pomeloquarantine.Run
	sharedParts []pomelorelay.Fingerprint
	served      bool
}

func (e suspectAttemptEnded) apply(c *control, now time.Time) {
	c.quarantine.Ended(e.run, e.served, &c.suspectOut)
	c.sendCrashedParts(c.crashedParts.ended(now, e.run, e.sharedParts, e.served))
}

// quarantineLifted is posted when an operator lifts a quarantine.
type quarantineLifted struct{ fingerprint pomelorelay.Fingerprint }

func (e quarantineLifted) apply(c *control, now time.Time) {
	c.quarantine.Lift(now, e.fingerprint, &c.suspectOut)
	c.sendCrashedParts(c.crashedParts.log.Answered(now, e.fingerprint))
}

// flushSuspects sends the messages and delivers the verdicts of the quarantine components, and publishes their snapshot for the goroutines
// that handle requests.
func (c *control) flushSuspects() {
	c.outgoing = append(c.outgoing, c.suspectOut.Messages...)
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
	if s := c.crashedParts.log.Snapshot(); s != c.n.crashedParts.Load() {
		c.n.crashedParts.Store(s)
	}
}
