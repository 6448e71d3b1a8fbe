package pomelolog

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// defaultPerSecond is the number of lines of one event that are written in a second: more than the requests that a small host serves.
const defaultPerSecond = 300

// bound keeps the lines of each event within a number a second and counts those that are left out. Without it a flood of requests is
// also a flood of lines, and the processor goes to writing them; every event keeps its own first lines, so that one cannot hide another.
type bound struct {
	perSecond int
	mu        sync.Mutex
	second    int64
	written   map[pomelorelay.EventID]int
	leftOut   map[pomelorelay.EventID]int
}

func newBound(perSecond int) *bound {
	if perSecond <= 0 {
		perSecond = defaultPerSecond
	}
	return &bound{perSecond: perSecond, written: make(map[pomelorelay.EventID]int), leftOut: make(map[pomelorelay.EventID]int)}
}

// left is how many lines of an event were left out in a second.
type left struct {
	event pomelorelay.EventID
	lines int
}

// take reports whether a line of the event may be written now; with the first line of a second it returns what was left out before.
func (b *bound) take(now time.Time, id pomelorelay.EventID) (bool, []left) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var before []left
	if second := now.Unix(); second != b.second {
		b.second = second
		before = b.sum()
		clear(b.written)
		clear(b.leftOut)
	}
	if b.written[id] >= b.perSecond {
		b.leftOut[id]++
		return false, before
	}
	b.written[id]++
	return true, before
}

func (b *bound) sum() []left {
	var all []left
	for _, id := range slices.Sorted(maps.Keys(b.leftOut)) {
		all = append(all, left{event: id, lines: b.leftOut[id]})
	}
	return all
}
