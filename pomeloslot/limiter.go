package pomeloslot

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// maxLateFraction is the fraction of responses that may miss a latency target.
const maxLateFraction = 0.05

// limiter adapts the concurrency limit of an upstream to its latency targets by additive increase and multiplicative
// decrease: it adds a slot after a window in which all slots were used and the latency targets were met, and multiplies
// by ShrinkFactor after one in which the targets were missed or most load reports showed queued requests.
type limiter struct {
	low, high float64
	value     float64
	// changedAt is when the current window started; latencies of requests granted before it are ignored.
	changedAt   time.Time
	samples     int
	lateSamples int
	// hasLatencies is set once a response carried latencies; services other than LLM inference report none.
	hasLatencies bool
	// saturated is set if all slots were taken at some time during the window.
	saturated bool
	// loadReports is the number of load reports in the window, queuedReports the number of those that showed requests
	// queued at the upstream.
	loadReports   int
	queuedReports int
}

// setBounds sets the bounds of the limit, at least one slot each, and clamps the limit to them.
func (l *limiter) setBounds(low, high pomelorelay.Slots) {
	l.low, l.high = float64(max(1, low)), float64(max(1, high))
	l.value = min(max(l.value, l.low), l.high)
}

func (l *limiter) slots() pomelorelay.Slots { return pomelorelay.Slots(l.value) }

// addSample adds the latencies of one response to the window, unless both are zero or the grant was issued before the
// window.
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

// addLoadReport adds a load report to the window. The limit is too high only if requests are queued in most reports: an
// upstream frees a slot slightly after the router saw the end of the response, so the next request may arrive first and
// be queued for a moment. Reacting to single reports would shrink the limit until the upstream was half idle.
func (l *limiter) addLoadReport(waiting int) {
	l.loadReports++
	if waiting > 0 {
		l.queuedReports++
	}
}

// adjust ends a completed window and changes the limit.
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
		return // the window continues until there are enough samples
	case l.saturated:
		l.value = min(l.high, l.value+1)
	}
	l.changedAt, l.samples, l.lateSamples = now, 0, 0
	l.saturated, l.loadReports, l.queuedReports = false, 0, 0
}
