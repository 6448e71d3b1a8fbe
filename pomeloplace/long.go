package pomeloplace

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloroom"
	"github.com/pomelorelay/pomelorelay/pomelospeed"

	"github.com/cespare/xxhash/v2"
)

// An engine prefills a long prompt in chunks and generates one token per running stream with each chunk. With long chunks and many tokens per
// event, no stream completes an event within the maximum pause during a long prefill. In services where this happens, long prompts are assigned
// to a few engines that streams avoid.

const (
	// longCapacityFactor is the ratio of the prefill capacity assigned to long prompts to their measured prefill work; requests with short
	// answers use what remains of that capacity.
	longCapacityFactor = 1.0
	// maxLongFraction is the maximum fraction of a service's engines that are assigned to long prompts.
	maxLongFraction = 0.25
	// streamOnLongEngineCost and shortOnLongEngineCost are the costs, in engine time, of sending other requests to an engine assigned to long
	// prompts: a stream of many events usually pauses too long there, an answer of a few events sometimes.
	streamOnLongEngineCost = 400 * time.Millisecond
	shortOnLongEngineCost  = 25 * time.Millisecond
	// minStreamEvents is the number of events from which an answer counts as a stream.
	minStreamEvents = 8
	// longEngineHold is how long the number of engines assigned to long prompts is kept when fewer would suffice. Each change moves cached
	// prompts to other engines, where their shared parts are prefilled again.
	longEngineHold = 15 * time.Second
	// workHalfLife is the half-life of the measured rate of prefill work.
	workHalfLife = 3 * time.Second
	// attentionCost is the cost of attention between two tokens, relative to the prefill of one token. It determines the length from which
	// the quadratic part of the prefill matters.
	attentionCost = 1.86e-5
)

// prefillWork returns the work to prefill the uncached part of a prompt, as the number of tokens of a short prompt that take as long.
func prefillWork(uncached, prompt pomelorelay.Tokens) pomelorelay.Tokens {
	m, all := float64(uncached), float64(max(uncached, prompt))
	return uncached + pomelorelay.Tokens(attentionCost*(m*all-m*m/2))
}

// workRate measures the rate of prefill work and the fraction of it that comes from long prompts.
type workRate struct {
	// total is the rate over the requests of all routers, own over the requests of this router, and long over the long prompts of this router, all
	// in tokens per second.
	total, own, long float64
	updatedAt        time.Time
}

func (w *workRate) decay(now time.Time) {
	if w.updatedAt.IsZero() {
		w.updatedAt = now
	}
	factor := math.Exp2(-float64(now.Sub(w.updatedAt)) / float64(workHalfLife))
	w.total *= factor
	w.own *= factor
	w.long *= factor
	w.updatedAt = now
}

// sumToRate converts a sum that decays with workHalfLife to a rate per second.
var sumToRate = math.Ln2 / workHalfLife.Seconds()

func (w *workRate) add(now time.Time, tokens pomelorelay.Tokens) {
	w.decay(now)
	w.total += float64(tokens) * sumToRate
}

func (w *workRate) addOwn(now time.Time, tokens pomelorelay.Tokens, long bool) {
	w.add(now, tokens)
	w.own += float64(tokens) * sumToRate
	if long {
		w.long += float64(tokens) * sumToRate
	}
}

// longEngines returns the number of engines needed for long prompts at the given prefill rate in tokens per millisecond.
func (w *workRate) longEngines(rate float64) float64 {
	if w.own <= 0 {
		return 0
	}
	return longCapacityFactor * w.total * (w.long / w.own) / (rate * 1000)
}

// pool holds the upstreams of a service.
type pool struct {
	// upstreams is sorted by ID, so that placement is deterministic.
	upstreams []*upstream
	// speed is the service's estimate of the time to first token.
	speed *pomelospeed.FirstTokenModel
	latencyTargets
	// pauseRatio is the fraction of streams that paused too long during a long prefill.
	pauseRatio *pomelospeed.DecayingRatio
	// copyRatio is the time to copy cached parts from another engine, as a fraction of the time to prefill them.
	copyRatio *pomelospeed.DecayingRatio
	// pauseWeight and copyFraction are the values derived from pauseRatio and copyRatio when refreshEstimates was last called.
	pauseWeight, copyFraction float64
	// byLongRank holds the same upstreams, sorted by a hash that is equal on every router, so that all routers assign the same first engines to
	// long prompts.
	byLongRank []*upstream
	// prefixes finds the engines that cache a prefix of a prompt.
	prefixes prefixIndex
	work     workRate
	// longEngines is the number of engines assigned to long prompts; longEnginesNeededAt is when that many were last needed.
	longEngines         int
	longEnginesNeededAt time.Time
	speedFactors        []float64
	// slotTime is the learnt duration of runs; nil if the mechanism is disabled. inShare is the fraction of this router's sends that are within their
	// accounts' shares, sendTokens their mean prefill work in tokens; inShareRefused is the fraction of in-share requests that found no slot.
	slotTime            *pomeloroom.SlotTime
	inShare, sendTokens *pomelospeed.DecayingRatio
	inShareRefused      *pomelospeed.DecayingRatio
	typicalPrefill      typicalPrefill
	// unreportedRouters is the number of registered routers that have not yet sent a load report.
	unreportedRouters int
	// reportedAnswers is the number of answers included in the last speed report.
	reportedAnswers float64
}

