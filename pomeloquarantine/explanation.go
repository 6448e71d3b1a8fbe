package pomeloquarantine

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/pomelorelay/pomelorelay"
)

const (
	// partCrashes is the number of upstreams that requests with a prompt part may crash before they are quarantined, partCrashesBesideOthers the
	// number while other upstreams crash too. Requests share parts, so that a harmless one may run on several upstreams that crash for another
	// reason.
	partCrashes             = 4
	partCrashesBesideOthers = 5
	// usualRuns is the number of runs per crash that the cause of crashes may have: some begin before the crash is noticed.
	usualRuns = 2
	// maxRunsFactor bounds the number of crashes that a fingerprint with more runs per crash needs, as a multiple of MaxCrashes.
	maxRunsFactor = 4
)

// explanation is a set of fingerprints that explains crashes: a request that holds all of them ran on each of the upstreams. There are several
// where the same runs held all of them, so that the crashes do not tell them apart.
type explanation struct {
	fingerprints []pomelorelay.Fingerprint
	// end is when the quarantine of requests with all the fingerprints ends, in Unix milliseconds.
	end int64
	// confirmed is set if confirmed crashes suffice for the quarantine.
	confirmed bool
}

// explain finds the fingerprints that explain the crashes, beginning with the one under which most upstreams crashed. Crashes that are explained
// do not count for others: whatever ran beside the cause saw a part of its crashes. It returns the explanations and the upstream processes
// whose crashes they explain.
func (l *CrashLog) explain() ([]explanation, map[pomelorelay.UpstreamProcess]bool) {
	explained := make(map[pomelorelay.UpstreamProcess]bool)
	candidates := l.candidates()
	if len(candidates) == 0 {
		return nil, explained
	}
	crashed := l.crashedProcesses()
	var list []explanation
	for len(candidates) > 0 {
		best := l.bestCandidate(candidates, crashed, explained)
		if best == nil {
			break
		}
		e := l.explainBy(best, candidates, explained)
		for _, f := range e.fingerprints {
			for key, c := range l.histories[f].crashes {
				explained[key] = explained[key] || !c.Cleared
			}
			delete(candidates, f)
		}
		list = append(list, e)
	}
	return list, explained
}

// candidate is a fingerprint under which enough upstreams crashed for a quarantine if nothing else explains the crashes.
type candidate struct {
	fingerprint pomelorelay.Fingerprint
	history     *crashHistory
	tally       crashTally
	// needed is the number of crashes that suffice for a quarantine.
	needed int
	// end is when the quarantine for the unexplained crashes ends, in Unix milliseconds; zero if they do not suffice. confirmed is set if the
	// confirmed ones suffice.
	end       int64
	confirmed bool
}

func (l *CrashLog) candidates() map[pomelorelay.Fingerprint]*candidate {
	candidates := make(map[pomelorelay.Fingerprint]*candidate)
	for f, h := range l.histories {
		if len(h.crashes) < l.cfg.MaxCrashes {
			continue
		}
		if t := l.tally(h, nil); t.crashes() >= l.cfg.MaxCrashes && (t.repeated || t.pendingRepeated) {
			candidates[f] = &candidate{fingerprint: f, history: h}
		}
	}
	return candidates
}

// crashedProcesses returns the upstream processes whose crash is confirmed, with its time in Unix milliseconds.
func (l *CrashLog) crashedProcesses() map[pomelorelay.UpstreamProcess]int64 {
	crashed := make(map[pomelorelay.UpstreamProcess]int64)
	for _, h := range l.histories {
		for key, c := range h.crashes {
			if at, ok := crashed[key]; !c.pending && (!ok || c.UnixMilli < at) {
				crashed[key] = c.UnixMilli
			}
		}
	}
	return crashed
}

