package pomeloplace

import (
	"math"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelospeed"
	"github.com/pomelorelay/pomelorelay/pomelowarmup"

	"github.com/cespare/xxhash/v2"
)

// load is what runs at an upstream.
type load struct {
	running        int
	pendingPrefill pomelorelay.Tokens
	memoryTokens   pomelorelay.Tokens
	sent           pomelorelay.Tokens
	// expectedSum and took are the sums of the times to first tokens.
	expectedSum, measuredSum time.Duration
}

// upstream is one upstream as the whole fleet uses it.
type upstream struct {
	info pomelorelay.FleetUpstream
	// region is that of its failure domain, foreign whether it is another one than this router's.
	region      pomelorelay.RegionID
	otherRegion bool
	domain      *domainState
	// longRank and idHash are hashes of its id.
	longRank, idHash uint64
	engine           *pomelorelay.EngineSpec
	own              load
	others           load
	changed          bool
	pool             *pool
	// warmup is whether it has started lately and is cold.
	warmup *pomelowarmup.Upstream
	// servesLong tells that long prompts go here.
	servesLong bool
	// queueEstimate is the number of tokens that are still to be read at the time queueAt, as it falls by the rate.
	queueEstimate   float64
	queueEstimateAt time.Time
	// busySince is since when it has been reading without a break.
	busySince time.Time
	// speedFactor is how an engine's speed differs from its service's, slow the same beside the middle one of the service.
	speedFactor pomelospeed.Factor
	slowdown    float64
	// longPrefillAt is when the engine last had so much to read that streams beside it may have paused for too long.
	longPrefillAt time.Time
	// serviceTime is the time of a plain request.
	serviceTime time.Duration
	cache       prefixCache
	// failureRate is the rate of failures at failedAt; it fades.
	failureRate   float64
	failureRateAt time.Time
	backoffUntil  time.Time
	// backoff is how long it was last left alone for taking no connection.
	backoff time.Duration
}

func newUpstream(info pomelorelay.FleetUpstream, engine *pomelorelay.EngineSpec) *upstream {
	u := &upstream{info: info, longRank: longRank(info.ID), idHash: xxhash.Sum64String(string(info.ID)), slowdown: 1, serviceTime: initialServiceTime}
	u.setEngine(engine)
	return u
}

