package pomeloplace

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Term names a term of the placement cost.
type Term string

// Cost terms.
const (
	// TermPrefill is the prefill of uncached prompt parts; it keeps the requests of a session on few engines.
	TermPrefill Term = "Read"
	// TermCopy is the copying of cached parts from another engine; it limits the spread of a busy session.
	TermCopy Term = "Copy"
	// TermAffinity is the engine's position in a hash order for the prompt's shared parts; it concentrates parts that no engine has cached yet
	// on few engines.
	TermAffinity Term = "Home"
	// TermWait is the time until the answer begins; it evens out queues.
	TermWait Term = "Wait"
	// TermLateness is the expected latency beyond a fraction of the target; it leaves room for bursts of requests from other routers.
	TermLateness Term = "Late"
	// TermPause is the delay that a long prefill causes to streams on the same engine.
	TermPause Term = "Pause"
	// TermLongEngine keeps streams away from engines assigned to long prompts.
	TermLongEngine Term = "Long"
	// TermOccupancy is the occupancy of a plain upstream's slots; it evens out load before queues form.
	TermOccupancy Term = "Crowd"
	// TermRegion is the traffic to another region, which operators pay for.
	TermRegion Term = "Region"
	// TermMemory is the cost of evicting running requests when an engine's memory is full.
	TermMemory Term = "Memory"
	// TermFailures is the recent failure rate of the upstream.
	TermFailures Term = "Fail"
)

const (
	// prefillWeight weights prefill time, which delays later requests; prefilling a shared prompt part on another engine also evicts other parts
	// there.
	prefillWeight = 4.5
	// copyWeight weights copy time: a copied part occupies memory on two engines and evicts other parts.
	copyWeight = 2.5
	// waitWeight weights the expected latency. It is small, since the choice between engines matters little while answers begin well within the
	// target.
	waitWeight = 0.1
	// latenessThreshold is the fraction of the target beyond which expected latency has an additional cost of latenessWeight per millisecond:
	// requests of other routers that are not reported yet may delay the answer past its target. A larger weight would move requests from short
	// queues to engines where they delay streams.
	latenessThreshold = 0.55
	latenessWeight    = 1.0
	// occupancyWeight is the cost of a plain upstream with all slots taken; the cost grows with the square of the occupied fraction.
	occupancyWeight = 50 * time.Millisecond
	// crossRegionTokens is the cost of the traffic of a request and its answer between regions, expressed as prefill tokens.
	crossRegionTokens = 1000
	// pauseRampStart and pauseRampEnd are prefill durations as fractions of the maximum pause; between them, the fraction of concurrent
	// streams that exceed the maximum pause rises from 0 to 1.
	pauseRampStart = 0.7
	pauseRampEnd   = 1.05
	// longPauseCost is the cost in engine time of one stream with too long a pause. It is several times the actual loss, to keep long
	// prefills away from streams even when a pause is uncertain.
	longPauseCost = 400 * time.Millisecond
	// failureCost is the cost of an upstream that fails every request, compared to one that fails none. An engine whose memory the request would
	// overfill has the same cost.
	failureCost = 3 * time.Second
	// affinityStep is the cost added for each position in the hash order of a prompt's shared parts, up to maxAffinityCost. It lets all routers
	// send uncached parts to the same few engines, whatever the number of engines. With a small step, the first ten of a hundred engines would
	// have nearly equal costs.
	affinityStep    = 8 * time.Millisecond
	maxAffinityCost = 60 * time.Millisecond
	// initialRegionLatency is the initial estimate of the additional round-trip time to another region.
	initialRegionLatency = 20 * time.Millisecond
	// regionLatencyAlpha is the weight of a new sample in the moving average; times to first token vary much more than the round trip.
	regionLatencyAlpha = 0.005
	// slotFreeInterval is the approximate time until one of an engine's slots becomes free where it is not learnt: runs take seconds, and a large
	// engine has dozens of slots.
	slotFreeInterval = 80 * time.Millisecond
)

