package pomeloslot

import "time"

// prefixCache tracks the prompt prefixes that an upstream probably has cached. Cache events can be late or missing, so
// entries expire; a wrong entry costs only a cache miss and does not affect fairness between accounts beyond PrefixMargin.
type prefixCache struct {
	lastSeen map[uint64]time.Time
}

func (p *prefixCache) add(now time.Time, prefix uint64, maxEntries int) {
	if _, found := p.lastSeen[prefix]; !found && len(p.lastSeen) >= maxEntries {
		p.evictOldest()
	}
	p.lastSeen[prefix] = now
}

func (p *prefixCache) addAll(now time.Time, list []uint64, maxEntries int) {
	for _, prefix := range list {
		p.add(now, prefix, maxEntries)
	}
}

func (p *prefixCache) evictOldest() {
	var oldest uint64
	var at time.Time
	for prefix, seen := range p.lastSeen {
		if at.IsZero() || seen.Before(at) || seen.Equal(at) && prefix < oldest {
			oldest, at = prefix, seen
		}
	}
	delete(p.lastSeen, oldest)
}

func (p *prefixCache) holdsAny(now time.Time, list []uint64, ttl time.Duration) bool {
	for _, prefix := range list {
		if at, found := p.lastSeen[prefix]; found && now.Sub(at) <= ttl {
			return true
		}
	}
	return false
}
