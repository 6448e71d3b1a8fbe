package pomeloplace

import (
	"math"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// A request is admitted to the best upstream for it unless one of these bounds is passed. Each answers another load:
//
//   - Again: a flood of sessions whose engines are busy. Their shared parts would be read by engines that others need.
//   - Slots: more long answers than engines run at once.
//   - Queue: more prompts than engines read. What waits is bounded by the shortest target of the service's routes, for all requests alike:
//     bounded by each request's own, those that can wait for long would fill the queue and keep out those that cannot.
//   - Time: a request that would begin too late wherever it went.
//
// Requests that their account is owed may use all of the slots and most of the queue. What is beyond a share fills what is left, and
// what belongs to an account that is ahead of one that is short fills less the further it is ahead.

const (
	// inShareQueueFraction, freeQueue and aheadQueue are the parts of the shortest target that may wait before a request within its account's share,
	// one beyond it, and one of an account that is ahead of one that is short. The last, and the slots that it may fill, fall with the square
	// of the lead, down to aheadLeast of them: callers call it unfair when one account gets twice as much as another that is short.
	inShareQueueFraction   = 0.45
	overShareQueueFraction = 0.2
	aheadQueueFraction     = 0.15
	minAheadFraction       = 0.4
	// onTimeFraction is the part of its target within which an answer must be expected to begin; the rest is for what other routers sent meanwhile.
	onTimeFraction = 0.85
	// slotReserveFactor is how many times the square root of an engine's slots is kept free of requests beyond shares: what other routers send
	// meanwhile differs by about that root, and would find an engine full that was filled with requests beyond their accounts' shares.
	// reserveMost is the largest part of the slots that is kept free so: engines of few slots would run nothing else.
	slotReserveFactor  = 3.0
	maxReserveFraction = 0.4
	// yieldedSlotFraction is the part of the slots that an account leaves to one that is short by far, times how far it is ahead, up to yieldMost.
	yieldedSlotFraction    = 0.1
	maxYieldedSlotFraction = 0.35
	// maxRecomputeTokens is the most shared tokens that a request beyond its account's share may make an engine read though another one, which is
	// too busy, keeps them: about what an engine reads in one step.
	maxRecomputeTokens = 400
	// minRetryAfter and mostRetry bound the Retry-After of a refusal. The least is the time after which an engine has a free slot again
	// and the routers have its report. Callers that come back within their target still get their answer in time.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)

// latencyTargets is what the callers of a service's routes expect of it.
type latencyTargets struct {
	// target is the shortest time to the first of an answer, pause the shortest of the longest pauses between events; zero when no
	// route says.
	target, maxPause time.Duration
}

// latencyTargetsByService returns what the routes say of each service.
func latencyTargetsByService(routes []pomelorelay.Route) map[pomelorelay.ServiceID]latencyTargets {
	all := make(map[pomelorelay.ServiceID]latencyTargets)
	for _, r := range routes {
		for _, s := range r.Shares {
			e := all[s.Service]
			e.target, e.maxPause = minNonZero(e.target, r.Target), minNonZero(e.maxPause, r.Pause)
			all[s.Service] = e
		}
	}
	return all
}

// minNonZero returns the shorter of two times of which zero says nothing.
func minNonZero(a, b time.Duration) time.Duration {
	if a <= 0 || (b > 0 && b < a) {
		return b
	}
	return a
}

// admission is whether a request is admitted, and when it may come back otherwise.
type admission struct {
	reason     Reason
	bound      Bound
	retryAfter time.Duration
}

// allowance is how much of an upstream a request may use.
type allowance struct {
	maxRunning    int
	maxQueueDelay time.Duration
	reason        Reason
}

func (p *Placer) allowance(u *upstream, r *Request) allowance {
	disabled, target := &p.cfg.Without, r.Target
	if !disabled.SharedTarget {
		target = minNonZero(u.pool.target, r.Target)
	}
	slots := u.slots()
	a := allowance{maxRunning: slots, maxQueueDelay: scale(inShareQueueFraction, target), reason: ReasonLate}
	if r.Ahead > 1 && !disabled.Ahead {
		reserve := min(yieldedSlotFraction*r.Ahead, maxYieldedSlotFraction)
		a.maxRunning = max(1, slots-int(math.Ceil(reserve*float64(slots))))
	}
	if r.Owed {
		return a
	}
	a.reason = ReasonShare
	if !disabled.SlotReserve {
		reserve := min(slotReserveFactor*math.Sqrt(float64(slots)), maxReserveFraction*float64(slots))
		a.maxRunning = max(1, int(float64(slots)-reserve))
	}
	if !disabled.FreeQueue {
		a.maxQueueDelay = scale(overShareQueueFraction, target)
	}
	if r.Lead > 1 && !disabled.Ahead {
		fraction := max(1/(r.Lead*r.Lead), minAheadFraction)
		a.maxQueueDelay = scale(aheadQueueFraction*fraction, target)
		a.maxRunning = max(1, int(fraction*float64(a.maxRunning)))
	}
	return a
}

// admit decides whether the request may go to the best candidate for it.
func (p *Placer) admit(c candidate, r *Request) admission {
	a := p.allowance(c.up, r)
	bound := p.exceededBound(c, r, a)
	if bound == BoundNone {
		return admission{}
	}
	// When what waits has fallen to what the request may join.
	wait := max(c.queueDelay-a.maxQueueDelay, c.expectedLatency-scale(onTimeFraction, r.Target))
	return admission{reason: a.reason, bound: bound, retryAfter: min(max(wait, minRetryAfter), maxRetryAfter)}
}

// exceededBound returns the bound that the request is over at the candidate.
func (p *Placer) exceededBound(c candidate, r *Request, a allowance) Bound {
	ownTime := c.expectedLatency - c.queueDelay
	switch {
	case !r.Owed && c.recomputed > maxRecomputeTokens && !p.cfg.Without.ReadAgain:
		return BoundRecompute
	case c.up.engine != nil && c.up.running() >= a.maxRunning:
		return BoundSlots
	case c.queueDelay > a.maxQueueDelay:
		return BoundQueue
	case c.expectedLatency <= scale(onTimeFraction, r.Target):
		return BoundNone
	case ownTime > r.Target/2 && ownTime < r.Left/2:
		// A long prompt takes most of its target by itself. Held to it, the largest would never be served.
		return BoundNone
	}
	return BoundTime
}
