package pomeloplace

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Term names a part of what it costs to send a request to an upstream.
type Term string

// The terms, and the load that each answers.
const (
	// TermPrefill is the reading of what the engine does not keep: sessions whose parts are spread over too many engines.
	TermPrefill Term = "Read"
	// TermCopy is the copying of parts that another engine keeps: crowds at one session's engine.
	TermCopy Term = "Copy"
	// TermAffinity is the engine's place in the order of those that begin to keep a part: sessions that nobody has read yet.
	TermAffinity Term = "Home"
	// TermWait is the time until the answer begins: uneven queues.
	TermWait Term = "Wait"
	// TermLateness is the part of it that other routers' requests may push past the target: bursts.
	TermLateness Term = "Late"
	// TermPause is what running streams lose beside long reading: long prompts among streams.
	TermPause Term = "Pause"
	// TermLongEngine keeps streams away from the engines of long prompts.
	TermLongEngine Term = "Long"
	// TermOccupancy is the slots of a plain upstream that are taken: uneven loads that do not wait yet.
	TermOccupancy Term = "Crowd"
	// TermRegion is the bytes to another region, which operators pay for.
	TermRegion Term = "Region"
	// TermMemory is what an engine loses that must evict running requests.
	TermMemory Term = "Memory"
	// TermFailures is upstreams that fail requests.
	TermFailures Term = "Fail"
)

const (
	// prefillWeight is how much reading counts: it takes the engine's time from what comes after, and shared parts that are read once more
	// push others out of its memory.
	prefillWeight = 4.5
	// copyWeight is how much the time of a copy counts: copied parts take memory at two engines, and others lose theirs.
	copyWeight = 2.5
	// waitWeight is how much a wait counts that ends well within the target; waiting at one engine or the other is nearly the same.
	waitWeight = 0.1
	// latenessThreshold is the part of the target up to which a wait is calm; beyond, each millisecond counts lateWeight times more, since
	// other routers' requests that are not yet known may push the answer past its target. A larger weight would send requests away from short
	// queues into the way of streams.
	latenessThreshold = 0.55
	latenessWeight    = 1.0
	// occupancyWeight is the cost of a plain upstream's last free slot, growing with the square of the part that is taken.
	occupancyWeight = 50 * time.Millisecond
	// crossRegionTokens is what the bytes of a request to another region and of its answer cost, in tokens that an engine could read.
	crossRegionTokens = 1000
	// pauseRampStart and pauseTo are the lengths of uninterrupted reading, as parts of the pause that callers accept, between which the streams
	// that run beside it become late.
	pauseRampStart = 0.7
	pauseRampEnd   = 1.05
	// longPauseCost is what one late stream counts, in an engine's time: several times what it is worth, which keeps long reading away from
	// streams before it is certain.
	longPauseCost = 400 * time.Millisecond
	// failureCost is what an upstream that fails every request is behind one that fails none.
	failureCost = 3 * time.Second
	// affinityStep is what each engine is behind the one before it in the order that a hash gives a prompt's shared parts, and homeMost the
	// most that one can be behind the first. Requests for a part that no engine is known to keep then begin at the same few engines from
	// every router, whatever the number of engines. With a small step, the first ten of a hundred engines would be nearly equal.
	affinityStep    = 8 * time.Millisecond
	maxAffinityCost = 60 * time.Millisecond
	// initialRegionLatency is the first guess of the round trip to another region, beyond one within the own; it is learnt from then on.
	initialRegionLatency = 20 * time.Millisecond
	// regionLatencyAlpha is the weight of a new sample in its running mean: times to first tokens vary by much more than the round trip.
	regionLatencyAlpha = 0.005
	// slotFreeInterval is about how long it takes until one of an engine's slots is free: seconds of a run, by dozens of slots.
	slotFreeInterval = 80 * time.Millisecond
)

// candidate is an upstream weighed for a request.
type candidate struct {
	up             *upstream
	prefillTokens  pomelorelay.Tokens
	uncachedShared pomelorelay.Tokens
	// recomputed are the shared tokens that it must read though another upstream keeps them.
	recomputed pomelorelay.Tokens
	queueDelay time.Duration
	// copyFrom is the engine from which copied tokens are copied instead of read; nil when none are.
	copyFrom     *upstream
	copiedTokens pomelorelay.Tokens
	// expectedLatency is the time until the answer begins, cost orders the candidates.
	expectedLatency time.Duration
	cost            time.Duration
	// largestTerm is the largest part of the cost, largestCost what it is.
	largestTerm Term
	largestCost time.Duration
}

// addCost counts a part of the cost, in an engine's time: what the request and those beside it lose by going there.
func (c *candidate) addCost(term Term, cost time.Duration) {
	c.cost += cost
	if cost > c.largestCost {
		c.largestTerm, c.largestCost = term, cost
	}
}

