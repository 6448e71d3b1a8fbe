package pomeloplace

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"

	"github.com/cespare/xxhash/v2"
)

// An engine reads a long prompt in chunks and gives each stream that runs beside it one token a chunk. While it reads some 26,000
// tokens at a stretch, no event of those streams is complete within the 400 ms that callers expect: each long prompt makes all of
// them late, 20 to 40 at once. So long prompts go to a few engines that streams keep away from.

const (
	// longPrompt is the work from which a prompt is long: seven chunks of 4,096 tokens are read between two events.
	longPrompt = 26000
	// longRoom is the room that long prompts are given for their own work; short answers fill what they leave.
	longRoom = 1.0
	// longMost is the largest part of a service's engines for long prompts.
	longMost = 0.25
	// shyStream and shyShort are what it costs a request to go where long prompts go, in an engine's time: a stream of many events is
	// late there as a rule, an answer of a few events sometimes.
	shyStream = 400 * time.Millisecond
	shyShort  = 25 * time.Millisecond
	// manyEvents is the number of events from which an answer counts as a stream of many.
	manyEvents = 8
	// longKeep is how long an engine goes on taking long prompts when fewer would do. Each change moves the prompts that are kept
	// there, and shared parts are read again.
	longKeep = 15 * time.Second
	// flowFade is the time in which the measured flow of work follows a change by half.
	flowFade = 3 * time.Second
	// pairWork is the work of relating one token to one before it, in tokens that are read: 0.184 ms for a million pairs at 101
	// tokens a millisecond, as both deployments describe their engines.
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

func (f *flow) addOwn(now time.Time, tokens pomelorelay.Tokens) {
	f.add(now, tokens)
	f.own += float64(tokens) * decay
	if tokens >= longPrompt {
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
	// ranked is by a hash that every router knows; the first take the long prompts.
	ranked []*upstream
	flow   flow
	// forLong is how many engines take long prompts, neededAt when so many were last needed.
	forLong  int
	neededAt time.Time
}

func (s *pool) add(u *upstream) {
	s.list = append(s.list, u)
	slices.SortFunc(s.list, func(a, b *upstream) int { return cmp.Compare(a.info.ID, b.info.ID) })
	s.ranked = append(s.ranked, u)
	slices.SortFunc(s.ranked, func(a, b *upstream) int { return cmp.Compare(rank(a), rank(b)) })
}

func rank(u *upstream) uint64 { return xxhash.Sum64String("long/" + string(u.info.ID)) }

func (s *pool) remove(u *upstream) {
	is := func(o *upstream) bool { return o == u }
	s.list = slices.DeleteFunc(s.list, is)
	s.ranked = slices.DeleteFunc(s.ranked, is)
}

// spread notes which engines take the long prompts from now on.
func (s *pool) spread(now time.Time) {
	if len(s.ranked) == 0 || s.ranked[0].engine == nil {
		return
	}
	s.flow.fade(now)
	need := int(math.Ceil(s.flow.engines(s.ranked[0].rate)))
	need = min(need, int(longMost*float64(len(s.ranked))))
	if need >= s.forLong || now.Sub(s.neededAt) > longKeep {
		s.forLong, s.neededAt = need, now
	}
	need = s.forLong
	for _, u := range s.ranked {
		u.forLong = need > 0 && !u.info.Draining && !now.Before(u.downUntil)
		if u.forLong {
			need--
		}
	}
}

// shyCost is what it costs a request to go to an engine of the other kind.
func shyCost(u *upstream, r *Request, missing pomelorelay.Tokens) time.Duration {
	if !u.forLong || missing >= longPrompt {
		return 0
	}
	if r.Output >= manyEvents*max(1, u.engine.EventTokens) {
		return shyStream
	}
	return shyShort
}
