package pomeloplace

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Where an engine lacks shared parts that another one keeps, it copies them from there: engines that are free serve requests of busy
// sessions without reading their shared parts again, and a crowd at one session's engine spreads over the others.

// minCopyTokens is the least number of tokens that are worth a copy's own delay.
const minCopyTokens = 256

// copySource is the engine that keeps most of a prompt, and how much of it must still be read there.
type copySource struct {
	up       *upstream
	uncached pomelorelay.Tokens
}

// findCopySource returns the engine that keeps most of the request's prompt, of several the one that runs least. Prompts are copied only from where the
// request itself may be served.
func (p *Placer) findCopySource(now time.Time, s *pool, r *Request) copySource {
	best := copySource{uncached: r.Prompt}
	for _, u := range s.upstreams {
		if u.engine == nil || len(r.Parts) == 0 || !p.allowed(u, r) || u.domain.evacuated || u.inBackoff(now, &p.cfg.Without) || u.cache.parts[r.Parts[0].Hash] == nil {
			continue
		}
		uncached := u.cache.uncached(r)
		if best.up == nil || uncached < best.uncached || (uncached == best.uncached && u.running() < best.up.running()) {
			best = copySource{u, uncached}
		}
	}
	return best
}

// planCopy decides whether the candidate copies parts that it would have to read, and returns the time of it.
func (p *Placer) planCopy(c *candidate, from copySource, uncached pomelorelay.Tokens) time.Duration {
	tokens := uncached - from.uncached
	if p.cfg.Without.Copies || from.up == nil || from.up == c.up || tokens < minCopyTokens {
		return 0
	}
	if c.up.pool.copyFraction >= 1 {
		return 0
	}
	c.copyFrom, c.copiedTokens = from.up, tokens
	return scale(c.up.pool.copyFraction, c.up.prefillTime(float64(tokens)))
}
