package pomeloload

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelocheck"
)

// PoolResult is what a run showed of one pool.
type PoolResult struct {
	Pool pomelorelay.PoolID
	// FairnessGap and FairnessBound are normalised service: cost over weight.
	FairnessGap   pomelorelay.Tag
	FairnessBound pomelorelay.Tag
	More          pomelorelay.AccountID
	Less          pomelorelay.AccountID
	// Utilisation is busy over existing slots while work waited, WaitingSeconds how long that was.
	Utilisation    float64
	WaitingSeconds float64
}

// Result is the last line of a run.
type Result struct {
	// FairnessGap and FairnessBound are those of the pool whose gap is the largest part of its bound.
	FairnessGap   pomelorelay.Tag
	FairnessBound pomelorelay.Tag
	// Utilisation is busy over existing slots of all pools while work waited.
	Utilisation float64
	// ControlBytesPerNodeSecond are the control bytes that a router sent and received a second, on average.
	ControlBytesPerNodeSecond float64
	// ControlBytesCrossRegion are all control bytes that went between regions, counted at their senders.
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
	// LeastAnswers is the fewest answers that an account got of a service it called.
	LeastAnswers int
	// MostMarkedRuns is how often the same request with a marker ran at most.
	MostMarkedRuns int
	// GenerationsSeen counts the looks at a router that told a configuration in force, so that a zero above is not mistaken for a check.
	GenerationsSeen int
	// Latency counts from the sending of an answered attempt, to its first byte and to its end, waiting included.
	FirstByteP50Milliseconds float64
	FirstByteP99Milliseconds float64
	LatencyP50Milliseconds   float64
	LatencyP99Milliseconds   float64
	Seconds                  float64
	Direct                   bool
	Pools                    []PoolResult
}

// Failures returns the names of the counts that must be zero and are not.
func (r Result) Failures() []string {
	must := []struct {
		name  string
		count int
	}{
		{"WrongAnswers", r.WrongAnswers}, {"DoubleRuns", r.DoubleRuns}, {"CutOff", r.CutOff}, {"FalseNotRun", r.FalseNotRun},
		{"NewWorkAfterLeave", r.NewWorkAfterLeave}, {"GenerationFell", r.GenerationFell}, {"GenerationLate", r.GenerationLate},
		{"HeldBack", r.HeldBack}, {"Starved", r.Starved}, {"GapOverBound", r.GapOverBound},
	}
	var failures []string
	for _, m := range must {
		if m.count != 0 {
			failures = append(failures, m.name)
		}
	}
	return failures
}

// Sample is what one second of a run showed.
type Sample struct {
	Second int
	At     time.Time
	Tally
	// Gaps are of the accounts backlogged throughout the last gapWindow.
	Gaps                     map[pomelorelay.PoolID]pomelorelay.Tag
	Utilisation              map[pomelorelay.PoolID]float64
	ControlBytesPerNode      float64
	ControlBytesCrossRegion  float64
	FirstByteP50Milliseconds float64
	LatencyP50Milliseconds   float64
	LatencyP99Milliseconds   float64
}

// gapWindow is the time over which a sample's gap is taken.
const gapWindow = 5 * time.Second

const (
	median       = 50
	ninetyNinth  = 99
	usInMs       = 1000.0
	useInASecond = int(time.Second / useStep)
)

func (r *recorder) result(p Plan, checker *pomelocheck.Checker, violations []pomelocheck.Violation, uses map[pomelorelay.PoolID]*use, issued time.Time) Result {
	res := Result{Tally: r.tally, Seconds: issued.Sub(r.start).Seconds(), Direct: p.Direct, GenerationsSeen: r.generationsSeen()}
	res.countViolations(violations)
	res.MostMarkedRuns = r.mostMarkedRuns()
	res.LeastAnswers = r.leastAnswers()
	res.Pools = poolResults(p, checker.Gaps(issued), uses)
	res.FairnessGap, res.FairnessBound = tightest(res.Pools)
	res.Utilisation = overall(uses)
	res.ControlBytesPerNodeSecond, res.ControlBytesCrossRegion = r.controlBytes()
	latency, first := newHistogram(), newHistogram()
	for _, s := range r.seconds {
		latency.Merge(s.latency)
		first.Merge(s.first)
	}
	res.FirstByteP50Milliseconds, res.FirstByteP99Milliseconds = quantile(first, median), quantile(first, ninetyNinth)
	res.LatencyP50Milliseconds, res.LatencyP99Milliseconds = quantile(latency, median), quantile(latency, ninetyNinth)
	return res
}

