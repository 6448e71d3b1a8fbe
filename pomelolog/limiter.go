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

// limiter limits the number of lines per second of each event and counts the suppressed lines. Without a limit a flood of requests would
// cause a flood of lines and use up the CPU. Limits are per event, so that a frequent event does not suppress the lines of others.
type limiter struct {
	limit      int
	mu         sync.Mutex
	second     int64
	written    map[pomelorelay.EventID]int
	suppressed map[pomelorelay.EventID]int
}

func newLimiter(perSecond int) *limiter {
	if perSecond <= 0 {
		perSecond = defaultPerSecond
	}
	return &limiter{limit: perSecond, written: make(map[pomelorelay.EventID]int), suppressed: make(map[pomelorelay.EventID]int)}
}

// suppressedLines is an event with the number of its lines that were suppressed within one second.
type suppressedLines struct {
	event pomelorelay.EventID
	count int
}

// allow reports whether a line of the event may be written now. The first call in a second also returns the numbers of lines suppressed
// before.
func (l *limiter) allow(now time.Time, id pomelorelay.EventID) (bool, []suppressedLines) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var suppressed []suppressedLines
	if second := now.Unix(); second != l.second {
		l.second = second
		suppressed = l.suppressedCounts()
		clear(l.written)
		clear(l.suppressed)
	}
	if l.written[id] >= l.limit {
		l.suppressed[id]++
		return false, suppressed
	}
	l.written[id]++
	return true, suppressed
}

func (l *limiter) suppressedCounts() []suppressedLines {
	var counts []suppressedLines
	for _, id := range slices.Sorted(maps.Keys(l.suppressed)) {
		counts = append(counts, suppressedLines{event: id, count: l.suppressed[id]})
	}
	return counts
}
