package pomeloplace

import (
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
	for _, u := range s.upstreams {
		if u.engine == nil || len(r.Parts) == 0 || !p.allowed(u, r) || u.domain.evacuated || u.inBackoff(now, &p.cfg.DisabledMechanisms) || u.cache.parts[r.Parts[0].Hash] == nil {
			continue
		}
		uncached := u.cache.uncached(r)
		if best.up == nil || uncached < best.uncached || (uncached == best.uncached && u.running() < best.up.running()) {
			best = copySource{u, uncached}
		}
	}
	return best
}

// planCopy decides whether the candidate copies uncached parts from the source, and returns the estimated copy time. Nothing is copied when
// copying takes as long as prefilling.
func (p *Placer) planCopy(c *candidate, from copySource, uncached pomelorelay.Tokens) time.Duration {
	tokens := uncached - from.uncached
	if p.cfg.DisabledMechanisms.Copies || from.up == nil || from.up == c.up || tokens < minCopyTokens {
		return 0
	}
	if c.up.pool.copyFraction >= 1 {
		return 0
	}
	c.copyFrom, c.copiedTokens = from.up, tokens
	return scale(c.up.pool.copyFraction, c.up.prefillTime(float64(tokens)))
}