func newPool() *pool {
	return &pool{
		inShare: newSendRatio(1), sendTokens: newSendRatio(0), inShareRefused: newSendRatio(0),
		speed: pomelospeed.NewFirstTokenModel(initialPrefillRate), pauseRatio: pomelospeed.NewPauseRatio(), copyRatio: pomelospeed.NewCopyTimeRatio(),
	}
}

// refreshEstimates updates pauseWeight and copyFraction. Placement calls it once per request, so that all candidates are compared by the same
// values.
func (s *pool) refreshEstimates(now time.Time) {
	s.pauseWeight = pomelospeed.PauseWeight(s.pauseRatio.Value(now))
	s.copyFraction = max(0, s.copyRatio.Value(now))
}

func (s *pool) add(u *upstream) {
	s.upstreams = insertSorted(s.upstreams, u, func(a, b *upstream) int { return cmp.Compare(a.info.ID, b.info.ID) })
	s.byLongRank = insertSorted(s.byLongRank, u, func(a, b *upstream) int { return cmp.Compare(a.longRank, b.longRank) })
	s.renumber()
	s.prefixes.addUpstream(u)
}

// renumber sets the order of each upstream.
func (s *pool) renumber() {
	for i, u := range s.upstreams {
		u.order = i
	}
}

func insertSorted(list []*upstream, u *upstream, compare func(a, b *upstream) int) []*upstream {
	at, _ := slices.BinarySearchFunc(list, u, compare)
	return slices.Insert(list, at, u)
}

// longRank returns the sort key for the assignment of engines to long prompts, which is the same on every router.
func longRank(id pomelorelay.UpstreamID) uint64 { return xxhash.Sum64String("long/" + string(id)) }

func (s *pool) remove(u *upstream) {
	equal := func(o *upstream) bool { return o == u }
	s.upstreams = slices.DeleteFunc(s.upstreams, equal)
	s.byLongRank = slices.DeleteFunc(s.byLongRank, equal)
	s.renumber()
	s.prefixes.removeUpstream(u)
}

// assignLongEngines selects the engines that serve long prompts.
func (s *pool) assignLongEngines(now time.Time, disabled *Mechanisms) {
	if len(s.byLongRank) == 0 || s.byLongRank[0].engine == nil {
		return
	}
	if !disabled.SlowEngines {
		s.updateSlowdowns(now)
	}
	s.refreshEstimates(now)
	s.work.decay(now)
	needed := int(math.Ceil(s.pauseWeight * s.work.longEngines(float64(s.speed.PrefillRate()))))
	needed = min(needed, int(maxLongFraction*float64(len(s.byLongRank))))
	if needed >= s.longEngines || now.Sub(s.longEnginesNeededAt) > longEngineHold {
		s.longEngines, s.longEnginesNeededAt = needed, now
	}
	needed = s.longEngines
	for _, u := range s.byLongRank {
		u.servesLong = needed > 0 && !u.info.Draining && !u.domain.evacuated && !now.Before(u.backoffUntil)
		if u.servesLong {
			needed--
		}
	}
}

// scaleToFleet returns this router's own count plus the same count for each registered router that has not yet sent a load report.
func (s *pool) scaleToFleet(own int) int { return own * (1 + s.unreportedRouters) }

// recordPause records whether a stream that ran during a long prefill paused for too long.
func (s *pool) recordPause(now time.Time, paused bool) {
	sums := pomelospeed.RatioSums{Denominator: 1}
	if paused {
		sums.Numerator = 1
	}
	s.pauseRatio.Observe(now, sums)
}

// updateSlowdowns compares each engine's speed with the median engine. A deviation common to all engines belongs to the service's speed
// estimate, which may not have converged yet.
func (s *pool) updateSlowdowns(now time.Time) {
	s.updateLasting(now)
	s.speedFactors = s.speedFactors[:0]
	for _, u := range s.upstreams {
		s.speedFactors = append(s.speedFactors, u.speedFactor.Ratio(now)/u.lastingFactor)
	}
	slices.Sort(s.speedFactors)
	median := s.speedFactors[len(s.speedFactors)/2]
	for _, u := range s.upstreams {
		u.slowdown = u.lastingFactor * u.speedFactor.RelativeTo(now, median*u.lastingFactor)
	}
}

// longEngineCost returns the cost of sending a request to an engine assigned to long prompts; zero if the request's own prompt is long.
func longEngineCost(u *upstream, r *Request, work pomelorelay.Tokens) time.Duration {
	if !u.servesLong || u.pool.isLong(work) {
		return 0
	}
	cost := shortOnLongEngineCost
	if r.OutputTokens >= minStreamEvents*max(1, u.engine.TokensPerEvent) {
		cost = streamOnLongEngineCost
	}
	return scale(u.pool.pauseWeight, cost)
}

// isLong reports whether an uninterrupted prefill of this work makes concurrent streams pause for too long.
func (s *pool) isLong(work pomelorelay.Tokens) bool {
	return s.maxPause > 0 && float64(work)/float64(s.speed.PrefillRate()) >= pauseRampStart*milliseconds(s.maxPause)
}
