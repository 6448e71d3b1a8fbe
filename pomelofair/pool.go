package pomelofair

import "github.com/pomelorelay/pomelorelay"

// notInHeap is the heapIndex of an account that is not in the heap.
const notInHeap = -1

// pool keeps the accounts with waiting requests in a min-heap by heapKey. A key may be lower than the tag of its
// account, but never higher: tags mostly increase, so the key of an account whose tag increased is updated only when
// that account reaches the top.
type pool struct {
	id              pomelorelay.PoolID
	options         PoolOptions
	accounts        map[pomelorelay.AccountID]*account
	orderedAccounts []*account // in order of first use, to be deterministic
	heap            []*account
	waiting         int
	virtualTime     pomelorelay.Tag
	virtualTimeSet  bool
	// maxVirtualTime is the highest virtual time so far, of the local or another failure domain.
	maxVirtualTime pomelorelay.Tag
	meanCost       pomelorelay.Cost
	hasMeanCost    bool
}

// raiseVirtualTime raises the virtual time to the tag, unless SetVirtualTime has set it.
func (p *pool) raiseVirtualTime(tag pomelorelay.Tag) {
	if !p.virtualTimeSet && tag > p.virtualTime {
		p.virtualTime = tag
	}
}

// insert adds an account to the heap, or updates its key if it is in the heap already.
func (p *pool) insert(a *account) {
	if a.heapIndex != notInHeap {
		p.decreaseKey(a)
		return
	}
	a.heapKey = a.tag()
	a.heapIndex = len(p.heap)
	p.heap = append(p.heap, a)
	p.up(a.heapIndex)
}

// decreaseKey updates the key of an account whose tag has decreased; the key of an increased tag is updated by lowest.
func (p *pool) decreaseKey(a *account) {
	if a.heapIndex == notInHeap {
		return
	}
	if tag := a.tag(); tag < a.heapKey {
		a.heapKey = tag
		p.up(a.heapIndex)
	}
}

// removeIfEmpty removes an account without waiting requests from the heap, and updates the key of any other.
func (p *pool) removeIfEmpty(a *account) {
	if a.waiting > 0 || a.heapIndex == notInHeap {
		p.decreaseKey(a)
		return
	}
	i := a.heapIndex
	last := len(p.heap) - 1
	p.swap(i, last)
	p.heap[last] = nil
	p.heap = p.heap[:last]
	a.heapIndex = notInHeap
	if i < last {
		p.down(i)
		p.up(i)
	}
}

// lowest returns the account with the lowest tag; the heap must not be empty.
func (p *pool) lowest() *account {
	for {
		a := p.heap[0]
		tag := a.tag()
		if tag <= a.heapKey {
			return a
		}
		a.heapKey = tag
		p.down(0)
	}
}

func (p *pool) less(i, j int) bool {
	if p.heap[i].heapKey != p.heap[j].heapKey {
		return p.heap[i].heapKey < p.heap[j].heapKey
	}
	return p.heap[i].id < p.heap[j].id
}

func (p *pool) swap(i, j int) {
	p.heap[i], p.heap[j] = p.heap[j], p.heap[i]
	p.heap[i].heapIndex = i
	p.heap[j].heapIndex = j
}

func (p *pool) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !p.less(i, parent) {
			return
		}
		p.swap(i, parent)
		i = parent
	}
}

func (p *pool) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(p.heap) {
			return
		}
		if child+1 < len(p.heap) && p.less(child+1, child) {
			child++
		}
		if !p.less(child, i) {
			return
		}
		p.swap(i, child)
		i = child
	}
}
