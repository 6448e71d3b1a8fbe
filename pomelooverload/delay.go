package pomelooverload

import "time"

// Stage is a part of a request's way through the router on which it may wait for the processor.
type Stage int

// Values of Stage.
const (
	// StageAccept is the time from the acceptance of a connection to the decision on its first request.
	StageAccept Stage = iota
	// StagePlace is the time from a placement's request to the control goroutine's decision.
	StagePlace
	// StageTick is the lag of the control goroutine's timer; it shows an overload in which no request gets as far as its decision.
	StageTick
	// StageCount is the number of stages.
	StageCount
)

// delay tracks the minimum delay of one stage by interval.
type delay struct {
	// lateSince is the arrival of the first of the requests that were late without a punctual one after it; late is their number, and lateAt holds
	// the times of the newest ones.
	lateSince time.Duration
	late      int
	lateAt    [minLate]time.Duration
	// least is the minimum in the current interval, if samples is not zero; last is that of the last interval.
	least, last time.Duration
	samples     int
}

func (d *delay) observe(now, waited, threshold time.Duration) {
	if d.samples == 0 || waited < d.least {
		d.least = waited
	}
	d.samples++
	if waited <= threshold {
		d.late = 0
		return
	}
	if d.late == 0 {
		// The queue stood since this request arrived.
		d.lateSince = now - waited
	}
	d.lateAt[d.late%minLate] = now
	d.late++
}

// hasStandingQueue reports whether all requests were late for an interval, which shows a standing queue; a burst that the router absorbs leaves a punctual
// request in each interval. It takes at least the given number of late requests within the interval, at most minLate.
func (d *delay) hasStandingQueue(now, interval time.Duration, least int) bool {
	if d.late < least || now-d.lateSince < interval {
		return false
	}
	return now-d.lateAt[(d.late-least)%minLate] <= interval
}

// endInterval closes an interval and returns its minimum delay; zero without samples.
func (d *delay) endInterval() time.Duration {
	if d.samples == 0 {
		// Without requests nothing waits.
		d.late, d.last = 0, 0
		return 0
	}
	d.last, d.samples = d.least, 0
	return d.last
}

// current returns the delay of the current interval if it has samples, else that of the last one.
func (d *delay) current() time.Duration {
	if d.samples > 0 {
		return d.least
	}
	return d.last
}
