package pomeloslot

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// maxLateFraction is the part of answers that may miss a latency target.
const maxLateFraction = 0.05

// limiter learns how many requests an upstream can run at once within its latency targets: it adds a slot after a
// window in which all were in use and the targets held, and shrinks by a factor after one in which they did not.
type limiter struct {
	low, high float64
	value     float64
	// changedAt is when the limit last moved; answers to requests from before say nothing about it.
	changedAt   time.Time
	samples     int
	lateSamples int
	// hasLatencies tells that answers of the upstream carry latencies; a plain service's do not.
	hasLatencies bool
	saturated    bool
	// loadReports counts load reports of the window, crowded those in which requests waited at the upstream.
	loadReports   int
	queuedReports int
}

// setBounds sets the bounds of the limit.
func (l *limiter) setBounds(low, high pomelorelay.Slots) {
	l.low, l.high = float64(max(1, low)), float64(max(1, high))
	l.value = min(max(l.value, l.low), l.high)
}

// slots returns the limit.
func (l *limiter) slots() pomelorelay.Slots { return pomelorelay.Slots(l.value) }

// addSample takes the latencies of one answer; zero latencies say nothing.
func (l *limiter) addSample(issued time.Time, first, gap time.Duration, opt LimitOptions) {
	if !issued.After(l.changedAt) || first == 0 && gap == 0 {
		return
	}
	l.hasLatencies = true
	l.samples++
	if first > opt.FirstTokenTarget || gap > opt.TokenGapTarget {
		l.lateSamples++
	}
}

// addLoadReport takes one load report. A single one in which a request waits says little: an upstream frees a slot a moment after the
// router saw the answer's end, and the next request is there before. Only when most of a window's reports say so is the limit too
// high; on each single one the limit would shrink to where the upstream is seen half idle.
func (l *limiter) addLoadReport(waiting int) {
	l.loadReports++
	if waiting > 0 {
		l.queuedReports++
	}
}

// adjust ends a window and moves the limit.
func (l *limiter) adjust(now time.Time, opt LimitOptions) {
	if now.Sub(l.changedAt) < opt.Window {
		return
	}
	measured := l.samples >= opt.MinSamples
	slow := measured && float64(l.lateSamples) > maxLateFraction*float64(l.samples)
	switch {
	case slow || 2*l.queuedReports > l.loadReports:
		l.value = max(l.low, l.value*opt.ShrinkFactor)
	case l.hasLatencies && !measured:
		return // the window goes on until there are enough answers
	case l.saturated:
		l.value = min(l.high, l.value+1)
	}
	l.changedAt, l.samples, l.lateSamples = now, 0, 0
	l.saturated, l.loadReports, l.queuedReports = false, 0, 0
}
