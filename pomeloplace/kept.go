package pomeloplace

import (
	"cmp"
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// prefixCache is what an engine probably keeps of prompts it has read: what all routers sent there last, up to its memory.
type prefixCache struct {
	capacity pomelorelay.Tokens
	used     pomelorelay.Tokens
	parts    map[uint64]*cachedPart
	// unidentified are prompts of other routers' requests whose parts were not reported, oldest first. They take memory like the others: left
	// out, each router would expect its parts to be kept as many times as long as there are routers, and send requests to engines that
	// have to read them again.
	unidentified []cachedPart
	seq          uint64
}

type cachedPart struct {
	tokens  pomelorelay.Tokens
	lastUse uint64
	// reportedAt is when its use was last reported to the others.
	reportedAt time.Time
}

// promptMemoryFraction is the part of an engine's memory that prompts, running and kept, are taken to fill; generated tokens take the rest.
const promptMemoryFraction = 0.95

func (k *prefixCache) add(hash uint64, tokens pomelorelay.Tokens) {
	if k.parts == nil {
		k.parts = make(map[uint64]*cachedPart)
	}
	k.seq++
	if p := k.parts[hash]; p != nil {
		p.lastUse = k.seq
		return
	}
	k.parts[hash] = &cachedPart{tokens: tokens, lastUse: k.seq}
	k.grow(tokens)
}

// addUnidentified takes tokens of prompts whose parts are not known.
func (k *prefixCache) addUnidentified(tokens pomelorelay.Tokens) {
	if tokens <= 0 {
		return
	}
	k.seq++
	k.unidentified = append(k.unidentified, cachedPart{tokens: tokens, lastUse: k.seq})
	k.grow(tokens)
}

func (k *prefixCache) grow(tokens pomelorelay.Tokens) {
	k.used += tokens
	if float64(k.used) > promptMemoryFraction*float64(k.capacity) {
		k.evict()
	}
}

// markReported reports whether a use of the part is due for a report to the others, and notes that it is sent. Used by one router only, a part would
// look to the others as if it had not been used since it was read.
func (k *prefixCache) markReported(now time.Time, hash uint64) bool {
	p := k.parts[hash]
	if p == nil || (!p.reportedAt.IsZero() && now.Sub(p.reportedAt) < partReportInterval) {
		return false
	}
	p.reportedAt = now
	return true
}

// partReportInterval is the time after which another use of a part is reported; engines keep a part for several times as long after its last use.
const partReportInterval = 2 * time.Second

// evictFraction is how much of what is kept goes at once, so that the oldest need not be sought each time.
const evictFraction = 0.1

func (k *prefixCache) evict() {
	type entry struct {
		hash    uint64
		lastUse uint64
	}
	entries := make([]entry, 0, len(k.parts))
	for hash, p := range k.parts {
		entries = append(entries, entry{hash, p.lastUse})
	}
	slices.SortFunc(entries, func(a, b entry) int { return cmp.Compare(a.lastUse, b.lastUse) })
	target := pomelorelay.Tokens((1 - evictFraction) * promptMemoryFraction * float64(k.capacity))
	for k.used > target && len(entries)+len(k.unidentified) > 0 {
		if len(entries) == 0 || (len(k.unidentified) > 0 && k.unidentified[0].lastUse < entries[0].lastUse) {
			k.used -= k.unidentified[0].tokens
			k.unidentified = k.unidentified[1:]
			continue
		}
		k.used -= k.parts[entries[0].hash].tokens
		delete(k.parts, entries[0].hash)
		entries = entries[1:]
	}
}

// uncached returns the tokens of a prompt that must be read: all from the first part that is not kept.
func (k *prefixCache) uncached(r *Request) pomelorelay.Tokens {
	remaining := r.Prompt
	for _, p := range r.Parts {
		if k.parts[p.Hash] == nil {
			return remaining
		}
		remaining = max(0, remaining-p.Tokens)
	}
	return max(remaining, 1)
}