// bestCandidate returns the candidate with the largest ratio of unexplained crashes to the number that it needs, or nil if none has enough.
func (l *CrashLog) bestCandidate(candidates map[pomelorelay.Fingerprint]*candidate, crashed map[pomelorelay.UpstreamProcess]int64, explained map[pomelorelay.UpstreamProcess]bool) *candidate {
	var best *candidate
	for f, c := range candidates {
		c.tally = l.tally(c.history, explained)
		c.needed = l.neededCrashes(c, crashed, explained)
		if c.end, c.confirmed = l.quarantineEnd(&c.tally, c.needed); c.end == 0 {
			delete(candidates, f)
			continue
		}
		if best == nil || c.compare(best) < 0 {
			best = c
		}
	}
	return best
}

// compare orders candidates by the ratio of crashes to those needed, largest first, then by runs, fewest first: of two parts of the same
// requests, the one that other requests have too has more runs.
func (c *candidate) compare(other *candidate) int {
	a, b := &c.tally, &other.tally
	return cmp.Or(cmp.Compare(b.crashes()*c.needed, a.crashes()*other.needed), cmp.Compare(a.runs, b.runs), cmp.Compare(c.fingerprint, other.fingerprint))
}

// explainBy returns the explanation by a candidate and those whose runs were the same.
func (l *CrashLog) explainBy(best *candidate, candidates map[pomelorelay.Fingerprint]*candidate, explained map[pomelorelay.UpstreamProcess]bool) explanation {
	e := explanation{end: best.end, confirmed: best.confirmed}
	runs := best.history.unexplainedRuns(explained)
	for f, c := range candidates {
		if c == best || c.tally.runs == best.tally.runs && c.history.hasRuns(runs, explained) {
			e.fingerprints = append(e.fingerprints, f)
		}
	}
	slices.Sort(e.fingerprints)
	return e
}

// unexplainedRuns returns the runs of the history's crashes that are neither cleared nor explained.
func (h *crashHistory) unexplainedRuns(explained map[pomelorelay.UpstreamProcess]bool) map[pomelorelay.UpstreamProcess]uint64 {
	runs := make(map[pomelorelay.UpstreamProcess]uint64, len(h.crashes))
	for key, c := range h.crashes {
		if !c.Cleared && !explained[key] {
			runs[key] = c.Runs
		}
	}
	return runs
}

// hasRuns reports whether these are known to be the runs of the history's crashes that are neither cleared nor explained.
func (h *crashHistory) hasRuns(runs map[pomelorelay.UpstreamProcess]uint64, explained map[pomelorelay.UpstreamProcess]bool) bool {
	n := 0
	for key, c := range h.crashes {
		if c.Cleared || explained[key] {
			continue
		}
		if c.Runs == 0 || runs[key] != c.Runs {
			return false
		}
		n++
	}
	return n == len(runs)
}

// neededCrashes returns the number of crashes from which on a candidate is quarantined. Upstreams crash under the first runs of the cause that
// they begin to answer; a fingerprint with many runs per crash more likely ran beside the cause.
func (l *CrashLog) neededCrashes(c *candidate, crashed map[pomelorelay.UpstreamProcess]int64, explained map[pomelorelay.UpstreamProcess]bool) int {
	needed, usual := l.cfg.MaxCrashes, usualRuns*c.tally.crashes()
	if c.history.isPart() {
		needed = max(needed, partCrashes)
		if c.tally.runs > usual || c.othersCrashed(crashed, explained) {
			needed = max(needed, partCrashesBesideOthers)
		}
	}
	if c.tally.runs <= usual {
		return needed
	}
	return min((needed*c.tally.runs+usual-1)/usual, maxRunsFactor*l.cfg.MaxCrashes)
}

// othersCrashed reports whether upstreams crashed between the candidate's crashes that did not run it, for no known reason.
func (c *candidate) othersCrashed(crashed map[pomelorelay.UpstreamProcess]int64, explained map[pomelorelay.UpstreamProcess]bool) bool {
	for key, at := range crashed {
		if own, ok := c.history.crashes[key]; (!ok || own.Cleared) && !explained[key] && at >= c.tally.firstAt && at <= c.tally.lastAt {
			return true
		}
	}
	return false
}

// runsOf returns the number of runs of a crash, at least one.
func runsOf(c *loggedCrash) int { return max(bits.OnesCount64(c.Runs), 1) }
