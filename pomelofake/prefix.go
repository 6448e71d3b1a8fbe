package pomelofake

import (
	"container/list"
	"hash/fnv"
)

// prefixBlockBytes is the size of a cached block of a prompt.
const prefixBlockBytes = 64

// prefixCache is an LRU cache of the hashes of prompt prefixes, one for each block.
type prefixCache struct {
	maxBlocks int
	recency   *list.List
	blocks    map[uint64]*list.Element
}

func newPrefixCache(maxBlocks int) *prefixCache {
	return &prefixCache{maxBlocks: maxBlocks, recency: list.New(), blocks: make(map[uint64]*list.Element)}
}

// lookupAndInsert returns the length in bytes of the cached prefix of the prompt, and caches all blocks of the prompt.
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
