package pomeloplace

import (
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelowarmup"
)

// PlaceExhaustively is Place with a complete evaluation of every upstream, and without the index of prefixes.
func (p *Placer) PlaceExhaustively(now time.Time, r Request) Decision {
	best, outcome, found := p.exhaustiveAdmitted(now, &r, pomelowarmup.AdmissionOpen)
	if !found || outcome.bound != BoundNone {
		if cold, admitted, ok := p.exhaustiveAdmitted(now, &r, pomelowarmup.AdmissionFallback); ok && (admitted.bound == BoundNone || !found) {
			best, outcome, found = cold, admitted, true
		}
	}
	if !found {
		return p.noUpstreamDecision(now, &r)
	}
	return p.decide(now, best, outcome, &r)
}

func (p *Placer) exhaustiveAdmitted(now time.Time, r *Request, class pomelowarmup.Admission) (candidate, admission, bool) {
	best, found := p.exhaustiveBest(now, r, class, false)
	if !found {
		return best, admission{}, false
	}
	outcome := p.admit(now, best, r)
	if outcome.bound == BoundNone {
		return best, outcome, true
	}
	plain, _ := p.exhaustiveBest(now, r, class, true)
	if admitted := p.admit(now, plain, r); admitted.bound == BoundNone {
		outcome = admitted
		if plain.up != best.up {
			best = plain
		}
	}
	best.up.refreshAnnounced(now)
	return best, outcome, true
}

func (p *Placer) exhaustiveBest(now time.Time, r *Request, class pomelowarmup.Admission, withoutAnnounced bool) (best candidate, found bool) {
	s := p.pools[r.Service]
	source := copySource{uncached: r.PromptTokens}
	for _, u := range s.upstreams {
		if u.engine == nil || len(r.Parts) == 0 || !p.allowed(u, r) || u.domain.evacuated || u.inBackoff(now, &p.cfg.DisabledMechanisms) || u.cache.parts[r.Parts[0].Hash] == nil {
			continue
		}
		if n := u.cache.uncached(r); source.up == nil || n < source.uncached || (n == source.uncached && u.running() < source.up.running()) {
			source = copySource{u, n}
		}
	}
	s.refreshEstimates(now)
	minUncached := r.PromptTokens
	for round := 0; round < 2 && !found; round++ {
		for _, u := range s.upstreams {
			if !p.usable(u, r) || u.warmup.Admission(now) != class || (round == 0 && (u.inBackoff(now, &p.cfg.DisabledMechanisms) || slices.Contains(r.Avoid, u.info.ID))) {
				continue
			}
			if u.refreshAnnounced(now); withoutAnnounced {
				u.momentary, u.announcedRunning = 1, 0
			}
			plan := prefillPlan{}
			if u.engine != nil {
				plan = p.newPrefillPlan(u, source, u.cache.uncached(r), u.prefillRate(), r)
			}
			c := p.evaluate(now, u, &plan, r)
			minUncached = min(minUncached, c.uncachedShared)
			if !found || c.cost < best.cost {
				best, found = c, true
			}
		}
	}
	best.recomputed = best.uncachedShared - minUncached
	return best, found
}

// uncached returns the number of prompt tokens after the cached prefix, and at least one token.
func (c *prefixCache) uncached(r *Request) pomelorelay.Tokens {
	remaining := r.PromptTokens
	for _, p := range r.Parts {
		if c.parts[p.Hash] == nil {
			return remaining
		}
		remaining = max(0, remaining-p.Tokens)
	}
	return max(remaining, 1)
}

// Runs returns the number of this router's runs that are kept for the slot time of an upstream.
func (p *Placer) Runs(id pomelorelay.UpstreamID) int { return len(p.upstreams[id].runs) }

// Momentary returns the momentary factor of an upstream as of its last evaluation.
func (p *Placer) Momentary(id pomelorelay.UpstreamID) float64 { return p.upstreams[id].momentary }
