package pomeloplace

import (
	"cmp"
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// prefixCache estimates which prompt parts an engine has cached: the most recently used ones of all routers' requests, up to the engine's
// memory.
type prefixCache struct {
	capacity pomelorelay.Tokens
	used     pomelorelay.Tokens
	parts    map[uint64]*cachedPart
	// unidentified holds prompt tokens of other routers whose parts were not reported, oldest first. They occupy engine memory too: if they were
	// not counted, each of n routers would expect parts to stay cached n times as long, and would send requests to engines that must prefill those
	// parts again.
	unidentified []cachedPart
	seq          uint64
	// index is the index of the pool that lists the cache's owner; nil while none does.
	index *prefixIndex
	owner *upstream
}

type cachedPart struct {
	tokens  pomelorelay.Tokens
	lastUse uint64
	// reportedAt is when a use of the part was last reported to the other routers.
	reportedAt time.Time
}

// promptMemoryFraction is the fraction of an engine's memory that prompts fill, running or cached; generated tokens take the rest.
const promptMemoryFraction = 0.95

func (c *prefixCache) add(hash uint64, tokens pomelorelay.Tokens) {
	if c.parts == nil {
		c.parts = make(map[uint64]*cachedPart)
	}
	c.seq++
	if p := c.parts[hash]; p != nil {
		p.lastUse = c.seq
		return
	}
	c.parts[hash] = &cachedPart{tokens: tokens, lastUse: c.seq}
	if c.index != nil {
		c.index.add(hash, c.owner)
	}
	c.grow(tokens)
}

// addUnidentified adds prompt tokens whose parts are unknown.
func (c *prefixCache) addUnidentified(tokens pomelorelay.Tokens) {
	if tokens <= 0 {
		return
	}
	c.seq++
	c.unidentified = append(c.unidentified, cachedPart{tokens: tokens, lastUse: c.seq})
	c.grow(tokens)
}

func (c *prefixCache) grow(tokens pomelorelay.Tokens) {
	c.used += tokens
	if float64(c.used) > promptMemoryFraction*float64(c.capacity) {
		c.evict()
	}
}

// markReported reports whether a use of the part is due for a load report, and marks it as reported. Repeated uses are reported too: otherwise
// the other routers would treat a part that only this router uses as unused since its prefill, and expect its eviction.
func (c *prefixCache) markReported(now time.Time, hash uint64) bool {
	p := c.parts[hash]
	if p == nil || (!p.reportedAt.IsZero() && now.Sub(p.reportedAt) < partReportInterval) {
		return false
	}
	p.reportedAt = now
	return true
}

// partReportInterval is the minimum time between reports of a part; engines cache a part for several times as long after its last use.
const partReportInterval = 2 * time.Second

// evictFraction is the fraction of the cache evicted at once, so that entries need not be sorted on each addition.
const evictFraction = 0.1

func (c *prefixCache) evict() {
	type entry struct {
		hash    uint64
		lastUse uint64
	}
	entries := make([]entry, 0, len(c.parts))
	for hash, p := range c.parts {
		entries = append(entries, entry{hash, p.lastUse})
	}
	slices.SortFunc(entries, func(a, b entry) int { return cmp.Compare(a.lastUse, b.lastUse) })
	target := pomelorelay.Tokens((1 - evictFraction) * promptMemoryFraction * float64(c.capacity))
	for c.used > target && len(entries)+len(c.unidentified) > 0 {
		if len(entries) == 0 || (len(c.unidentified) > 0 && c.unidentified[0].lastUse < entries[0].lastUse) {
			c.used -= c.unidentified[0].tokens
			c.unidentified = c.unidentified[1:]
			continue
		}
		c.used -= c.parts[entries[0].hash].tokens
		delete(c.parts, entries[0].hash)
		if c.index != nil {
			c.index.remove(entries[0].hash, c.owner)
		}
		entries = entries[1:]
	}
}
