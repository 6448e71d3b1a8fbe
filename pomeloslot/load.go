package pomeloslot

import "time"

// peakIntervals is how many spans the lag of load reports is cut into.
const peakIntervals = 8

// loadTracker compares an upstream's reports with what its owner has granted.
type loadTracker struct {
	lastReport LoadReport
	reported   bool
	// excess is how many requests run there that no grant explains.
	excess int
	peaks  [peakIntervals + 1]peak
}

// peak is the largest number of slots taken within one span of time.
type peak struct {
	interval int64
	taken    int
}

// recordPeak remembers how many slots were taken.
func (l *loadTracker) recordPeak(now time.Time, taken int, lag time.Duration) {
	interval := now.UnixNano() / int64(lag/peakIntervals)
	p := &l.peaks[interval%int64(len(l.peaks))]
	if p.interval != interval {
		*p = peak{interval: interval}
	}
	p.taken = max(p.taken, taken)
}

// maxTaken is the most slots taken at any time that a report of now may describe.
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

// resetLoad forgets the reports from before a crash.
func (l *loadTracker) resetLoad() {
	l.reported, l.excess = false, 0
}

// updateLoad finds what another owner put on the upstream. A report describes an earlier moment, so only what is beyond
// the most that this owner had there lately counts; else every request that just ended would be seen as a stranger's.
func (u *upstream) updateLoad(now time.Time, load LoadReport, lag time.Duration) {
	u.lastReport, u.reported = load, true
	u.recordPeak(now, u.takenSlots(), lag)
	u.updateExcess(now, lag)
	if load.Slots > 0 {
		u.limit.setBounds(min(u.min, load.Slots), min(u.max, load.Slots))
	}
	u.limit.addLoadReport(load.Waiting)
}

// updateExcess finds how much of the last report no grant accounts for.
func (u *upstream) updateExcess(now time.Time, lag time.Duration) {
	if !u.reported {
		return
	}
	u.excess = max(0, u.lastReport.Running+u.lastReport.Waiting-u.maxTaken(now, lag))
}
