package pomeloplace

import (
	"slices"

	"github.com/pomelorelay/pomelorelay"
)

// prefixIndex finds the upstreams of a pool that have a prefix of a prompt cached. Looking each part up in the cache of each upstream would take
// most of the time of a placement among a hundred engines.
type prefixIndex struct {
	// holders lists the upstreams that have a part cached, by the hash of the part.
	holders map[uint64][]*upstream
	// found holds the upstreams with a cached prefix of the prompt of the latest search, in no particular order; search numbers the searches.
	found  []*upstream
	search uint64
}

// cachedPrefix is the cached prefix of a prompt at an upstream; it is empty unless search is the index's current one.
type cachedPrefix struct {
	search uint64
	// parts is the number of cached parts, and uncached the number of prompt tokens after them.
	parts    int
	uncached pomelorelay.Tokens
}

func (x *prefixIndex) add(hash uint64, u *upstream) {
	if x.holders == nil {
		x.holders = make(map[uint64][]*upstream)
	}
	x.holders[hash] = append(x.holders[hash], u)
}

func (x *prefixIndex) remove(hash uint64, u *upstream) {
	holders := x.holders[hash]
	i := slices.Index(holders, u)
	last := len(holders) - 1
	if i < 0 {
		return
	}
	if last == 0 {
		delete(x.holders, hash)
		return
	}
	holders[i], holders[last] = holders[last], nil
	x.holders[hash] = holders[:last]
}

// addUpstream adds all cached parts of an upstream and keeps the index up to date with its cache.
func (x *prefixIndex) addUpstream(u *upstream) {
	u.cache.index, u.cache.owner = x, u
	for hash := range u.cache.parts {
		x.add(hash, u)
	}
}

// removeUpstream removes all cached parts of an upstream.
func (x *prefixIndex) removeUpstream(u *upstream) {
	for hash := range u.cache.parts {
		x.remove(hash, u)
	}
	u.cache.index = nil
	clear(x.found)
	x.found = x.found[:0]
}

// find determines the cached prefix of the prompt at each upstream.
func (x *prefixIndex) find(r *Request) {
	x.search++
	x.found = x.found[:0]
	remaining := r.PromptTokens
	for i, part := range r.Parts {
		remaining = max(0, remaining-part.Tokens)
		advanced := false
		for _, u := range x.holders[part.Hash] {
			c := &u.cachedPrefix
			switch {
			case i == 0:
				x.found = append(x.found, u)
			case c.search != x.search || c.parts != i:
				continue
			}
			*c, advanced = cachedPrefix{search: x.search, parts: i + 1, uncached: remaining}, true
		}
		if !advanced {
			return
		}
	}
}

// uncached returns the number of prompt tokens that the upstream must prefill or copy: everything from the first uncached part on, and at least
// one token if the whole prompt consists of cached parts.
func (x *prefixIndex) uncached(u *upstream, r *Request) pomelorelay.Tokens {
	c := &u.cachedPrefix
	switch {
	case c.search != x.search && len(r.Parts) > 0:
		return r.PromptTokens
	case len(r.Parts) == 0:
		return max(r.PromptTokens, 1)
	case c.parts == len(r.Parts):
		return max(c.uncached, 1)
	}
	return c.uncached
}
