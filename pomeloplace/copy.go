package pomeloplace

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Where an engine lacks shared parts that another one keeps, it copies them from there: engines that are free serve requests of busy
// sessions without reading their shared parts again, and a crowd at one session's engine spreads over the others.

// leastCopy is the least number of tokens that are worth a copy's own delay.
const leastCopy = 256

// source is the engine that keeps most of a prompt, and how much of it must still be read there.
type source struct {
	up      *upstream
	missing pomelorelay.Tokens
}

// source returns the engine that keeps most of the request's prompt, of several the one that runs least. Prompts are copied only from where the
// request itself may be served.
func (p *Placer) source(now time.Time, s *pool, r *Request) source {
	best := source{missing: r.PromptTokens}
	for _, u := range s.list {
		if u.engine == nil || len(r.Parts) == 0 || !p.allowed(u, r) || u.domain.evacuated || u.rests(now, &p.cfg.Disabled) || u.kept.parts[r.Parts[0].Hash] == nil {
			continue
		}
		missing := u.kept.missing(r)
		if best.up == nil || missing < best.missing || (missing == best.missing && u.running() < best.up.running()) {
			best = source{u, missing}
		}
	}
	return best
}

// copy decides whether the candidate copies parts that it would have to read, and returns the time of it.
func (p *Placer) copy(c *candidate, from source, missing pomelorelay.Tokens) time.Duration {
	tokens := missing - from.missing
	if p.cfg.Disabled.Copies || from.up == nil || from.up == c.up || tokens < leastCopy {
		return 0
	}
	if c.up.pool.copyPart >= 1 {
		return 0
	}
	c.from, c.copied = from.up, tokens
	return part(c.up.pool.copyPart, c.up.reading(float64(tokens)))
}
