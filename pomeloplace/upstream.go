package pomeloplace

import (
	"math"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloroom"
	"github.com/pomelorelay/pomelorelay/pomelospeed"
	"github.com/pomelorelay/pomelorelay/pomelowarmup"

	"github.com/cespare/xxhash/v2"
)

// load is the load that one or more routers put on an upstream.
type load struct {
	running        int
	pendingPrefill pomelorelay.Tokens
	memoryTokens   pomelorelay.Tokens
	sent           pomelorelay.Tokens
	requests       uint64
	// expectedSum and measuredSum are the sums of the expected and measured times to first token.
	expectedSum, measuredSum time.Duration
}

// upstream is the state of an upstream, including the load from other routers.
type upstream struct {
	info pomelorelay.FleetUpstream
	// region is the region of the upstream's failure domain; otherRegion reports whether it differs from this router's region.
	region      pomelorelay.RegionID
	otherRegion bool
	domain      *domainState
	// longRank and idHash are hashes of the upstream's ID.
	longRank, idHash uint64
	engine           *pomelorelay.EngineSpec
	own              load
	others           load
	changed          bool
	pool             *pool
	// warmup tracks whether the upstream is cold after a start.
	warmup *pomelowarmup.Upstream
	// servesLong reports whether the engine is assigned to long prompts.
	servesLong bool
	// queueEstimate is the estimated number of queued prompt tokens at queueEstimateAt; it falls at the prefill rate.
	queueEstimate   float64
	queueEstimateAt time.Time
	// busySince is when the current uninterrupted prefill began.
	busySince time.Time
	// speedFactor compares the engine's times to first token with the service's estimate; slowdown compares speedFactor with that of the median
	// engine.
	speedFactor pomelospeed.SlowdownFactor
	slowdown    float64
	announcedState
	// longPrefillAt is when the engine last had a backlog long enough to pause concurrent streams for too long.
	longPrefillAt time.Time
	// serviceTime is the moving average of the time of a request to a plain upstream.
	serviceTime time.Duration
	cache       prefixCache
	// order is the position in the list of the pool.
	order int
	// cachedPrefix is the result of the latest search for the cached prefix of a prompt.
	cachedPrefix cachedPrefix
	// reserve measures the slots that requests take and leave; runs holds this router's runs. Both are kept for small engines only.
	reserve pomeloroom.Reserve
	runs    []*Run
	// failureRate is the moving failure rate at failureRateAt; it decays over time.
	failureRate   float64
	failureRateAt time.Time
	backoffUntil  time.Time
	// backoff is the duration of the latest backoff after a failed connection.
	backoff time.Duration
	// replaced is set once another process than the registered one has answered at the upstream's address.
	replaced bool
}

func newUpstream(info pomelorelay.FleetUpstream, engine *pomelorelay.EngineSpec) *upstream {
	u := &upstream{info: info, longRank: longRank(info.ID), idHash: xxhash.Sum64String(string(info.ID)), slowdown: 1, announcedState: newAnnouncedState(info), serviceTime: initialServiceTime}
	u.setEngine(engine)
	return u
}

func (u *upstream) setEngine(engine *pomelorelay.EngineSpec) {
	u.engine = engine
	if engine != nil {
		u.cache.capacity = engine.KVCapacity
	}
}

func (u *upstream) slots() int {
	if u.engine != nil && u.engine.Slots > 0 {
		return int(u.engine.Slots)
	}
	return max(1, int(u.info.Slots))
}

func (u *upstream) running() int { return u.pool.scaleToFleet(u.own.running) + u.others.running }

func (u *upstream) pendingPrefill() float64 {
	return float64(u.own.pendingPrefill)*(1+float64(u.pool.unreportedRouters)) + float64(u.others.pendingPrefill)
}

// drainQueue reduces the queue estimate by the tokens processed since the last update.
func (u *upstream) drainQueue(now time.Time) {
	if elapsed := now.Sub(u.queueEstimateAt); elapsed > 0 {
		u.queueEstimate = max(0, u.queueEstimate-u.prefillRate()*milliseconds(elapsed))
		u.queueEstimateAt = now
		if u.queueEstimate == 0 {
			u.busySince = now
		}
	}
}

func (u *upstream) enqueue(now time.Time, tokens pomelorelay.Tokens) {
	u.drainQueue(now)
	u.queueEstimate += float64(tokens)
}

// noteLongPrefill records the time if prefilling the queue takes at least the maximum pause between events of a stream.
func (u *upstream) noteLongPrefill(now time.Time) {
	if u.pool.maxPause > 0 && u.prefillTime(u.queueEstimate) >= u.pool.maxPause {
		u.longPrefillAt = now
	}
}

// queuedTokens returns the estimated number of prompt tokens queued before a new request. It is at most the number of tokens of requests without
// an answer, and at least minPendingFraction of that number, since late answers show that prefill is slower than estimated.
func (u *upstream) queuedTokens(now time.Time) float64 {
	u.drainQueue(now)
	u.queueEstimate = min(u.queueEstimate, u.pendingPrefill())
	return max(u.queueEstimate, minPendingFraction*u.pendingPrefill())
}

// updateQueue applies the effect of queuedTokens on the queue estimate; a queue that stays empty needs none.
func (u *upstream) updateQueue(now time.Time) {
	if u.engine != nil && (u.queueEstimate != 0 || u.own.pendingPrefill != 0 || u.others.pendingPrefill != 0) {
		u.queuedTokens(now)
	}
}