func quantile(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtPercentile(percent)) / usInMs
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

func (r *recorder) mostMarkedRuns() int {
	most := 0
	runs := make(map[pomelocheck.ContentID]int)
	for _, run := range r.runs {
		id := pomelocheck.ContentID(run.run.Proof)
		if r.requests[id].load.Marker != "" {
			runs[id]++
			most = max(most, runs[id])
		}
	}
	return most
}

func (r *recorder) leastAnswers() int {
	answers := make(map[waiter]int)
	for _, q := range r.requests {
		answers[waiter{q.service.Pool(), q.account.Name}] = 0
	}
	for _, a := range r.attempts {
		if a.answered {
			q := r.requests[a.content]
			answers[waiter{q.service.Pool(), q.account.Name}]++
		}
	}
	least := -1
	for _, n := range answers {
		if least < 0 || n < least {
			least = n
		}
	}
	return max(least, 0)
}

func (r *recorder) generationsSeen() int {
	n := 0
	for _, e := range r.events {
		if _, ok := e.(pomelocheck.ConfigInForce); ok {
			n++
		}
	}
	return n
}

func poolResults(p Plan, gaps []pomelocheck.Gap, uses map[pomelorelay.PoolID]*use) []PoolResult {
	var results []PoolResult
	for _, s := range sortedPools(p) {
		res := PoolResult{Pool: s.Pool(), FairnessBound: s.GapBound}
		u := uses[s.Pool()]
		res.Utilisation = u.share(0, len(u.busy))
		res.WaitingSeconds = u.waitingSeconds()
		for _, g := range gaps {
			if g.Pool == res.Pool {
				res.FairnessGap, res.More, res.Less = g.Value, g.MostServed, g.LeastServed
			}
		}
		results = append(results, res)
	}
	return results
}

func (u *use) waitingSeconds() float64 {
	n := 0
	for _, slots := range u.slots {
		if slots > 0 {
			n++
		}
	}
	return float64(n) * useStep.Seconds()
}

// tightest returns gap and bound of the pool whose gap is the largest part of its bound.
func tightest(pools []PoolResult) (pomelorelay.Tag, pomelorelay.Tag) {
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

func overall(uses map[pomelorelay.PoolID]*use) float64 {
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

// controlBytes returns the average a node and second, and the sum between regions.
func (r *recorder) controlBytes() (float64, pomelorelay.Bytes) {
	var all, cross pomelorelay.Bytes
	var watched time.Duration
	for _, c := range r.control {
		all += c.all
		cross += c.cross
		watched += c.between
	}
	if watched == 0 {
		return 0, 0
	}
	return float64(all) / watched.Seconds(), cross
}

func (r *recorder) samples(p Plan, checker *pomelocheck.Checker, uses map[pomelorelay.PoolID]*use, issued time.Time) []Sample {
	var samples []Sample
	for n := range int(issued.Sub(r.start) / time.Second) {
		at := r.start.Add(time.Duration(n+1) * time.Second)
		s := Sample{Second: n + 1, At: at, Utilisation: make(map[pomelorelay.PoolID]float64)}
		s.Gaps = checker.WindowGaps(at.Add(-gapWindow), at)
		for _, service := range sortedPools(p) {
			s.Utilisation[service.Pool()] = uses[service.Pool()].share(n*useInASecond, (n+1)*useInASecond)
		}
		s.ControlBytesPerNode, s.ControlBytesCrossRegion = r.controlWithin(at.Add(-time.Second), at)
		if of, ok := r.seconds[n]; ok {
			s.Tally = of.tally
			s.FirstByteP50Milliseconds = quantile(of.first, median)
			s.LatencyP50Milliseconds, s.LatencyP99Milliseconds = quantile(of.latency, median), quantile(of.latency, ninetyNinth)
		}
		samples = append(samples, s)
	}
	return samples
}

// controlWithin returns control bytes a node and second, and between regions a second.
func (r *recorder) controlWithin(from, to time.Time) (float64, float64) {
	var all, cross pomelorelay.Bytes
	var watched time.Duration
	for _, c := range r.control {
		if c.at.After(from) && !c.at.After(to) {
			all += c.all
			cross += c.cross
			watched += c.between
		}
	}
	if watched == 0 {
		return 0, 0
	}
	return float64(all) / watched.Seconds(), float64(cross) / to.Sub(from).Seconds()
}