func (u *upstream) setEngine(engine *pomelorelay.EngineSpec) {
	u.engine = engine
	if engine != nil {
		u.cache.capacity = engine.Memory
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

// drainQueue lets the queue fall by what was read since.
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

// noteLongPrefill notes when what is to be read takes as long as callers accept a stream to pause.
func (u *upstream) noteLongPrefill(now time.Time) {
	if u.pool.maxPause > 0 && u.prefillTime(u.queueEstimate) >= u.pool.maxPause {
		u.longPrefillAt = now
	}
}

// queuedTokens returns the tokens that are to be read before a new request's. Answers that have not begun bound it from above; reading
// that is slower than the rate says shows by answers that still have not begun.
func (u *upstream) queuedTokens(now time.Time) float64 {
	u.drainQueue(now)
	u.queueEstimate = min(u.queueEstimate, u.pendingPrefill())
	return max(u.queueEstimate, minPendingFraction*u.pendingPrefill())
}

// queueDelay returns the time until a request's turn comes.
func (u *upstream) queueDelay(now time.Time) time.Duration {
	if u.engine == nil {
		excess := u.running() - u.slots() + 1
		return time.Duration(max(0, excess)) * u.serviceTime / time.Duration(u.slots())
	}
	wait := u.prefillTime(u.queuedTokens(now))
	if excess := u.running() - u.slots() + 1; excess > 0 {
		wait += time.Duration(excess) * slotFreeInterval
	}
	return wait
}

func (u *upstream) prefillTime(tokens float64) time.Duration {
	return time.Duration(tokens / u.prefillRate() * float64(time.Millisecond))
}

// poolPrefillTime returns the time in which engines of the service read so many tokens; of plain upstreams, by the first guess.
func (u *upstream) poolPrefillTime(tokens float64) time.Duration {
	return time.Duration(tokens / float64(u.pool.speed.Rate()) * float64(time.Millisecond))
}

// prefillRate returns how many tokens the engine reads in a millisecond.
func (u *upstream) prefillRate() float64 { return float64(u.pool.speed.Rate()) / u.slowdown }

// firstTokenOverhead returns the time to a first token besides reading.
func (u *upstream) firstTokenOverhead() time.Duration {
	return time.Duration(u.slowdown * float64(u.pool.speed.Overhead()))
}

// decayedFailureRate returns the rate of failures, faded since the last result.
func (u *upstream) decayedFailureRate(now time.Time) float64 {
	if u.failureRate == 0 {
		return 0
	}
	return u.failureRate * math.Exp2(-float64(now.Sub(u.failureRateAt))/float64(failureHalfLife))
}

func (u *upstream) recordResult(now time.Time, r Result) {
	switch r {
	case ResultGood, ResultPaused:
		u.failureRate = u.decayedFailureRate(now) * (1 - failureAlpha)
		u.backoffUntil, u.backoff = time.Time{}, 0
	case ResultFailed, ResultRefused:
		u.failureRate = u.decayedFailureRate(now)*(1-failureAlpha) + failureAlpha
	case ResultUnreached:
		u.failureRate = max(u.decayedFailureRate(now), failureAlpha)
		u.startBackoff(now)
	default:
		return
	}
	u.failureRateAt = now
}

// inBackoff reports whether the upstream is left alone.
func (u *upstream) inBackoff(now time.Time, disabled *Mechanisms) bool {
	return (now.Before(u.backoffUntil) && !disabled.Rests) || (u.domain.inBackoff(now) && !disabled.DomainRests)
}

// startBackoff leaves alone an upstream that took no connection. Requests that were under way to it when the first one failed count once.
func (u *upstream) startBackoff(now time.Time) {
	if now.Before(u.backoffUntil) {
		return
	}
	u.backoff = min(max(2*u.backoff, unreachableBackoff), maxUnreachableBackoff)
	u.backoffUntil = now.Add(u.backoff)
}

// observeFirstToken takes the time to a first token, of which the latency between regions is a part, as a sample of the speed. It returns what the answer took beyond
// what was expected without that latency.
func (u *upstream) observeFirstToken(now time.Time, r *Run, latency, rtt time.Duration) time.Duration {
	if u.engine == nil {
		u.serviceTime += scale(serviceTimeAlpha, latency-rtt-u.serviceTime)
		return rtt
	}
	if r.waitedForSlot || latency <= rtt {
		return rtt
	}
	tokens := r.queuedTokens + float64(r.prefillTokens)
	expected := u.pool.speed.Expect(tokens)
	excess := latency - scale(u.slowdown, expected)
	if r.copiedTokens > 0 {
		u.pool.copyRatio.Note(now, u.copySample(r, excess-rtt))
		return rtt
	}
	u.speedFactor.Note(now, latency-rtt, expected)
	u.own.expectedSum += expected
	u.own.measuredSum += latency - rtt
	u.pool.speed.Note(now, tokens, scale(1/u.slowdown, latency-rtt))
	return excess
}

// copySample returns what a copy took, in tokens that could have been read meanwhile: what the answer took beyond what was expected without it. That is
// bounded, since waits that have other reasons say nothing of it.
func (u *upstream) copySample(r *Run, excess time.Duration) pomelospeed.Sums {
	tokens := float64(r.copiedTokens)
	return pomelospeed.Sums{Amount: min(max(milliseconds(excess)*u.prefillRate(), -tokens), 2*tokens), Of: tokens}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// memoryFull reports whether running requests and the new one would overfill the engine's memory.
func (u *upstream) memoryFull(tokens pomelorelay.Tokens) bool {
	if u.engine == nil || u.engine.Memory <= 0 {
		return false
	}
	used := u.own.memoryTokens + u.others.memoryTokens
	return used > 0 && float64(used+tokens) > maxMemoryFraction*float64(u.engine.Memory)
}
