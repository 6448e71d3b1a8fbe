package pomeloload

import (
	"cmp"
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelocheck"
)

// clockSkew allows for the time between an event and its timestamp; load generator and stand-ins share one clock.
const clockSkew = 10 * time.Millisecond

// Report contains the observations of a run and the results of the checks.
type Report struct {
	Result     Result
	Violations []pomelocheck.Violation
	Samples    []Sample
	Faults     []FaultMark
	// FailureCounts counts the broken and refused attempts by message.
	FailureCounts map[string]int
}

// evaluate checks the observations of a run whose load was generated from r.start to issueEnd.
func (r *recorder) evaluate(p Plan, issueEnd time.Time) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	checker := pomelocheck.New(pomelocheck.Config{GapBounds: gapBounds(p), MaxWait: p.MaxWait, MaxClockSkew: clockSkew})
	for _, e := range r.events {
		checker.Observe(e)
	}
	waits := r.waitIntervals(issueEnd)
	r.observeService(checker, waits, r.start.Add(p.GapCheckFrom))
	use := r.utilisation(p, waits, issueEnd)
	violations := checker.Violations(issueEnd)
	samples := r.samples(p, checker, use, issueEnd)
	result := r.result(p, checker, violations, use, issueEnd)
	slices.SortStableFunc(r.faults, func(a, b FaultMark) int { return a.At.Compare(b.At) })
	return Report{Result: result, Violations: violations, Samples: samples, Faults: r.faults, FailureCounts: r.failureCounts}
}

func gapBounds(p Plan) map[pomelorelay.PoolID]pomelorelay.Tag {
	all := make(map[pomelorelay.PoolID]pomelorelay.Tag)
	for _, s := range p.Services {
		if s.GapBound > 0 {
			all[s.Pool()] = s.GapBound
		}
	}
	return all
}

type poolAccount struct {
	pool    pomelorelay.PoolID
	account pomelorelay.AccountID
}

type interval struct {
	from, to time.Time
}

// waitIntervals returns when each account had a request waiting: from an attempt's start to the start of its run, or to the
// attempt's end if it did not run.
func (r *recorder) waitIntervals(issueEnd time.Time) map[poolAccount][]interval {
	starts := make(map[pomelocheck.ContentID][]time.Time)
	for _, run := range r.runs {
		id := pomelocheck.ContentID(run.run.Proof)
		starts[id] = append(starts[id], run.run.Start)
	}
	all := make(map[poolAccount][]interval)
	for _, a := range r.attempts {
		q, ok := r.requests[a.content]
		if !ok || a.sent.After(issueEnd) {
			continue
		}
		key := poolAccount{q.service.Pool(), q.account.Name}
		all[key] = append(all[key], interval{a.sent, waitEnd(a, starts[a.content], issueEnd)})
	}
	for key, intervals := range all {
		all[key] = union(intervals)
	}
	return all
}

func waitEnd(a attemptRecord, starts []time.Time, issueEnd time.Time) time.Time {
	end := a.ended
	for _, start := range starts {
		if start.After(a.sent) && start.Before(end) {
			end = start
		}
	}
	if end.After(issueEnd) {
		return issueEnd
	}
	return end
}

// union merges overlapping intervals.
func union(intervals []interval) []interval {
	slices.SortFunc(intervals, func(a, b interval) int { return a.from.Compare(b.from) })
	var merged []interval
	for _, s := range intervals {
		if n := len(merged); n > 0 && !s.from.After(merged[n-1].to) {
			if s.to.After(merged[n-1].to) {
				merged[n-1].to = s.to
			}
			continue
		}
		merged = append(merged, s)
	}
	return merged
}

func (r *recorder) observeService(checker *pomelocheck.Checker, waits map[poolAccount][]interval, from time.Time) {
	for key, intervals := range waits {
		for _, s := range intervals {
			s.from = later(s.from, from)
			if !s.from.Before(s.to) {
				continue
			}
			checker.Observe(pomelocheck.BacklogChanged{Pool: key.pool, Account: key.account, At: s.from, Waiting: true})
			checker.Observe(pomelocheck.BacklogChanged{Pool: key.pool, Account: key.account, At: s.to})
		}
	}
	for _, run := range r.runs {
		q, ok := r.requests[pomelocheck.ContentID(run.run.Proof)]
		if !ok {
			continue
		}
		checker.Observe(pomelocheck.AccountServed{
			Pool: q.service.Pool(), Account: q.account.Name, Weight: q.account.Weight,
			From: run.run.Start, To: run.run.End, Cost: costOf(q.service, run),
		})
	}
}

