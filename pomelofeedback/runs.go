package pomelofeedback

import "time"

// maxRecent is the number of recent sends and ends that are remembered, several times what one router sends to one upstream within MaxAge. The
// oldest are forgotten first; the announced counts then lack them.
const maxRecent = 64

// recentRun is a send (1) or an end (-1).
type recentRun struct {
	at    time.Time
	delta int
}

// recentRuns is a ring of the most recent sends and ends of this router.
type recentRuns struct {
	runs []recentRun
	next int
}

func (r *recentRuns) add(at time.Time, delta int) {
	if len(r.runs) < maxRecent {
		r.runs = append(r.runs, recentRun{at, delta})
		return
	}
	r.runs[r.next] = recentRun{at, delta}
	r.next = (r.next + 1) % maxRecent
}

// deltaSince returns the number of sends minus that of ends after the given time.
func (r *recentRuns) deltaSince(at time.Time) int {
	sum := 0
	for _, run := range r.runs {
		if run.at.After(at) {
			sum += run.delta
		}
	}
	return sum
}
