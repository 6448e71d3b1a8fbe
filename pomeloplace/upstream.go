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
	running int
	unread  pomelorelay.Tokens
	held    pomelorelay.Tokens
	sent    pomelorelay.Tokens
	// expected and took are the sums of the times to first tokens.
	expected, took time.Duration
}

// upstream is one upstream as the whole fleet uses it.
type upstream struct {
	info pomelorelay.FleetUpstream
	// region is that of its failure domain, foreign whether it is another one than this router's.
	region  pomelorelay.RegionID
	foreign bool
	domain  *domainState
	// rank and idHash are hashes of its id.
	rank, idHash uint64
	engine       *pomelorelay.EngineSpec
	own          load
	others       load
	changed      bool
	pool         *pool
	// start is whether it has started lately and is cold.
	start *pomelowarmup.Upstream
	// forLong tells that long prompts go here.
	forLong bool
	// queue is the number of tokens that are still to be read at the time queueAt, as it falls by the rate.
	queue   float64
	queueAt time.Time
	// busySince is since when it has been reading without a break.
	busySince time.Time
	// factor is how an engine's speed differs from its service's, slow the same beside the middle one of the service.
	factor pomelospeed.SlowdownFactor
	slow   float64
	// longAt is when the engine last had so much to read that streams beside it may have paused for too long.
	longAt time.Time
	// service is the time of a plain request.
	service time.Duration
	kept    kept
	// failures is the rate of failures at failedAt; it fades.
	failures  float64
	failedAt  time.Time
	downUntil time.Time
	// downFor is how long it was last left alone for taking no connection.
	downFor time.Duration
}

func newUpstream(info pomelorelay.FleetUpstream, engine *pomelorelay.EngineSpec) *upstream {
	u := &upstream{info: info, rank: rank(info.ID), idHash: xxhash.Sum64String(string(info.ID)), slow: 1, service: startService}
	u.setEngine(engine)
	return u
}

func (u *upstream) setEngine(engine *pomelorelay.EngineSpec) {
	u.engine = engine
	if engine != nil {
		u.kept.room = engine.KVCapacity
	}
}

func (u *upstream) slots() int {
	if u.engine != nil && u.engine.Slots > 0 {
		return int(u.engine.Slots)
	}
	return max(1, int(u.info.Slots))
}

func (u *upstream) running() int { return u.pool.fleet(u.own.running) + u.others.running }

func (u *upstream) unread() float64 {
	return float64(u.own.unread)*(1+float64(u.pool.unreported)) + float64(u.others.unread)
}

// drain lets the queue fall by what was read since.
func (u *upstream) drain(now time.Time) {
	if passed := now.Sub(u.queueAt); passed > 0 {
		u.queue = max(0, u.queue-u.rate()*milliseconds(passed))
		u.queueAt = now
		if u.queue == 0 {
			u.busySince = now
		}
	}
}

func (u *upstream) enqueue(now time.Time, tokens pomelorelay.Tokens) {
	u.drain(now)
	u.queue += float64(tokens)
}

// noteLong notes when what is to be read takes as long as callers accept a stream to pause.
func (u *upstream) noteLong(now time.Time) {
	if u.pool.pause > 0 && u.reading(u.queue) >= u.pool.pause {
		u.longAt = now
	}
}

// backlog returns the tokens that are to be read before a new request's. Answers that have not begun bound it from above; reading
// that is slower than the rate says shows by answers that still have not begun.
func (u *upstream) backlog(now time.Time) float64 {
	u.drain(now)
	u.queue = min(u.queue, u.unread())
	return max(u.queue, leastUnread*u.unread())
}

// turnIn returns the time until a request's turn comes.
func (u *upstream) turnIn(now time.Time) time.Duration {
	if u.engine == nil {
		over := u.running() - u.slots() + 1
		return time.Duration(max(0, over)) * u.service / time.Duration(u.slots())
	}
	wait := u.reading(u.backlog(now))
	if over := u.running() - u.slots() + 1; over > 0 {
		wait += time.Duration(over) * slotTurn
	}
	return wait
}

