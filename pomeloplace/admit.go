package pomeloplace

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloroom"
)

// BoundRecompute limits the cached tokens prefilled again when a flood of sessions finds its engines busy, BoundSlots the requests running at an
// engine when answers are long, BoundQueue the wait when prompts exceed the prefill rate, BoundTime the time until the answer begins. In-share
// requests (within the account's share) may use all slots and most of the queue, over-share requests less. BoundGap bounds the difference in what
// accounts get whatever else decides placements.

const (
	// These fractions of the shortest latency target limit the queue delay of in-share and of over-share requests.
	inShareQueueFraction   = 0.45
	overShareQueueFraction = 0.2
	// onTimeFraction is the fraction of the latency target within which the answer must be expected to begin; the remainder allows for the delay by
	// requests that other routers have sent to the engine and not yet reported.
	onTimeFraction = 0.85
	// maxRecomputeTokens is the maximum number of shared tokens that an over-share request may prefill although a busier engine has them cached; an
	// engine processes about as many in one step.
	maxRecomputeTokens = 400
	// minRetryAfter and maxRetryAfter bound the Retry-After of a refusal. The minimum is the time in which an engine frees a slot and load
	// reports of it reach the routers; callers that retry within their target can still be served on time.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)

// latencyTargets holds the strictest latency requirements of the routes to a service.
type latencyTargets struct {
	// target is the shortest time to the first byte or event; maxPause is the shortest limit on the pause between events. Zero means unset. The
	// shortest target limits the queue for all requests: if each request's own target did, requests with a long target would fill the queue and
	// keep out those with a short one.
	target, maxPause time.Duration
}

// latencyTargetsByService returns the latency targets of each service.
func latencyTargetsByService(routes []pomelorelay.Route) map[pomelorelay.ServiceID]latencyTargets {
	all := make(map[pomelorelay.ServiceID]latencyTargets)
	for _, r := range routes {
		for _, s := range r.Shares {
			e := all[s.Service]
			e.target, e.maxPause = minNonZero(e.target, r.TargetLatency), minNonZero(e.maxPause, r.MaxEventGap)
			all[s.Service] = e
		}
	}
	return all
}

// minNonZero returns the shorter of two durations, ignoring those that are not positive.
func minNonZero(a, b time.Duration) time.Duration {
	if a <= 0 || (b > 0 && b < a) {
		return b
	}
	return a
}

// admission is the outcome of an admission check; its zero value admits the request.
type admission struct {
	reason     Reason
	bound      Bound
	retryAfter time.Duration
	reserve    pomeloroom.Outcome
	// maxRunning and maxQueueDelay are the limits that applied.
	maxRunning    int
	maxQueueDelay time.Duration
}

// allowance is the part of an upstream that a request may use.
type allowance struct {
	maxRunning    int
	maxQueueDelay time.Duration
	reason        Reason
	// measured is set if the measured reserve applies. From fixedLimit running requests on, a request must then also leave room for unreported
	// requests (see leavesRoom).
	measured   bool
	fixedLimit int
	// inShareQueueDelay is the longest queue delay of in-share requests.
	inShareQueueDelay time.Duration
	reserve           pomeloroom.Outcome
}

func (p *Placer) allowance(now time.Time, u *upstream, r *Request) allowance {
	disabled, target := &p.cfg.DisabledMechanisms, r.Target
	if !disabled.SharedTarget {
		target = minNonZero(u.pool.target, r.Target)
	}
	slots := u.slots()
	a := allowance{
		maxRunning: slots, maxQueueDelay: scale(inShareQueueFraction, target), reason: ReasonTooLate,
		inShareQueueDelay: scale(inShareQueueFraction, target),
	}
	if !r.WithinShare {
		p.limitOverShare(now, u, r, target, &a)
	}
	if withheld := r.standingAt(u).Withheld; withheld > 0 && !disabled.AheadLimits {
		a.scale(1 - withheld)
	}
	return a
}

// limitOverShare lowers the limits of an over-share request.
func (p *Placer) limitOverShare(now time.Time, u *upstream, r *Request, target time.Duration, a *allowance) {
	a.reason = ReasonOverShare
	if !p.cfg.DisabledMechanisms.SlotReserve {
		// Without the reserve, in-share requests would find engines full of over-share requests.
		p.applyReserve(now, u, a)
	}
	if !p.cfg.DisabledMechanisms.OverShareQueue {
		a.maxQueueDelay = scale(overShareQueueFraction, target)
	}
}

// scale multiplies the limits; an idle upstream stays usable.
func (a *allowance) scale(fraction float64) {
	a.reason = ReasonOverShare
	a.maxQueueDelay = scale(fraction, a.maxQueueDelay)
	a.maxRunning = max(1, int(fraction*float64(a.maxRunning)))
	a.fixedLimit = max(1, int(fraction*float64(a.fixedLimit)))
}

// admit decides whether the request may be sent to its best candidate.
func (p *Placer) admit(now time.Time, c candidate, r *Request) admission {
	if c.timeTooShort(r) {
		return admission{reason: ReasonTimeTooShort, bound: BoundTimeLeft, retryAfter: max(c.queueDelay, minRetryAfter)}
	}
	if s := r.standingAt(c.up); s.Behind != "" && !p.cfg.DisabledMechanisms.AheadLimits {
		// Idle upstreams are closed too: the account behind may be one whose callers reach them through an overloaded router only.
		return admission{reason: ReasonOverShare, bound: BoundGap, retryAfter: max(min(s.Wait, r.Target/2), minRetryAfter)}
	}
	a := p.allowance(now, c.up, r)
	bound := p.exceededBound(now, c, r, a)
	if bound == BoundNone && c.up.engine != nil && c.up.running() >= max(1, a.maxRunning-r.deferredSlots(c.up.slots())) {
		// A bound of its own keeps such refusals out of what the reserve learns from BoundSlots: the engine has free slots.
		bound = BoundPriority
	}
	if bound == BoundNone {
		return admission{reserve: a.reserve, maxRunning: a.maxRunning, maxQueueDelay: a.maxQueueDelay}
	}
	// The request is admissible once the queue delay and the expected latency have both dropped to their limits.
	wait := max(c.queueDelay-a.maxQueueDelay, c.expectedLatency-scale(onTimeFraction, r.Target))
	return admission{
		reason: a.reason, bound: bound, retryAfter: min(max(wait, minRetryAfter), maxRetryAfter), reserve: a.reserve,
		maxRunning: a.maxRunning, maxQueueDelay: a.maxQueueDelay,
	}
}

// minAnswerFraction is the lowest usual ratio of the measured to the expected time to the first token.
const minAnswerFraction = 0.45

// timeTooShort reports whether the caller will have gone before the answer can begin, even without a queue.
func (c *candidate) timeTooShort(r *Request) bool {
	ownTime := c.expectedLatency - c.queueDelay
	return r.MaxWait > 0 && r.MaxWait < scale(minAnswerFraction, ownTime)
}

// exceededBound returns the limit that the request exceeds at the candidate, or BoundNone.
func (p *Placer) exceededBound(now time.Time, c candidate, r *Request, a allowance) Bound {
	ownTime := c.expectedLatency - c.queueDelay
	switch {
	case !r.WithinShare && c.recomputed > maxRecomputeTokens && !p.cfg.DisabledMechanisms.RecomputeLimit:
		return BoundRecompute
	case c.up.engine != nil && c.up.running() >= a.maxRunning:
		return BoundSlots
	case a.measured && c.up.running() >= a.fixedLimit && !p.leavesRoom(now, c, r, a):
		return BoundSlots
	case c.queueDelay > a.maxQueueDelay:
		return BoundQueue
	case c.expectedLatency <= scale(onTimeFraction, r.Target):
		return BoundNone
	case ownTime > r.Target/2 && ownTime < r.MaxWait/2:
		// The prefill of a long prompt takes most of the target by itself; with the target as the limit, the longest prompts would never be
		// served.
		return BoundNone
	}
	return BoundTime
}
