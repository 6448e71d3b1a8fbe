package pomeloslot

import "time"

// peakIntervals is the number of intervals into which MaxLoadLag is divided.
const peakIntervals = 8

// loadTracker compares an upstream's load reports with the slots that its owner has granted.
type loadTracker struct {
	lastReport LoadReport
	reported   bool
	// excess is the number of reported requests that no known grant accounts for.
	excess int
	peaks  [peakIntervals + 1]peak
}

// peak is the largest number of slots taken within one interval.
type peak struct {
	interval int64
	taken    int
}

// recordPeak updates the peak of the current interval.
func (l *loadTracker) recordPeak(now time.Time, taken int, lag time.Duration) {
	interval := now.UnixNano() / int64(lag/peakIntervals)
	p := &l.peaks[interval%int64(len(l.peaks))]
	if p.interval != interval {
		*p = peak{interval: interval}
	}
	p.taken = max(p.taken, taken)
}

// maxTaken returns the largest number of slots taken during the period that a report received now may describe.
func (l *loadTracker) maxTaken(now time.Time, lag time.Duration) int {
	interval := now.UnixNano() / int64(lag/peakIntervals)
	highest := 0
	for _, p := range l.peaks {
		if interval-p.interval <= peakIntervals {
			highest = max(highest, p.taken)
		}
	}
	return highest
}

// resetLoad discards the last report after a crash.
func (l *loadTracker) resetLoad() {
	l.reported, l.excess = false, 0
}

// updateLoad applies a load report and detects requests sent by another owner. A report describes an earlier state, so
// only the excess over this owner's recent peak counts; otherwise every request that just ended would be attributed to
// another owner.
func (u *upstream) updateLoad(now time.Time, load LoadReport, lag time.Duration) {
	u.lastReport, u.reported = load, true
	u.recordPeak(now, u.takenSlots(), lag)
	u.updateExcess(now, lag)
	if load.Slots > 0 {
		u.limit.setBounds(min(u.min, load.Slots), min(u.max, load.Slots))
	}
	u.limit.addLoadReport(load.Waiting)
}

// updateExcess recomputes the excess from the last load report.
func (u *upstream) updateExcess(now time.Time, lag time.Duration) {
	if !u.reported {
		return
	}
	u.excess = max(0, u.lastReport.Running+u.lastReport.Waiting-u.maxTaken(now, lag))
}
