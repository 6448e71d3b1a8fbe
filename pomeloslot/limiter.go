package pomeloslot

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// lateShare is the part of answers that may miss a latency target.
const lateShare = 0.05

// limiter learns how many requests an upstream can run at once within its latency targets: it adds a slot after a
// window in which all were in use and the targets held, and shrinks by a factor after one in which they did not.
type limiter struct {
	low, high float64
	value     float64
	// changed is when the limit last moved; answers to requests from before say nothing about it.
	changed time.Time
	samples int
	late    int
	// timed tells that answers of the upstream carry latencies; a plain service's do not.
	timed bool
	full  bool
	// reports counts load reports of the window, crowded those in which requests waited at the upstream.
	reports int
	crowded int
}

// bound sets the bounds of the limit.
func (l *limiter) bound(low, high pomelorelay.Slots) {
	l.low, l.high = float64(max(1, low)), float64(max(1, high))
	l.value = min(max(l.value, l.low), l.high)
}

// slots returns the limit.
func (l *limiter) slots() pomelorelay.Slots { return pomelorelay.Slots(l.value) }

// sample takes the latencies of one answer; zero latencies say nothing.
func (l *limiter) sample(issued time.Time, first, gap time.Duration, opt LimitOptions) {
	if !issued.After(l.changed) || first == 0 && gap == 0 {
		return
	}
	l.timed = true
	l.samples++
	if first > opt.FirstToken || gap > opt.TokenGap {
		l.late++
	}
}

// report takes one load report. A single one in which a request waits says little: an upstream frees a slot a moment after the
// router saw the answer's end, and the next request is there before. Only when most of a window's reports say so is the limit too
// high; on each single one the limit would shrink to where the upstream is seen half idle.
func (l *limiter) report(waiting int) {
	l.reports++
	if waiting > 0 {
		l.crowded++
	}
}

// move ends a window and moves the limit.
func (l *limiter) move(now time.Time, opt LimitOptions) {
	if now.Sub(l.changed) < opt.Window {
		return
	}
	measured := l.samples >= opt.Samples
	slow := measured && float64(l.late) > lateShare*float64(l.samples)
	switch {
	case slow || 2*l.crowded > l.reports:
		l.value = max(l.low, l.value*opt.Shrink)
	case l.timed && !measured:
		return // the window goes on until there are enough answers
	case l.full:
		l.value = min(l.high, l.value+1)
	}
	l.changed, l.samples, l.late = now, 0, 0
	l.full, l.reports, l.crowded = false, 0, 0
}
