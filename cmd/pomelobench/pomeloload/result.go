package pomeloload

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelocheck"
)

// PoolResult contains the measurements of one pool.
type PoolResult struct {
	Pool pomelorelay.PoolID
	// FairnessGap is the maximum difference in normalised service (cost over weight) between two accounts, FairnessBound its limit.
	FairnessGap   pomelorelay.Tag
	FairnessBound pomelorelay.Tag
	MostServed    pomelorelay.AccountID `json:"More"`
	LeastServed   pomelorelay.AccountID `json:"Less"`
	// Utilisation is the ratio of busy to existing slots, measured while at least one request waited: for WaitingSeconds in total.
	Utilisation    float64
	WaitingSeconds float64
}

// Result is the summary of a run, which pomelobench prints as the last line of its output.
type Result struct {
	// FairnessGap and FairnessBound are those of the pool with the largest ratio of gap to bound.
	FairnessGap   pomelorelay.Tag
	FairnessBound pomelorelay.Tag
	// Utilisation is the ratio of busy to existing slots over all pools; a pool counts only while requests waited for it.
	Utilisation float64
	// ControlBytesPerNodeSecond is the average traffic of a router with its peers, sent and received, in bytes per second.
	ControlBytesPerNodeSecond float64
	// ControlBytesCrossRegion is the number of bytes that all routers sent to peers in other regions.
	ControlBytesCrossRegion pomelorelay.Bytes
	Tally
	WrongAnswers      int
	DoubleRuns        int
	CutOff            int
	FalseNotRun       int
	NewWorkAfterLeave int
	GenerationFell    int
	GenerationLate    int
	HeldBack          int
	Starved           int
	GapOverBound      int
	// MinAnswers is the smallest number of answers that an account got from a pool it called.
	MinAnswers int `json:"LeastAnswers"`
	// MaxMarkedRuns is the largest number of times that one request with a prompt marker ran.
	MaxMarkedRuns int `json:"MostMarkedRuns"`
	// GenerationReadings counts how often a router's configuration generation was read; if it is zero, GenerationFell and
	// GenerationLate were not checked.
	GenerationReadings int `json:"GenerationsSeen"`
	// The latencies are those of answered attempts, from sending to the first byte and to the end, queueing included.
	FirstByteP50Milliseconds float64
	FirstByteP99Milliseconds float64
	LatencyP50Milliseconds   float64
	LatencyP99Milliseconds   float64
	Seconds                  float64
	Direct                   bool
	Pools                    []PoolResult
}

// Failures returns the names of the violation counts that are not zero.
func (r Result) Failures() []string {
	counts := []struct {
		name  string
		count int
	}{
		{"WrongAnswers", r.WrongAnswers}, {"DoubleRuns", r.DoubleRuns}, {"CutOff", r.CutOff}, {"FalseNotRun", r.FalseNotRun},
		{"NewWorkAfterLeave", r.NewWorkAfterLeave}, {"GenerationFell", r.GenerationFell}, {"GenerationLate", r.GenerationLate},
		{"HeldBack", r.HeldBack}, {"Starved", r.Starved}, {"GapOverBound", r.GapOverBound},
	}
	var failures []string
	for _, m := range counts {
		if m.count != 0 {
			failures = append(failures, m.name)
		}
	}
	return failures
}

// Sample contains the measurements of one second of a run.
type Sample struct {
	Second int
	At     time.Time
	Tally
	// Gaps are the maximum differences in normalised service per pool between the accounts that were backlogged throughout the 5 s
	// before At.
	Gaps                     map[pomelorelay.PoolID]pomelorelay.Tag
	Utilisation              map[pomelorelay.PoolID]float64
	ControlBytesPerNode      float64
	ControlBytesCrossRegion  float64
	FirstByteP50Milliseconds float64
	LatencyP50Milliseconds   float64
	LatencyP99Milliseconds   float64
}