// candidate is an upstream under consideration for a request, with the estimates for sending the request there.
type candidate struct {
	up             *upstream
	prefillTokens  pomelorelay.Tokens
	uncachedShared pomelorelay.Tokens
	// recomputed is the number of shared tokens to prefill here that another upstream has cached.
	recomputed pomelorelay.Tokens
	queueDelay time.Duration
	// copyFrom is the engine from which copiedTokens are copied; nil when nothing is copied.
	copyFrom     *upstream
	copiedTokens pomelorelay.Tokens
	// expectedLatency is the estimated time until the answer begins; cost orders the candidates.
	expectedLatency time.Duration
	cost            time.Duration
	// largestTerm is the largest term of the cost; largestCost is its value.
	largestTerm Term
	largestCost time.Duration
}

// addCost adds a term in engine time: the delay to this request and to others on the engine.
func (c *candidate) addCost(term Term, cost time.Duration) {
	c.cost += cost
	if cost > c.largestCost {
		c.largestTerm, c.largestCost = term, cost
	}
}

// prefillPlan is how an engine gets the tokens of a prompt that it does not have cached: which of them it copies, and the prefill of the others.
type prefillPlan struct {
	// uncached and rate are the input of the plan: the number of uncached tokens, and the engine's prefill rate in tokens per millisecond.
	uncached pomelorelay.Tokens
	rate     float64
	// copyFrom is the engine from which copiedTokens are copied in copyTime; nil when nothing is copied.
	copyFrom     *upstream
	copiedTokens pomelorelay.Tokens
	copyTime     time.Duration
	// prefillTokens is the work of the prefill and prefill its time.
	prefillTokens pomelorelay.Tokens
	prefill       time.Duration
	// uncachedShared is the number of shared tokens in the prefill.
	uncachedShared pomelorelay.Tokens
	// cost is the sum of the costs of prefill and copy.
	cost time.Duration
}

// newPrefillPlan returns the plan for the engine.
func (p *Placer) newPrefillPlan(u *upstream, from copySource, uncached pomelorelay.Tokens, rate float64, r *Request) prefillPlan {
	plan := prefillPlan{uncached: uncached, rate: rate}
	p.planCopy(&plan, u, from)
	uncached -= plan.copiedTokens
	plan.prefillTokens = prefillWork(uncached, r.PromptTokens)
	plan.uncachedShared = max(0, uncached-r.ownTokens())
	plan.prefill = prefillTimeAt(rate, float64(plan.prefillTokens))
	plan.cost = scale(prefillWeight, plan.prefill) + scale(copyWeight, plan.copyTime)
	return plan
}

// evaluate returns the candidate with its cost, given the plan of its prefill.
func (p *Placer) evaluate(now time.Time, u *upstream, plan *prefillPlan, r *Request) candidate {
	c := candidate{
		up: u, queueDelay: u.queueDelay(now), prefillTokens: plan.prefillTokens, uncachedShared: plan.uncachedShared,
		copyFrom: plan.copyFrom, copiedTokens: plan.copiedTokens,
	}
	c.expectedLatency = c.queueDelay + p.regionLatency(u)
	disabled := &p.cfg.DisabledMechanisms
	if u.otherRegion && !disabled.RegionCost {
		c.addCost(TermRegion, u.poolPrefillTime(crossRegionTokens))
	}
	if !disabled.FailureCost {
		c.addCost(TermFailures, time.Duration(u.decayedFailureRate(now)*float64(failureCost)))
	}
	if u.engine == nil {
		c.expectedLatency += u.expectedServiceTime()
		c.addCost(TermWait, c.expectedLatency)
		c.addCost(TermOccupancy, occupancyCost(u))
		return c
	}
	p.evaluateEngine(now, &c, plan, r)
	return c
}