// evaluate returns a candidate with its cost.
func (p *Placer) evaluate(now time.Time, u *upstream, from copySource, r *Request) candidate {
	c := candidate{up: u, queueDelay: u.queueDelay(now)}
	c.expectedLatency = c.queueDelay + p.regionLatency(u)
	disabled := &p.cfg.Without
	if u.otherRegion && !disabled.Regions {
		c.addCost(TermRegion, u.poolPrefillTime(crossRegionTokens))
	}
	if !disabled.Failures {
		c.addCost(TermFailures, time.Duration(u.decayedFailureRate(now)*float64(failureCost)))
	}
	if u.engine == nil {
		c.expectedLatency += u.serviceTime
		c.addCost(TermWait, c.expectedLatency)
		c.addCost(TermOccupancy, occupancyCost(u))
		return c
	}
	p.evaluateEngine(now, &c, from, r)
	return c
}

func (p *Placer) evaluateEngine(now time.Time, c *candidate, from copySource, r *Request) {
	u, disabled := c.up, &p.cfg.Without
	uncached := u.cache.uncached(r)
	copyTime := p.planCopy(c, from, uncached)
	uncached -= c.copiedTokens
	c.prefillTokens = prefillWork(uncached, r.Prompt)
	c.uncachedShared = max(0, uncached-r.ownTokens())
	prefill := u.prefillTime(float64(c.prefillTokens))
	c.expectedLatency += prefill + copyTime + u.firstTokenOverhead()
	c.addCost(TermPrefill, scale(prefillWeight, prefill))
	c.addCost(TermCopy, scale(copyWeight, copyTime))
	if !disabled.Homes {
		c.addCost(TermAffinity, affinityCost(u, r))
	}
	if !disabled.Waits {
		c.addCost(TermWait, scale(waitWeight, c.expectedLatency))
		c.addCost(TermLateness, scale(latenessWeight, max(0, c.expectedLatency-scale(latenessThreshold, r.Target))))
	}
	if !disabled.Pauses {
		c.addCost(TermPause, u.pauseCost(now, c.queueDelay, prefill))
	}
	if !disabled.LongEngines {
		c.addCost(TermLongEngine, longEngineCost(u, r, c.prefillTokens))
	}
	if u.memoryFull(r.Prompt + r.Output) {
		c.expectedLatency += slotFreeInterval
		c.addCost(TermMemory, failureCost)
	}
}

// regionLatency returns the round trip to an upstream, beyond that to one of this router's own region.
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

// updateRegionLatency takes the time to a first token beyond what was expected without the round trip to the region.
func (p *Placer) updateRegionLatency(u *upstream, excess time.Duration) {
	if !u.otherRegion {
		return
	}
	rtt := p.regionLatency(u)
	sample := min(max(excess, -rtt), 3*rtt+initialRegionLatency)
	p.regionLatencies[u.region] = max(0, rtt+scale(regionLatencyAlpha, sample-rtt))
}

// ownTokens returns the tokens of the prompt's last part, which no other request shares.
func (r *Request) ownTokens() pomelorelay.Tokens {
	if len(r.Parts) == 0 {
		return r.Prompt
	}
	return r.Parts[len(r.Parts)-1].Tokens
}

func occupancyCost(u *upstream) time.Duration {
	taken := float64(u.running()) / float64(u.slots())
	return scale(taken*taken, occupancyWeight)
}

// busyFor returns how long the engine has been reading without a break.
func (u *upstream) busyFor(now time.Time) time.Duration {
	if u.busySince.IsZero() {
		return 0
	}
	return now.Sub(u.busySince)
}

// pauseCost is what the streams that run at the engine lose when a prompt is read after the backlog: those that wait for all of it, or those that the
// prompt makes late after what the engine has read without a break already.
func (u *upstream) pauseCost(now time.Time, backlog, prefill time.Duration) time.Duration {
	if u.pool.maxPause <= 0 {
		return 0
	}
	before := u.busyFor(now) + backlog
	lateFraction := max(u.pausedFraction(backlog+prefill), u.pausedFraction(before+prefill)-u.pausedFraction(before))
	return scale(u.pool.pauseWeight*lateFraction*float64(u.running()), longPauseCost)
}

// pausedFraction returns the part of an engine's streams that are late when it reads for a time without a break.
func (u *upstream) pausedFraction(prefill time.Duration) float64 {
	excess := (float64(prefill)/float64(u.pool.maxPause) - pauseRampStart) / (pauseRampEnd - pauseRampStart)
	return min(max(excess, 0), 1)
}

func affinityCost(u *upstream, r *Request) time.Duration {
	if len(r.Parts) < 2 {
		return 0
	}
	// The last part is the request's own; the one before it is the longest chain that others share.
	sharedHash := r.Parts[len(r.Parts)-2].Hash
	position := float64(len(u.pool.upstreams)) * float64(mix(sharedHash^u.idHash)>>11) / (1 << 53)
	return min(maxAffinityCost, scale(position, affinityStep))
}

// mix spreads the bits of a number evenly, as the finalizer of MurmurHash3 does.
func mix(n uint64) uint64 {
	n ^= n >> 33
	n *= 0xff51afd7ed558ccd
	n ^= n >> 33
	n *= 0xc4ceb9fe1a85ec53
	return n ^ n>>33
}

// scale returns so many times the duration.
func scale(factor float64, d time.Duration) time.Duration { return time.Duration(factor * float64(d)) }