// gapWindow is the time over which the fairness gap of a sample is measured.
const gapWindow = 5 * time.Second

const (
	median           = 50
	ninetyNinth      = 99
	microsPerMilli   = 1000.0
	samplesPerSecond = int(time.Second / sampleInterval)
)

func (r *recorder) result(p Plan, checker *pomelocheck.Checker, violations []pomelocheck.Violation, uses map[pomelorelay.PoolID]*slotUse, issueEnd time.Time) Result {
	res := Result{Tally: r.tally, Seconds: issueEnd.Sub(r.start).Seconds(), Direct: p.Direct, GenerationReadings: r.generationReadings()}
	res.countViolations(violations)
	res.MaxMarkedRuns = r.maxMarkedRuns()
	res.MinAnswers = r.minAnswers()
	res.Pools = poolResults(p, checker.Gaps(issueEnd), uses)
	res.FairnessGap, res.FairnessBound = largestRelativeGap(res.Pools)
	res.Utilisation = overallUtilisation(uses)
	res.ControlBytesPerNodeSecond, res.ControlBytesCrossRegion = r.totalControlBytes()
	latency, first := newHistogram(), newHistogram()
	for _, s := range r.seconds {
		latency.Merge(s.latency)
		first.Merge(s.firstByte)
	}
	res.FirstByteP50Milliseconds, res.FirstByteP99Milliseconds = percentileMilliseconds(first, median), percentileMilliseconds(first, ninetyNinth)
	res.LatencyP50Milliseconds, res.LatencyP99Milliseconds = percentileMilliseconds(latency, median), percentileMilliseconds(latency, ninetyNinth)
	return res
}

func percentileMilliseconds(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtPercentile(percentile)) / microsPerMilli
}

func (r *Result) countViolations(violations []pomelocheck.Violation) {
	counts := map[pomelocheck.Kind]*int{
		pomelocheck.WrongAnswer: &r.WrongAnswers, pomelocheck.DoubleRun: &r.DoubleRuns, pomelocheck.CutOff: &r.CutOff,
		pomelocheck.FalseNotRun: &r.FalseNotRun, pomelocheck.NewWorkAfterLeave: &r.NewWorkAfterLeave,
		pomelocheck.GenerationFell: &r.GenerationFell, pomelocheck.GenerationLate: &r.GenerationLate,
		pomelocheck.HeldBack: &r.HeldBack, pomelocheck.Starved: &r.Starved, pomelocheck.GapOverBound: &r.GapOverBound,
	}
	for kind, n := range counts {
		*n = pomelocheck.Count(violations, kind)
	}
}

func (r *recorder) maxMarkedRuns() int {
	highest := 0
	runs := make(map[pomelocheck.ContentID]int)
	for _, run := range r.runs {
		id := pomelocheck.ContentID(run.run.Proof)
		if r.requests[id].load.PromptMarker != "" {
			runs[id]++
			highest = max(highest, runs[id])
		}
	}
	return highest
}

func (r *recorder) minAnswers() int {
	answers := make(map[poolAccount]int)
	for _, q := range r.requests {
		answers[poolAccount{q.service.Pool(), q.account.Name}] = 0
	}
	for _, a := range r.attempts {
		if a.answered {
			q := r.requests[a.content]
			answers[poolAccount{q.service.Pool(), q.account.Name}]++
		}
	}
	lowest := -1
	for _, n := range answers {
		if lowest < 0 || n < lowest {
			lowest = n
		}
	}
	return max(lowest, 0)
}

func (r *recorder) generationReadings() int {
	n := 0
	for _, e := range r.events {
		if _, ok := e.(pomelocheck.ConfigInForce); ok {
			n++
		}
	}
	return n
}