func (p *Placer) evaluateEngine(now time.Time, c *candidate, plan *prefillPlan, r *Request) {
	u, disabled := c.up, &p.cfg.DisabledMechanisms
	c.expectedLatency += plan.prefill + plan.copyTime + u.firstTokenOverhead()
	c.addCost(TermPrefill, scale(prefillWeight, plan.prefill))
	c.addCost(TermCopy, scale(copyWeight, plan.copyTime))
	if !disabled.PrefixAffinity {
		c.addCost(TermAffinity, affinityCost(u, r))
	}
	if !disabled.WaitCost {
		c.addCost(TermWait, scale(waitWeight, c.expectedLatency))
		c.addCost(TermLateness, scale(latenessWeight, max(0, c.expectedLatency-scale(latenessThreshold, r.Target))))
	}
	if !disabled.PauseCost {
		c.addCost(TermPause, u.pauseCost(now, c.queueDelay, plan.prefill)+u.slowPauseCost(r))
	}
	if !disabled.LongEngines {
		c.addCost(TermLongEngine, longEngineCost(u, r, c.prefillTokens))
	}
	c.addCost(TermWait, p.fullCost(now, u, r))
	if u.memoryFull(r.PromptTokens + r.OutputTokens) {
		c.expectedLatency += u.slotInterval(now)
		c.addCost(TermMemory, failureCost)
	}
}

// regionLatency returns the additional round-trip time to the upstream, compared to one in this router's region.
func (p *Placer) regionLatency(u *upstream) time.Duration {
	if !u.otherRegion {
		return 0
	}
	rtt, known := p.regionLatencies[u.region]
	if !known {
		return initialRegionLatency
	}
	return rtt
}

// updateRegionLatency updates the round-trip estimate with the excess of a time to first token over its estimate without the round trip.
func (p *Placer) updateRegionLatency(u *upstream, excess time.Duration) {
	if !u.otherRegion {
		return
	}
	rtt := p.regionLatency(u)
	sample := min(max(excess, -rtt), 3*rtt+initialRegionLatency)
	p.regionLatencies[u.region] = max(0, rtt+scale(regionLatencyAlpha, sample-rtt))
}

// ownTokens returns the size of the last prompt part, which no other request shares.
func (r *Request) ownTokens() pomelorelay.Tokens {
	if len(r.Parts) == 0 {
		return r.PromptTokens
	}
	return r.Parts[len(r.Parts)-1].Tokens
}

func occupancyCost(u *upstream) time.Duration {
	occupied := float64(u.occupied()) / float64(u.slots())
	return scale(occupied*occupied, occupancyWeight)
}

// busyFor returns how long the engine has been prefilling without interruption.
func (u *upstream) busyFor(now time.Time) time.Duration {
	if u.busySince.IsZero() {
		return 0
	}
	return now.Sub(u.busySince)
}

// pauseCost returns the cost of the pauses that a prompt's prefill causes to the engine's streams. The fraction of streams that pause too long
// is the larger of two estimates. The first assumes a pause as long as the backlog and this prefill; the second is the increase that this
// prefill causes if the pause began with the engine's current uninterrupted prefill.
func (u *upstream) pauseCost(now time.Time, backlog, prefill time.Duration) time.Duration {
	if u.pool.maxPause <= 0 {
		return 0
	}
	before := u.busyFor(now) + backlog
	lateFraction := max(u.pausedFraction(backlog+prefill), u.pausedFraction(before+prefill)-u.pausedFraction(before))
	return scale(u.pool.pauseWeight*lateFraction*float64(u.occupied()), longPauseCost)
}

// pausedFraction returns the fraction of streams whose pause is too long after an uninterrupted prefill of the given duration.
func (u *upstream) pausedFraction(prefill time.Duration) float64 {
	excess := (float64(prefill)/float64(u.pool.maxPause) - pauseRampStart) / (pauseRampEnd - pauseRampStart)
	return min(max(excess, 0), 1)
}

func affinityCost(u *upstream, r *Request) time.Duration {
	if len(r.Parts) < 2 {
		return 0
	}
	// The last part belongs to this request alone; the one before it ends the longest shared prefix.
	sharedHash := r.Parts[len(r.Parts)-2].Hash
	position := float64(len(u.pool.upstreams)) * float64(mix(sharedHash^u.idHash)>>11) / (1 << 53)
	return min(maxAffinityCost, scale(position, affinityStep))
}

// mix spreads the bits of a number evenly, like the finalizer of MurmurHash3.
func mix(n uint64) uint64 {
	n ^= n >> 33
	n *= 0xff51afd7ed558ccd
	n ^= n >> 33
	n *= 0xc4ceb9fe1a85ec53
	return n ^ n>>33
}

// scale returns the duration multiplied by the factor.
func scale(factor float64, d time.Duration) time.Duration { return time.Duration(factor * float64(d)) }
