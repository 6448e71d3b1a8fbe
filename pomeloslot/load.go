package pomeloslot

import "time"

// peakSpans is how many spans the lag of load reports is cut into.
const peakSpans = 8

// loads compares an upstream's reports with what its owner has granted.
type loads struct {
	last   LoadReport
	loaded bool
	// excess is how many requests run there that no grant explains.
	excess int
	peaks  [peakSpans + 1]peak
}

// peak is the largest number of slots taken within one span of time.
type peak struct {
	span  int64
	taken int
}

// notePeak remembers how many slots were taken.
func (l *loads) notePeak(now time.Time, taken int, lag time.Duration) {
	span := now.UnixNano() / int64(lag/peakSpans)
	p := &l.peaks[span%int64(len(l.peaks))]
	if p.span != span {
		*p = peak{span: span}
	}
	p.taken = max(p.taken, taken)
}

// highest is the most slots taken at any time that a report of now may describe.
func (l *loads) highest(now time.Time, lag time.Duration) int {
	span := now.UnixNano() / int64(lag/peakSpans)
	most := 0
	for _, p := range l.peaks {
		if span-p.span <= peakSpans {
			most = max(most, p.taken)
		}
	}
	return most
}

// clearLoad forgets the reports from before a crash.
func (l *loads) clearLoad() {
	l.loaded, l.excess = false, 0
}

// noteLoad finds what another owner put on the upstream. A report describes an earlier moment, so only what is beyond
// the most that this owner had there lately counts; else every request that just ended would be seen as a stranger's.
func (u *upstream) noteLoad(now time.Time, load LoadReport, lag time.Duration) {
	u.last, u.loaded = load, true
	u.notePeak(now, u.taken(), lag)
	u.explain(now, lag)
	if load.Slots > 0 {
		u.limit.bound(min(u.min, load.Slots), min(u.max, load.Slots))
	}
	u.limit.report(load.Waiting)
}

// explain finds how much of the last report no grant accounts for.
func (u *upstream) explain(now time.Time, lag time.Duration) {
	if !u.loaded {
		return
	}
	u.excess = max(0, u.last.Running+u.last.Waiting-u.highest(now, lag))
}