func (u *upstream) reading(tokens float64) time.Duration {
	return time.Duration(tokens / u.rate() * float64(time.Millisecond))
}

// worth returns the time in which engines of the service read so many tokens; of plain upstreams, by the first guess.
func (u *upstream) worth(tokens float64) time.Duration {
	return time.Duration(tokens / float64(u.pool.line.PrefillRate()) * float64(time.Millisecond))
}

// rate returns how many tokens the engine reads in a millisecond.
func (u *upstream) rate() float64 { return float64(u.pool.line.PrefillRate()) / u.slow }

// overhead returns the time to a first token besides reading.
func (u *upstream) overhead() time.Duration {
	return time.Duration(u.slow * float64(u.pool.line.Overhead()))
}

// failing returns the rate of failures, faded since the last result.
func (u *upstream) failing(now time.Time) float64 {
	if u.failures == 0 {
		return 0
	}
	return u.failures * math.Exp2(-float64(now.Sub(u.failedAt))/float64(failMemory))
}

func (u *upstream) result(now time.Time, r Result) {
	switch r {
	case ResultCompleted, ResultLongPause:
		u.failures = u.failing(now) * (1 - failShare)
		u.downUntil, u.downFor = time.Time{}, 0
	case ResultFailed, ResultRefused:
		u.failures = u.failing(now)*(1-failShare) + failShare
	case ResultUnreachable:
		u.failures = max(u.failing(now), failShare)
		u.rest(now)
	default:
		return
	}
	u.failedAt = now
}

// rests reports whether the upstream is left alone.
func (u *upstream) rests(now time.Time, off *Mechanisms) bool {
	return (now.Before(u.downUntil) && !off.Rests) || (u.domain.rests(now) && !off.DomainRests)
}

// rest leaves alone an upstream that took no connection. Requests that were under way to it when the first one failed count once.
func (u *upstream) rest(now time.Time) {
	if now.Before(u.downUntil) {
		return
	}
	u.downFor = min(max(2*u.downFor, unreachedFor), unreachedMost)
	u.downUntil = now.Add(u.downFor)
}

// learn takes the time to a first token, of which the latency between regions is a part, as a sample of the speed. It returns what the answer took beyond
// what was expected without that latency.
func (u *upstream) learn(now time.Time, r *Run, took, way time.Duration) time.Duration {
	if u.engine == nil {
		u.service += part(serviceShare, took-way-u.service)
		return way
	}
	if r.crowded || took <= way {
		return way
	}
	tokens := r.ahead + float64(r.missing)
	expected := u.pool.line.ExpectedTime(tokens)
	beyond := took - part(u.slow, expected)
	if r.copied > 0 {
		u.pool.copies.Observe(now, u.copied(r, beyond-way))
		return way
	}
	u.factor.Observe(now, took-way, expected)
	u.own.expected += expected
	u.own.took += took - way
	u.pool.line.Observe(now, tokens, part(1/u.slow, took-way))
	return beyond
}

// copied returns what a copy took, in tokens that could have been read meanwhile: what the answer took beyond what was expected without it. That is
// bounded, since waits that have other reasons say nothing of it.
func (u *upstream) copied(r *Run, beyond time.Duration) pomelospeed.RatioSums {
	tokens := float64(r.copied)
	return pomelospeed.RatioSums{Numerator: min(max(milliseconds(beyond)*u.rate(), -tokens), 2*tokens), Denominator: tokens}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// full reports whether running requests and the new one would overfill the engine's memory.
func (u *upstream) full(need pomelorelay.Tokens) bool {
	if u.engine == nil || u.engine.KVCapacity <= 0 {
		return false
	}
	taken := u.own.held + u.others.held
	return taken > 0 && float64(taken+need) > fullMemory*float64(u.engine.KVCapacity)
}
