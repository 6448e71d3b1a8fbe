package pomelofake

import (
	"container/list"
	"hash/fnv"
)

// prefixBlockBytes is the length in bytes of a cached piece of a prompt.
const prefixBlockBytes = 64

// prefixCache remembers which prompt prefixes were computed, up to a number of blocks; the least recently used go first.
type prefixCache struct {
	maxBlocks  int
	recency  *list.List
	blocks map[uint64]*list.Element
}

func newPrefixCache(maxBlocks int) *prefixCache {
	return &prefixCache{maxBlocks: maxBlocks, recency: list.New(), blocks: make(map[uint64]*list.Element)}
}

// lookupAndInsert returns how many bytes of the prompt's start were cached and caches the whole prompt.
func (p *prefixCache) lookupAndInsert(prompt string) int {
	hash := fnv.New64a()
	cached := 0
	for start := 0; start+prefixBlockBytes <= len(prompt); start += prefixBlockBytes {
		_, _ = hash.Write([]byte(prompt[start : start+prefixBlockBytes]))
		if p.touch(hash.Sum64()) && cached == start {
			cached = start + prefixBlockBytes
		}
	}
	return cached
}

func (p *prefixCache) touch(block uint64) bool {
	if element, ok := p.blocks[block]; ok {
		p.recency.MoveToFront(element)
		return true
	}
	if p.maxBlocks <= 0 {
		return false
	}
	p.blocks[block] = p.recency.PushFront(block)
	if p.recency.Len() > p.maxBlocks {
		oldest := p.recency.Back()
		delete(p.blocks, oldest.Value.(uint64))
		p.recency.Remove(oldest)
	}
	return false
}
