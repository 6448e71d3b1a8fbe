package pomelolog

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// defaultPerSecond is the default number of lines per second of one event: more than the requests per second that a small host serves.
const defaultPerSecond = 300

// bound limits the lines per second of each event and counts the suppressed ones. Without it a flood of requests would cause a flood
// of lines and use up the CPU. Limits are per event, so that a frequent event does not suppress the lines of others.
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

// left is the number of lines of an event that were suppressed within one second.
type left struct {
	event pomelorelay.EventID
	lines int
}

// take reports whether a line of the event may be written now. The first call in a second also returns the lines suppressed before.
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