// queueDelay returns the estimated time until a new request is processed.
func (u *upstream) queueDelay(now time.Time) time.Duration {
	if u.engine == nil {
		excess := u.occupied() - u.slots() + 1
		return time.Duration(max(0, excess)) * u.expectedServiceTime() / time.Duration(u.slots())
	}
	wait := u.prefillTime(u.queuedTokens(now))
	if excess := u.occupied() - u.slots() + 1; excess > 0 {
		wait += time.Duration(excess) * u.slotInterval(now)
	}
	return wait
}

func (u *upstream) prefillTime(tokens float64) time.Duration {
	return prefillTimeAt(u.prefillRate(), tokens)
}

// prefillTimeAt returns the prefill time at a rate in tokens per millisecond.
func prefillTimeAt(rate, tokens float64) time.Duration {
	return time.Duration(tokens / rate * float64(time.Millisecond))
}

// poolPrefillTime returns the prefill time at the service's average rate; plain services use the initial rate.
func (u *upstream) poolPrefillTime(tokens float64) time.Duration {
	return time.Duration(tokens / float64(u.pool.speed.PrefillRate()) * float64(time.Millisecond))
}

// prefillRate returns the engine's prefill rate in tokens per millisecond.
func (u *upstream) prefillRate() float64 { return float64(u.pool.speed.PrefillRate()) / u.slowness() }

// firstTokenOverhead returns the part of the time to first token that does not depend on the prompt.
func (u *upstream) firstTokenOverhead() time.Duration {
	return scale(u.slowness(), u.pool.speed.Overhead())
}

// decayedFailureRate returns the failure rate, decayed since the last result.
func (u *upstream) decayedFailureRate(now time.Time) float64 {
	if u.failureRate == 0 {
		return 0
	}
	return u.failureRate * math.Exp2(-float64(now.Sub(u.failureRateAt))/float64(failureHalfLife))
}

func (u *upstream) recordResult(now time.Time, r Result) {
	switch r {
	case ResultCompleted, ResultLongPause, ResultErrorAnswer:
		u.failureRate = u.decayedFailureRate(now) * (1 - failureAlpha)
		u.backoffUntil, u.backoff = time.Time{}, 0
	case ResultFailed, ResultRefused:
		u.failureRate = u.decayedFailureRate(now)*(1-failureAlpha) + failureAlpha
	case ResultUnreachable:
		u.failureRate = max(u.decayedFailureRate(now), failureAlpha)
		u.startBackoff(now)
	case ResultReplaced:
		u.replaced = true
		return
	default:
		return
	}
	u.failureRateAt = now
}

// inBackoff reports whether the upstream or its failure domain is in backoff.
func (u *upstream) inBackoff(now time.Time, disabled *Mechanisms) bool {
	return (now.Before(u.backoffUntil) && !disabled.UpstreamBackoff) || (u.domain.inBackoff(now) && !disabled.DomainBackoff)
}

// startBackoff starts a backoff. Failures of requests already in flight when the backoff began do not extend it.
func (u *upstream) startBackoff(now time.Time) {
	if now.Before(u.backoffUntil) {
		return
	}
	u.backoff = min(max(2*u.backoff, unreachableBackoff), maxUnreachableBackoff)
	u.backoffUntil = now.Add(u.backoff)
}

// observeFirstToken updates the speed estimates with the latency of a run, its time to first token, which includes the estimated round trip rtt
// to another region. It returns a new sample of that round trip: the time in excess of the engine's estimate, or rtt itself if the run gives no
// usable sample.
func (u *upstream) observeFirstToken(now time.Time, r *Run, latency, rtt time.Duration) time.Duration {
	momentary := u.momentaryDuring(now, r)
	if u.engine == nil {
		u.serviceTime += scale(serviceTimeAlpha, scale(1/momentary, latency-rtt)-u.serviceTime)
		return rtt
	}
	if r.waitedForSlot || latency <= rtt {
		return rtt
	}
	tokens := r.queuedTokens + float64(r.prefillTokens)
	expected := u.pool.speed.ExpectedTime(tokens)
	excess := latency - scale(u.slowdown*momentary, expected)
	if r.copiedTokens > 0 {
		u.pool.copyRatio.Observe(now, u.copySample(r, excess-rtt))
		return rtt
	}
	usual := scale(1/momentary, latency-rtt)
	u.observeSpeed(now, usual, expected)
	u.own.expectedSum += expected
	u.own.measuredSum += usual
	u.pool.speed.Observe(now, tokens, scale(1/u.slowdown, usual))
	return excess
}

// copySample returns a sample of the copy time ratio: the time of a run's copy, as the number of tokens that could have been prefilled
// meanwhile, over the number of copied tokens. The time of the copy is the excess over the expected time to first token, clamped because the
// excess may have other causes.
func (u *upstream) copySample(r *Run, excess time.Duration) pomelospeed.RatioSums {
	tokens := float64(r.copiedTokens)
	return pomelospeed.RatioSums{Numerator: min(max(milliseconds(excess)*u.prefillRate(), -tokens), 2*tokens), Denominator: tokens}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// memoryFull reports whether the request would overfill the engine's memory together with those already running.
func (u *upstream) memoryFull(tokens pomelorelay.Tokens) bool {
	if u.engine == nil || u.engine.KVCapacity <= 0 {
		return false
	}
	used := u.own.memoryTokens + u.others.memoryTokens
	return used > 0 && float64(used+tokens) > maxMemoryFraction*float64(u.engine.KVCapacity)
}
