package pomeloplace

import (
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelowarmup"
)

// search finds the candidate with the lowest cost for a request. Of candidates with the same cost, the first in the pool's order is selected.
type search struct {
	p      *Placer
	now    time.Time
	r      *Request
	pool   *pool
	class  pomelowarmup.Admission
	source copySource
	best   candidate
	found  bool
	// minUncached is the minimum number of uncached shared tokens over all candidates.
	minUncached pomelorelay.Tokens
	// withoutAnnounced leaves announced figures out, and announcedSeen reports whether they change the estimate of an upstream.
	withoutAnnounced, announcedSeen bool
	// fallbackSeen reports whether an upstream is usable only as a fallback.
	fallbackSeen bool
	// plan is the latest plan for an engine other than the source of copies; most engines have the same. sourcePlan is the plan for the source.
	plan, sourcePlan prefillPlan
}

// search returns the search for the candidate with the lowest cost among the upstreams of an admission class. Upstreams in backoff and those that
// failed this request are considered only if there is no other.
func (p *Placer) search(now time.Time, r *Request, class pomelowarmup.Admission, withoutAnnounced bool) search {
	s := search{p: p, now: now, r: r, pool: p.pools[r.Service], class: class, withoutAnnounced: withoutAnnounced, minUncached: r.PromptTokens}
	if s.pool == nil {
		return s
	}
	s.pool.refreshEstimates(now)
	s.pool.prefixes.find(r)
	s.source = p.findCopySource(now, s.pool, r)
	s.run(false)
	if !s.found {
		s.run(true)
	}
	s.best.recomputed = s.best.uncachedShared - s.minUncached
	return s
}

// run considers the upstreams. The source of copies is considered first: it usually has a low cost, so that most others need no evaluation.
func (s *search) run(lastResort bool) {
	if s.source.up != nil && s.eligible(s.source.up, lastResort) {
		s.consider(s.source.up)
	}
	for _, u := range s.pool.upstreams {
		if s.eligible(u, lastResort) {
			s.consider(u)
		}
	}
}

// eligible reports whether the upstream is a candidate; lastResort includes upstreams in backoff, those that failed this request, and for resumable streams
// those whose process is not the registered one.
func (s *search) eligible(u *upstream, lastResort bool) bool {
	if !s.p.usable(u, s.r) {
		return false
	}
	if class := u.warmup.Admission(s.now); class != s.class {
		s.fallbackSeen = s.fallbackSeen || class == pomelowarmup.AdmissionFallback
		return false
	}
	return lastResort || (!u.inBackoff(s.now, &s.p.cfg.DisabledMechanisms) && !slices.Contains(s.r.Avoid, u.info.ID) && !(u.replaced && s.r.Resumable))
}

// consider selects the upstream if its cost is lower than that of the best candidate so far. The prefill and the prefix affinity distinguish
// engines most; since the other terms of the cost are not negative, most engines need no complete evaluation.
func (s *search) consider(u *upstream) {
	if s.withoutAnnounced {
		u.momentary, u.announcedRunning = 1, 0
	} else {
		u.refreshAnnounced(s.now)
		s.announcedSeen = s.announcedSeen || u.momentary > 1 || u.announcedRunning > u.running()
	}
	if u.engine == nil {
		s.minUncached = 0
		s.evaluate(u, &prefillPlan{})
		return
	}
	plan := s.planPrefill(u)
	s.minUncached = min(s.minUncached, plan.uncachedShared)
	u.updateQueue(s.now)
	if s.beatsBest(u, plan.cost) && (s.p.cfg.DisabledMechanisms.PrefixAffinity || s.beatsBest(u, plan.cost+affinityCost(u, s.r))) {
		s.evaluate(u, plan)
	}
}

func (s *search) evaluate(u *upstream, plan *prefillPlan) {
	if c := s.p.evaluate(s.now, u, plan, s.r); s.beatsBest(u, c.cost) {
		s.best, s.found = c, true
	}
}

// planPrefill returns the plan for the engine, reusing the latest one if it has the same input.
func (s *search) planPrefill(u *upstream) *prefillPlan {
	uncached, rate := s.pool.prefixes.uncached(u, s.r), u.prefillRate()
	if s.source.up == u {
		s.sourcePlan = s.p.newPrefillPlan(u, s.source, uncached, rate, s.r)
		return &s.sourcePlan
	}
	if uncached != s.plan.uncached || rate != s.plan.rate {
		s.plan = s.p.newPrefillPlan(u, s.source, uncached, rate, s.r)
	}
	return &s.plan
}

// beatsBest reports whether an upstream with the given cost is better than the best candidate so far.
func (s *search) beatsBest(u *upstream, cost time.Duration) bool {
	return !s.found || cost < s.best.cost || (cost == s.best.cost && u.order < s.best.up.order)
}
