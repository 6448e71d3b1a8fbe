package pomeloplace

import (
	"cmp"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// An engine can copy the KV cache of a shared prompt prefix from another engine instead of prefilling it. Idle engines can then serve requests
// of busy sessions, and a burst of requests to one session's engine spreads over the others.

// minCopyTokens is the minimum number of tokens for which a copy is worth its own latency.
const minCopyTokens = 256

// copySource is the engine with the longest cached prefix of a prompt and the number of tokens uncached there.
type copySource struct {
	up       *upstream
	uncached pomelorelay.Tokens
}

// findCopySource returns the engine with the longest cached prefix of the prompt; of several, the one with the fewest running requests.
// Engines outside the request's allowed regions, under evacuation or in backoff are not eligible; draining ones are.
func (p *Placer) findCopySource(now time.Time, s *pool, r *Request) copySource {
	best := copySource{uncached: r.PromptTokens}
	for _, u := range s.prefixes.found {
		if u.engine == nil || !p.allowed(u, r) || u.domain.evacuated || u.inBackoff(now, &p.cfg.DisabledMechanisms) {
			continue
		}
		uncached := s.prefixes.uncached(u, r)
		if best.up == nil || uncached < best.uncached || (uncached == best.uncached && u.beforeAsSource(best.up)) {
			best = copySource{u, uncached}
		}
	}
	return best
}

// beforeAsSource reports whether the engine is preferred to another one with the same cached prefix.
func (u *upstream) beforeAsSource(o *upstream) bool {
	return cmp.Or(cmp.Compare(u.running(), o.running()), cmp.Compare(u.order, o.order)) < 0
}

// planCopy decides whether the engine copies uncached parts from the source. Nothing is copied when copying takes as long as prefilling.
func (p *Placer) planCopy(plan *prefillPlan, u *upstream, from copySource) {
	tokens := plan.uncached - from.uncached
	if p.cfg.DisabledMechanisms.Copies || from.up == nil || from.up == u || tokens < minCopyTokens || u.pool.copyFraction >= 1 {
		return
	}
	plan.copyFrom, plan.copiedTokens = from.up, tokens
	plan.copyTime = scale(u.pool.copyFraction, prefillTimeAt(plan.rate, float64(tokens)))
}