func costOf(s Service, r runRecord) pomelorelay.Cost {
	if s.Kind == Plain {
		return pomelorelay.Cost(r.run.End.Sub(r.run.Start).Seconds())
	}
	return s.InputCost*pomelorelay.Cost(r.run.Prompt) + s.OutputCost*pomelorelay.Cost(r.run.Completion)
}

// sampleInterval is the resolution of the utilisation samples.
const sampleInterval = 100 * time.Millisecond

// slotUse is how many of a pool's request slots are busy and how many exist, in each sample; both numbers are zero in samples in
// which no request waited.
type slotUse struct {
	busy  []float64
	slots []float64
}

// utilisation samples the slot use of every pool; the slots of an upstream count until the host list shows it as leaving.
func (r *recorder) utilisation(p Plan, waits map[poolAccount][]interval, issueEnd time.Time) map[pomelorelay.PoolID]*slotUse {
	n := max(0, int(issueEnd.Sub(r.start)/sampleInterval))
	pools := make(map[pomelorelay.PoolID]*slotUse)
	for _, s := range p.Services {
		pools[s.Pool()] = &slotUse{busy: make([]float64, n), slots: make([]float64, n)}
	}
	for _, u := range p.Upstreams {
		r.addSlots(pools[p.service(u.Service).Pool()], u)
	}
	for _, run := range r.runs {
		addInterval(pools[p.service(run.upstream.Service).Pool()].busy, r.start, interval{run.run.Start, run.run.End})
	}
	for pool, use := range pools {
		use.mask(r.workWaiting(pool, waits, n))
	}
	return pools
}

func (r *recorder) addSlots(pool *slotUse, u Upstream) {
	leftAt, leaving := r.leftAt[u.Name]
	for i := range pool.slots {
		if at := r.start.Add(time.Duration(i) * sampleInterval); !leaving || at.Before(leftAt) {
			pool.slots[i] += float64(u.Slots)
		}
	}
}

// addInterval adds to each sample the fraction of the sample's duration that the interval covers.
func addInterval(samples []float64, start time.Time, s interval) {
	first := max(0, int(s.from.Sub(start)/sampleInterval))
	for i := first; i < len(samples); i++ {
		from := start.Add(time.Duration(i) * sampleInterval)
		to := from.Add(sampleInterval)
		if !from.Before(s.to) {
			return
		}
		covered := earlier(to, s.to).Sub(later(from, s.from))
		samples[i] += max(0, covered.Seconds()/sampleInterval.Seconds())
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// workWaiting reports for each sample whether at least one request was waiting in the pool throughout the sample.
func (r *recorder) workWaiting(pool pomelorelay.PoolID, waits map[poolAccount][]interval, n int) []bool {
	var intervals []interval
	for key, accountIntervals := range waits {
		if key.pool == pool {
			intervals = append(intervals, accountIntervals...)
		}
	}
	covered := make([]float64, n)
	for _, s := range union(intervals) {
		addInterval(covered, r.start, s)
	}
	waiting := make([]bool, n)
	for i, c := range covered {
		waiting[i] = c > 0.999
	}
	return waiting
}

func (u *slotUse) mask(keep []bool) {
	for i, k := range keep {
		if !k {
			u.busy[i], u.slots[i] = 0, 0
		}
	}
}

// utilisation returns the ratio of busy to existing slots in the samples [from, to), or zero if no request waited during them.
func (u *slotUse) utilisation(from, to int) float64 {
	busy, slots := 0.0, 0.0
	for i := max(0, from); i < min(to, len(u.busy)); i++ {
		busy += u.busy[i]
		slots += u.slots[i]
	}
	if slots == 0 {
		return 0
	}
	return busy / slots
}

func sortedPools(p Plan) []Service {
	services := slices.Clone(p.Services)
	slices.SortFunc(services, func(a, b Service) int { return cmp.Compare(a.Pool(), b.Pool()) })
	return services
}
