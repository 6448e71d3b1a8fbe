package pomelofake

import (
	"container/list"
	"hash/fnv"
)

// prefixBlock is the length in bytes of a cached piece of a prompt.
const prefixBlock = 64

// prefixCache remembers which prompt prefixes were computed, up to a number of blocks; the least recently used go first.
type prefixCache struct {
	limit  int
	order  *list.List
	blocks map[uint64]*list.Element
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), blocks: make(map[uint64]*list.Element)}
}

// use returns how many bytes of the prompt's start were cached and caches the whole prompt.
func (p *prefixCache) use(prompt string) int {
	hash := fnv.New64a()
	cached := 0
	for start := 0; start+prefixBlock <= len(prompt); start += prefixBlock {
		_, _ = hash.Write([]byte(prompt[start : start+prefixBlock]))
		if p.touch(hash.Sum64()) && cached == start {
			cached = start + prefixBlock
		}
	}
	return cached
}

func (p *prefixCache) touch(block uint64) bool {
	if element, ok := p.blocks[block]; ok {
		p.order.MoveToFront(element)
		return true
	}
	if p.limit <= 0 {
		return false
	}
	p.blocks[block] = p.order.PushFront(block)
	if p.order.Len() > p.limit {
		oldest := p.order.Back()
		delete(p.blocks, oldest.Value.(uint64))
		p.order.Remove(oldest)
	}
	return false
}
