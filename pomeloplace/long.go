package pomeloplace

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelospeed"

	"github.com/cespare/xxhash/v2"
)

// An engine reads a long prompt in chunks and gives each stream that runs beside it one token a chunk. Where chunks are long and an event holds
// many tokens, no event of those streams is complete within the pause that callers accept while a long prompt is read: it makes all of them
// late at once. There, long prompts go to a few engines that streams keep away from.

const (
	// longCapacityFactor is the room that long prompts are given for their own work; short answers fill what they leave.
	longCapacityFactor = 1.0
	// maxLongFraction is the largest part of a service's engines for long prompts.
	maxLongFraction = 0.25
	// streamOnLongEngineCost and shortAtLong are what it costs a request to go where long prompts go, in an engine's time: a stream of many events is
	// late there as a rule, an answer of a few events sometimes.
	streamOnLongEngineCost = 400 * time.Millisecond
	shortOnLongEngineCost  = 25 * time.Millisecond
	// minStreamEvents is the number of events from which an answer counts as a stream of many.
	minStreamEvents = 8
	// longEngineHold is how long an engine goes on taking long prompts when fewer would do. Each change moves the prompts that are kept
	// there, and shared parts are read again.
	longEngineHold = 15 * time.Second
	// workHalfLife is the time in which the flow of work follows a change by half.
	workHalfLife = 3 * time.Second
	// attentionCost is the work of relating one token to one before it, in tokens that are read. It decides from which length on a prompt takes
	// longer than its tokens say.
	attentionCost = 1.86e-5
)

// prefillWork returns what an engine has to do to read the missing part of a prompt, in tokens of a short prompt.
func prefillWork(uncached, prompt pomelorelay.Tokens) pomelorelay.Tokens {
	m, all := float64(uncached), float64(max(uncached, prompt))
	return uncached + pomelorelay.Tokens(attentionCost*(m*all-m*m/2))
}

// workRate measures the work that requests bring, and the part of it that long prompts make.
type workRate struct {
	total, own, long float64 // a second
	updatedAt        time.Time
}

func (f *workRate) decay(now time.Time) {
	if f.updatedAt.IsZero() {
		f.updatedAt = now
	}
	factor := math.Exp2(-float64(now.Sub(f.updatedAt)) / float64(workHalfLife))
	f.total *= factor
	f.own *= factor
	f.long *= factor
	f.updatedAt = now
}

// sumToRate is the factor that turns a sum that fades by half in flowFade into a rate.
var sumToRate = math.Ln2 / workHalfLife.Seconds()

func (f *workRate) add(now time.Time, tokens pomelorelay.Tokens) {
	f.decay(now)
	f.total += float64(tokens) * sumToRate
}

func (f *workRate) addOwn(now time.Time, tokens pomelorelay.Tokens, long bool) {
	f.add(now, tokens)
	f.own += float64(tokens) * sumToRate
	if long {
		f.long += float64(tokens) * sumToRate
	}
}

// longEngines returns how many engines of the rate the long prompts need.
func (f *workRate) longEngines(rate float64) float64 {
	if f.own <= 0 {
		return 0
	}
	return longCapacityFactor * f.total * (f.long / f.own) / (rate * 1000)
}

// pool is the upstreams of one service.
type pool struct {
	// upstreams is by id, so that the same calls always give the same answers.
	upstreams []*upstream
	// speed is how fast the service's engines read.
	speed *pomelospeed.Line
	// expectation is what callers expect, pauses whether long reading leads to longer pauses than that.
	latencyTargets
	pauseRatio *pomelospeed.Ratio
	// copyRatio is how long it takes to copy kept parts from another engine, as a part of the time to read them.
	copyRatio *pomelospeed.Ratio
	// pauseWeight and copyPart are what these said when a request was last placed.
	pauseWeight, copyFraction float64
	// byLongRank is in the order of a hash that is the same at every router; the first take the long prompts.
	byLongRank []*upstream
	work       workRate
	// longEngines is how many engines take long prompts, neededAt when so many were last needed.
	longEngines         int
	longEnginesNeededAt time.Time
	speedFactors        []float64
	// unreportedRouters is the number of routers without a report yet.
	unreportedRouters int
	// reportedAnswers is the number of answers in the last report of their times.
	reportedAnswers float64
}

