package pomeloslot

import "time"

// prefixes remembers which prompt prefixes an upstream probably holds. It is a guess: events come late or never, so
// entries age out, and a wrong one costs only a cache miss, never an account's place.
type prefixes struct {
	seen map[uint64]time.Time
}

func (p *prefixes) add(now time.Time, prefix uint64, most int) {
	if _, found := p.seen[prefix]; !found && len(p.seen) >= most {
		p.dropOldest()
	}
	p.seen[prefix] = now
}

func (p *prefixes) addAll(now time.Time, list []uint64, most int) {
	for _, prefix := range list {
		p.add(now, prefix, most)
	}
}

func (p *prefixes) dropOldest() {
	var oldest uint64
	var at time.Time
	for prefix, seen := range p.seen {
		if at.IsZero() || seen.Before(at) || seen.Equal(at) && prefix < oldest {
			oldest, at = prefix, seen
		}
	}
	delete(p.seen, oldest)
}

func (p *prefixes) holdsAny(now time.Time, list []uint64, ttl time.Duration) bool {
	for _, prefix := range list {
		if at, found := p.seen[prefix]; found && now.Sub(at) <= ttl {
			return true
		}
	}
	return false
}
