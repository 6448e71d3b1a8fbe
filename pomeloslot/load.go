package pomeloslot

import "time"

// peakIntervals is the number of intervals into which MaxLoadLag is divided to record peaks of taken slots.
const peakIntervals = 8

// loadTracker compares an upstream's load reports with the slots that its owner has granted.
type loadTracker struct {
	lastReport LoadReport
	reported   bool
	// excess is the number of requests in the last load report beyond the slots that were recently taken under this
	// owner; these requests were granted by another owner.
	excess int
	peaks  [peakIntervals + 1]peak
}

// peak is the largest number of slots taken within one interval of MaxLoadLag/peakIntervals.
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

// resetLoad discards the last load report after the upstream crashed.
func (l *loadTracker) resetLoad() {
	l.reported, l.excess = false, 0
}

// updateLoad applies a load report and computes how many of its requests were granted by another owner. A report
// describes an earlier state, so its requests are compared with the most slots taken within the last MaxLoadLag;
// otherwise every request that has just ended would count as granted by another owner.
func (u *upstream) updateLoad(now time.Time, load LoadReport, lag time.Duration) {
	u.lastReport, u.reported = load, true
	u.recordPeak(now, u.takenSlots(), lag)
	u.updateExcess(now, lag)
	if load.Slots > 0 {
		u.limit.setBounds(min(u.min, load.Slots), min(u.max, load.Slots))
	}
	u.limit.addLoadReport(load.Waiting)
}

// updateExcess recomputes excess, the requests granted by other owners, from the last load report.
func (u *upstream) updateExcess(now time.Time, lag time.Duration) {
	if !u.reported {
		return
	}
	u.excess = max(0, u.lastReport.Running+u.lastReport.Waiting-u.maxTaken(now, lag))
}