func newPool() *pool {
	return &pool{speed: pomelospeed.NewLine(initialPrefillRate), pauseRatio: pomelospeed.NewPauses(), copyRatio: pomelospeed.NewCopies()}
}

// refreshEstimates takes over what was learnt, once for all candidates of a request.
func (s *pool) refreshEstimates(now time.Time) {
	s.pauseWeight = pomelospeed.PauseWeight(s.pauseRatio.Value(now))
	s.copyFraction = max(0, s.copyRatio.Value(now))
}

func (s *pool) add(u *upstream) {
	s.upstreams = insertSorted(s.upstreams, u, func(a, b *upstream) int { return cmp.Compare(a.info.ID, b.info.ID) })
	s.byLongRank = insertSorted(s.byLongRank, u, func(a, b *upstream) int { return cmp.Compare(a.longRank, b.longRank) })
}

// insertSorted puts an upstream into an ordered list.
func insertSorted(list []*upstream, u *upstream, compare func(a, b *upstream) int) []*upstream {
	at, _ := slices.BinarySearchFunc(list, u, compare)
	return slices.Insert(list, at, u)
}

// longRank orders the engines for long prompts, alike at every router.
func longRank(id pomelorelay.UpstreamID) uint64 { return xxhash.Sum64String("long/" + string(id)) }

func (s *pool) remove(u *upstream) {
	equal := func(o *upstream) bool { return o == u }
	s.upstreams = slices.DeleteFunc(s.upstreams, equal)
	s.byLongRank = slices.DeleteFunc(s.byLongRank, equal)
}

// assignLongEngines notes which engines take the long prompts from now on.
func (s *pool) assignLongEngines(now time.Time, disabled *Mechanisms) {
	if len(s.byLongRank) == 0 || s.byLongRank[0].engine == nil {
		return
	}
	if !disabled.SlowEngines {
		s.updateSlowdowns(now)
	}
	s.refreshEstimates(now)
	s.work.decay(now)
	needed := int(math.Ceil(s.pauseWeight * s.work.longEngines(float64(s.speed.Rate()))))
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

// scaleToFleet returns how many of something this router and those without a report have, assuming as much for each.
func (s *pool) scaleToFleet(own int) int { return own * (1 + s.unreportedRouters) }

// recordPause takes a stream that ran while its engine read for long.
func (s *pool) recordPause(now time.Time, paused bool) {
	sums := pomelospeed.Sums{Of: 1}
	if paused {
		sums.Amount = 1
	}
	s.pauseRatio.Note(now, sums)
}

// updateSlowdowns sets each engine's speed beside that of the middle one: what is the same for all belongs to the service's line, which may
// still be on its way to where it fits.
func (s *pool) updateSlowdowns(now time.Time) {
	s.speedFactors = s.speedFactors[:0]
	for _, u := range s.upstreams {
		s.speedFactors = append(s.speedFactors, u.speedFactor.Ratio(now))
	}
	slices.Sort(s.speedFactors)
	median := s.speedFactors[len(s.speedFactors)/2]
	for _, u := range s.upstreams {
		u.slowdown = u.speedFactor.Beside(now, median)
	}
}

// longEngineCost is what it costs a request to go to an engine of the other kind.
func longEngineCost(u *upstream, r *Request, work pomelorelay.Tokens) time.Duration {
	if !u.servesLong || u.pool.isLong(work) {
		return 0
	}
	cost := shortOnLongEngineCost
	if r.Output >= minStreamEvents*max(1, u.engine.EventTokens) {
		cost = streamOnLongEngineCost
	}
	return scale(u.pool.pauseWeight, cost)
}

// isLong reports whether reading so much at a stretch makes streams beside it pause for too long.
func (s *pool) isLong(work pomelorelay.Tokens) bool {
	return s.maxPause > 0 && float64(work)/float64(s.speed.Rate()) >= pauseRampStart*milliseconds(s.maxPause)
}
