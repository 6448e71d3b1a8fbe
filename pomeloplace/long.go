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
	// longRoom is the room that long prompts are given for their own work; short answers fill what they leave.
	longRoom = 1.0
	// longMost is the largest part of a service's engines for long prompts.
	longMost = 0.25
	// streamAtLong and shortAtLong are what it costs a request to go where long prompts go, in an engine's time: a stream of many events is
	// late there as a rule, an answer of a few events sometimes.
	streamAtLong = 400 * time.Millisecond
	shortAtLong  = 25 * time.Millisecond
	// manyEvents is the number of events from which an answer counts as a stream of many.
	manyEvents = 8
	// longKeep is how long an engine goes on taking long prompts when fewer would do. Each change moves the prompts that are kept
	// there, and shared parts are read again.
	longKeep = 15 * time.Second
	// flowFade is the time in which the flow of work follows a change by half.
	flowFade = 3 * time.Second
	// pairWork is the work of relating one token to one before it, in tokens that are read. It decides from which length on a prompt takes
	// longer than its tokens say.
	pairWork = 1.86e-5
)

// work returns what an engine has to do to read the missing part of a prompt, in tokens of a short prompt.
func work(missing, prompt pomelorelay.Tokens) pomelorelay.Tokens {
	m, all := float64(missing), float64(max(missing, prompt))
	return missing + pomelorelay.Tokens(pairWork*(m*all-m*m/2))
}

// flow measures the work that requests bring, and the part of it that long prompts make.
type flow struct {
	all, own, long float64 // a second
	at             time.Time
}

func (f *flow) fade(now time.Time) {
	if f.at.IsZero() {
		f.at = now
	}
	factor := math.Exp2(-float64(now.Sub(f.at)) / float64(flowFade))
	f.all *= factor
	f.own *= factor
	f.long *= factor
	f.at = now
}

// decay is the factor that turns a sum that fades by half in flowFade into a rate.
var decay = math.Ln2 / flowFade.Seconds()

func (f *flow) add(now time.Time, tokens pomelorelay.Tokens) {
	f.fade(now)
	f.all += float64(tokens) * decay
}

func (f *flow) addOwn(now time.Time, tokens pomelorelay.Tokens, long bool) {
	f.add(now, tokens)
	f.own += float64(tokens) * decay
	if long {
		f.long += float64(tokens) * decay
	}
}

// engines returns how many engines of the rate the long prompts need.
func (f *flow) engines(rate float64) float64 {
	if f.own <= 0 {
		return 0
	}
	return longRoom * f.all * (f.long / f.own) / (rate * 1000)
}

// pool is the upstreams of one service.
type pool struct {
	// list is by id, so that the same calls always give the same answers.
	list []*upstream
	// line is how fast the service's engines read.
	line *pomelospeed.FirstTokenModel
	// expectation is what callers expect, pauses whether long reading leads to longer pauses than that.
	expectation
	pauses *pomelospeed.DecayingRatio
	// copies is how long it takes to copy kept parts from another engine, as a part of the time to read them.
	copies *pomelospeed.DecayingRatio
	// pauseWeight and copyPart are what these said when a request was last placed.
	pauseWeight, copyPart float64
	// ranked is in the order of a hash that is the same at every router; the first take the long prompts.
	ranked []*upstream
	flow   flow
	// forLong is how many engines take long prompts, neededAt when so many were last needed.
	forLong  int
	neededAt time.Time
	factors  []float64
	// unreported is the number of routers without a report yet.
	unreported int
	// told is the number of answers in the last report of their times.
	told float64
}

func newPool() *pool {
	return &pool{line: pomelospeed.NewFirstTokenModel(startRate), pauses: pomelospeed.NewPauseRatio(), copies: pomelospeed.NewCopyTimeRatio()}
}

// renew takes over what was learnt, once for all candidates of a request.
func (s *pool) renew(now time.Time) {
	s.pauseWeight = pomelospeed.PauseWeight(s.pauses.Value(now))
	s.copyPart = max(0, s.copies.Value(now))
}

func (s *pool) add(u *upstream) {
	s.list = insert(s.list, u, func(a, b *upstream) int { return cmp.Compare(a.info.ID, b.info.ID) })
	s.ranked = insert(s.ranked, u, func(a, b *upstream) int { return cmp.Compare(a.rank, b.rank) })
}

// insert puts an upstream into an ordered list.
func insert(list []*upstream, u *upstream, compare func(a, b *upstream) int) []*upstream {
	at, _ := slices.BinarySearchFunc(list, u, compare)
	return slices.Insert(list, at, u)
}

// rank orders the engines for long prompts, alike at every router.
func rank(id pomelorelay.UpstreamID) uint64 { return xxhash.Sum64String("long/" + string(id)) }

func (s *pool) remove(u *upstream) {
	is := func(o *upstream) bool { return o == u }
	s.list = slices.DeleteFunc(s.list, is)
	s.ranked = slices.DeleteFunc(s.ranked, is)
}

// spread notes which engines take the long prompts from now on.
func (s *pool) spread(now time.Time, off *Mechanisms) {
	if len(s.ranked) == 0 || s.ranked[0].engine == nil {
		return
	}
	if !off.SlowEngines {
		s.compare(now)
	}
	s.renew(now)
	s.flow.fade(now)
	need := int(math.Ceil(s.pauseWeight * s.flow.engines(float64(s.line.PrefillRate()))))
	need = min(need, int(longMost*float64(len(s.ranked))))
	if need >= s.forLong || now.Sub(s.neededAt) > longKeep {
		s.forLong, s.neededAt = need, now
	}
	need = s.forLong
	for _, u := range s.ranked {
		u.forLong = need > 0 && !u.info.Draining && !u.domain.evacuated && !now.Before(u.downUntil)
		if u.forLong {
			need--
		}
	}
}

// fleet returns how many of something this router and those without a report have, assuming as much for each.
func (s *pool) fleet(own int) int { return own * (1 + s.unreported) }

// notePause takes a stream that ran while its engine read for long.
func (s *pool) notePause(now time.Time, paused bool) {
	sums := pomelospeed.RatioSums{Denominator: 1}
	if paused {
		sums.Numerator = 1
	}
	s.pauses.Observe(now, sums)
}

// compare sets each engine's speed beside that of the middle one: what is the same for all belongs to the service's line, which may
// still be on its way to where it fits.
func (s *pool) compare(now time.Time) {
	s.factors = s.factors[:0]
	for _, u := range s.list {
		s.factors = append(s.factors, u.factor.Ratio(now))
	}
	slices.Sort(s.factors)
	middle := s.factors[len(s.factors)/2]
	for _, u := range s.list {
		u.slow = u.factor.RelativeTo(now, middle)
	}
}

// longCost is what it costs a request to go to an engine of the other kind.
func longCost(u *upstream, r *Request, missing pomelorelay.Tokens) time.Duration {
	if !u.forLong || u.pool.long(missing) {
		return 0
	}
	cost := shortAtLong
	if r.OutputTokens >= manyEvents*max(1, u.engine.TokensPerEvent) {
		cost = streamAtLong
	}
	return part(u.pool.pauseWeight, cost)
}

// long reports whether reading so much at a stretch makes streams beside it pause for too long.
func (s *pool) long(work pomelorelay.Tokens) bool {
	return s.pause > 0 && float64(work)/float64(s.line.PrefillRate()) >= pauseFrom*milliseconds(s.pause)
}
