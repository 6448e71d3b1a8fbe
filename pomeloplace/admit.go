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
	// owedQueue, freeQueue and aheadQueue are the parts of the shortest target that may wait before a request within its account's share,
	// one beyond it, and one of an account that is ahead of one that is short. The last, and the slots that it may fill, fall with the square
	// of the lead, down to aheadLeast of them: callers call it unfair when one account gets twice as much as another that is short.
	owedQueue  = 0.45
	freeQueue  = 0.2
	aheadQueue = 0.15
	aheadLeast = 0.4
	// inTime is the part of its target within which an answer must be expected to begin; the rest is for what other routers sent meanwhile.
	inTime = 0.85
	// slotReserve is how many times the square root of an engine's slots is kept free of requests beyond shares: what other routers send
	// meanwhile differs by about that root, and would find an engine full that was filled with requests beyond their accounts' shares.
	// reserveMost is the largest part of the slots that is kept free so: engines of few slots would run nothing else.
	slotReserve = 3.0
	reserveMost = 0.4
	// yieldReserve is the part of the slots that an account leaves to one that is short by far, times how far it is ahead, up to yieldMost.
	yieldReserve = 0.1
	yieldMost    = 0.35
	// freeAgain is the most shared tokens that a request beyond its account's share may make an engine read though another one, which is
	// too busy, keeps them: about what an engine reads in one step.
	freeAgain = 400
	// leastRetry and mostRetry bound the Retry-After of a refusal. The least is the time after which an engine has a free slot again
	// and the routers have its report. Callers that come back within their target still get their answer in time.
	leastRetry = 100 * time.Millisecond
	mostRetry  = 3 * time.Second
)

// expectation is what the callers of a service's routes expect of it.
type expectation struct {
	// target is the shortest time to the first of an answer, pause the shortest of the longest pauses between events; zero when no
	// route says.
	target, pause time.Duration
}

// expectations returns what the routes say of each service.
func expectations(routes []pomelorelay.Route) map[pomelorelay.ServiceID]expectation {
	all := make(map[pomelorelay.ServiceID]expectation)
	for _, r := range routes {
		for _, s := range r.Shares {
			e := all[s.Service]
			e.target, e.pause = shorter(e.target, r.TargetLatency), shorter(e.pause, r.MaxEventGap)
			all[s.Service] = e
		}
	}
	return all
}

// shorter returns the shorter of two times of which zero says nothing.
func shorter(a, b time.Duration) time.Duration {
	if a <= 0 || (b > 0 && b < a) {
		return b
	}
	return a
}

// verdict is whether a request is admitted, and when it may come back otherwise.
type verdict struct {
	reason     Reason
	bound      Bound
	retryAfter time.Duration
}

// allowance is how much of an upstream a request may use.
type allowance struct {
	slots  int
	queue  time.Duration
	reason Reason
}

func (p *Placer) allowance(u *upstream, r *Request) allowance {
	off, target := &p.cfg.Disabled, r.Target
	if !off.SharedTarget {
		target = shorter(u.pool.target, r.Target)
	}
	slots := u.slots()
	a := allowance{slots: slots, queue: part(owedQueue, target), reason: ReasonTooLate}
	if r.LeadOverLeastServed > 1 && !off.Ahead {
		reserve := min(yieldReserve*r.LeadOverLeastServed, yieldMost)
		a.slots = max(1, slots-int(math.Ceil(reserve*float64(slots))))
	}
	if r.WithinShare {
		return a
	}
	a.reason = ReasonOverShare
	if !off.SlotReserve {
		reserve := min(slotReserve*math.Sqrt(float64(slots)), reserveMost*float64(slots))
		a.slots = max(1, int(float64(slots)-reserve))
	}
	if !off.FreeQueue {
		a.queue = part(freeQueue, target)
	}
	if r.LeadOverLevel > 1 && !off.Ahead {
		behind := max(1/(r.LeadOverLevel*r.LeadOverLevel), aheadLeast)
		a.queue = part(aheadQueue*behind, target)
		a.slots = max(1, int(behind*float64(a.slots)))
	}
	return a
}

// admit decides whether the request may go to the best candidate for it.
func (p *Placer) admit(c candidate, r *Request) verdict {
	a := p.allowance(c.up, r)
	bound := p.bound(c, r, a)
	if bound == BoundNone {
		return verdict{}
	}
	// When what waits has fallen to what the request may join.
	wait := max(c.backlog-a.queue, c.expected-part(inTime, r.Target))
	return verdict{reason: a.reason, bound: bound, retryAfter: min(max(wait, leastRetry), mostRetry)}
}

// bound returns the bound that the request is over at the candidate.
func (p *Placer) bound(c candidate, r *Request, a allowance) Bound {
	own := c.expected - c.backlog
	switch {
	case !r.WithinShare && c.again > freeAgain && !p.cfg.Disabled.ReadAgain:
		return BoundAgain
	case c.up.engine != nil && c.up.running() >= a.slots:
		return BoundSlots
	case c.backlog > a.queue:
		return BoundQueue
	case c.expected <= part(inTime, r.Target):
		return BoundNone
	case own > r.Target/2 && own < r.MaxWait/2:
		// A long prompt takes most of its target by itself. Held to it, the largest would never be served.
		return BoundNone
	}
	return BoundTime
}
