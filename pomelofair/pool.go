package pomelofair

import "github.com/pomelorelay/pomelorelay"

// noPlace is the place of an account that is not in the heap.
const noPlace = -1

// pool keeps the waiting accounts in a heap by key. A key may be lower than its account's tag, never higher: tags
// mostly rise, so a risen one is put right only when it reaches the top.
type pool struct {
	id       pomelorelay.PoolID
	options  PoolOptions
	accounts map[pomelorelay.AccountID]*account
	order    []*account
	heap     []*account
	waiting  int
	virtual  pomelorelay.Tag
	told     bool
	// crest is the highest virtual time so far, the own one or another domain's.
	crest    pomelorelay.Tag
	mean     pomelorelay.Cost
	meanSeen bool
}

// observe raises the virtual time while nobody tells it.
func (p *pool) observe(tag pomelorelay.Tag) {
	if !p.told && tag > p.virtual {
		p.virtual = tag
	}
}

// enter puts a waiting account into the heap, or right when it is there already.
func (p *pool) enter(a *account) {
	if a.place != noPlace {
		p.lower(a)
		return
	}
	a.key = a.tag()
	a.place = len(p.heap)
	p.heap = append(p.heap, a)
	p.up(a.place)
}

// lower moves an account whose tag fell; a risen tag waits for lowest.
func (p *pool) lower(a *account) {
	if a.place == noPlace {
		return
	}
	if tag := a.tag(); tag < a.key {
		a.key = tag
		p.up(a.place)
	}
}

// settle takes an account out of the heap when nothing of it waits.
func (p *pool) settle(a *account) {
	if a.waiting > 0 || a.place == noPlace {
		p.lower(a)
		return
	}
	i := a.place
	last := len(p.heap) - 1
	p.swap(i, last)
	p.heap[last] = nil
	p.heap = p.heap[:last]
	a.place = noPlace
	if i < last {
		p.down(i)
		p.up(i)
	}
}

// lowest returns the waiting account of the lowest tag; there must be one.
func (p *pool) lowest() *account {
	for {
		a := p.heap[0]
		tag := a.tag()
		if tag <= a.key {
			return a
		}
		a.key = tag
		p.down(0)
	}
}

func (p *pool) less(i, j int) bool {
	if p.heap[i].key != p.heap[j].key {
		return p.heap[i].key < p.heap[j].key
	}
	return p.heap[i].id < p.heap[j].id
}

func (p *pool) swap(i, j int) {
	p.heap[i], p.heap[j] = p.heap[j], p.heap[i]
	p.heap[i].place = i
	p.heap[j].place = j
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