func poolResults(p Plan, gaps []pomelocheck.Gap, uses map[pomelorelay.PoolID]*slotUse) []PoolResult {
	var results []PoolResult
	for _, s := range sortedPools(p) {
		res := PoolResult{Pool: s.Pool(), FairnessBound: s.GapBound}
		u := uses[s.Pool()]
		res.Utilisation = u.utilisation(0, len(u.busy))
		res.WaitingSeconds = u.waitingSeconds()
		for _, g := range gaps {
			if g.Pool == res.Pool {
				res.FairnessGap, res.MostServed, res.LeastServed = g.Value, g.MostServed, g.LeastServed
			}
		}
		results = append(results, res)
	}
	return results
}

func (u *slotUse) waitingSeconds() float64 {
	n := 0
	for _, slots := range u.slots {
		if slots > 0 {
			n++
		}
	}
	return float64(n) * sampleInterval.Seconds()
}

// largestRelativeGap returns gap and bound of the pool with the largest ratio of gap to bound.
func largestRelativeGap(pools []PoolResult) (pomelorelay.Tag, pomelorelay.Tag) {
	var gap, bound pomelorelay.Tag
	for _, p := range pools {
		if p.FairnessBound <= 0 {
			continue
		}
		if bound == 0 || p.FairnessGap/p.FairnessBound > gap/bound {
			gap, bound = p.FairnessGap, p.FairnessBound
		}
	}
	return gap, bound
}

func overallUtilisation(uses map[pomelorelay.PoolID]*slotUse) float64 {
	busy, slots := 0.0, 0.0
	for _, u := range uses {
		for i := range u.busy {
			busy += u.busy[i]
			slots += u.slots[i]
		}
	}
	if slots == 0 {
		return 0
	}
	return busy / slots
}

// totalControlBytes returns the average traffic of a router with its peers, in bytes per second, and the bytes sent between regions.
func (r *recorder) totalControlBytes() (float64, pomelorelay.Bytes) {
	var total, crossRegion pomelorelay.Bytes
	var observed time.Duration
	for _, c := range r.controlBytes {
		total += c.total
		crossRegion += c.crossRegion
		observed += c.interval
	}
	if observed == 0 {
		return 0, 0
	}
	return float64(total) / observed.Seconds(), crossRegion
}

func (r *recorder) samples(p Plan, checker *pomelocheck.Checker, uses map[pomelorelay.PoolID]*slotUse, issueEnd time.Time) []Sample {
	var samples []Sample
	for n := range int(issueEnd.Sub(r.start) / time.Second) {
		at := r.start.Add(time.Duration(n+1) * time.Second)
		s := Sample{Second: n + 1, At: at, Utilisation: make(map[pomelorelay.PoolID]float64)}
		s.Gaps = checker.WindowGaps(at.Add(-gapWindow), at)
		for _, service := range sortedPools(p) {
			s.Utilisation[service.Pool()] = uses[service.Pool()].utilisation(n*samplesPerSecond, (n+1)*samplesPerSecond)
		}
		s.ControlBytesPerNode, s.ControlBytesCrossRegion = r.controlRates(at.Add(-time.Second), at)
		if stats, ok := r.seconds[n]; ok {
			s.Tally = stats.tally
			s.FirstByteP50Milliseconds = percentileMilliseconds(stats.firstByte, median)
			s.LatencyP50Milliseconds, s.LatencyP99Milliseconds = percentileMilliseconds(stats.latency, median), percentileMilliseconds(stats.latency, ninetyNinth)
		}
		samples = append(samples, s)
	}
	return samples
}

// controlRates returns the average traffic of a router with its peers, and the traffic between regions, in bytes per second.
func (r *recorder) controlRates(from, to time.Time) (float64, float64) {
	var total, crossRegion pomelorelay.Bytes
	var observed time.Duration
	for _, c := range r.controlBytes {
		if c.at.After(from) && !c.at.After(to) {
			total += c.total
			crossRegion += c.crossRegion
			observed += c.interval
		}
	}
	if observed == 0 {
		return 0, 0
	}
	return float64(total) / observed.Seconds(), float64(crossRegion) / to.Sub(from).Seconds()
}
