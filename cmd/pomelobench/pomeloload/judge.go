package pomeloload

import (
	"cmp"
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelocheck"
)

// clockSkew allows for the time between an event and the look at the clock; bench and stand-ins share one machine.
const clockSkew = 10 * time.Millisecond

// Judgement is everything that a run showed.
type Judgement struct {
	Result     Result
	Violations []pomelocheck.Violation
	Samples    []Sample
	Faults     []FaultMark
	// Examples count the broken and refused attempts by what was said of them.
	Examples map[string]int
}

// judge holds the run against the checks; the load was issued from r.start to issued.
func (r *recorder) judge(p Plan, issued time.Time) Judgement {
	r.mu.Lock()
	defer r.mu.Unlock()
	checker := pomelocheck.New(pomelocheck.Config{GapBounds: bounds(p), MaxWait: p.MaxWait, MaxClockSkew: clockSkew})
	for _, e := range r.events {
		checker.Observe(e)
	}
	waits := r.waits(issued)
	r.observeShares(checker, waits, r.start.Add(p.GapFrom))
	use := r.utilisation(p, waits, issued)
	violations := checker.Violations(issued)
	samples := r.samples(p, checker, use, issued)
	result := r.result(p, checker, violations, use, issued)
	slices.SortStableFunc(r.faults, func(a, b FaultMark) int { return a.At.Compare(b.At) })
	return Judgement{Result: result, Violations: violations, Samples: samples, Faults: r.faults, Examples: r.examples}
}

func bounds(p Plan) map[pomelorelay.PoolID]pomelorelay.Tag {
	all := make(map[pomelorelay.PoolID]pomelorelay.Tag)
	for _, s := range p.Services {
		if s.GapBound > 0 {
			all[s.Pool()] = s.GapBound
		}
	}
	return all
}

// waiter is an account in a pool.
type waiter struct {
	pool    pomelorelay.PoolID
	account pomelorelay.AccountID
}

type span struct {
	from, to time.Time
}

// waits returns when each account had a request waiting: from its sending to the start of its run, or to its end.
func (r *recorder) waits(issued time.Time) map[waiter][]span {
	started := make(map[pomelocheck.ContentID][]time.Time)
	for _, run := range r.runs {
		id := pomelocheck.ContentID(run.run.Proof)
		started[id] = append(started[id], run.run.Start)
	}
	all := make(map[waiter][]span)
	for _, a := range r.attempts {
		q, ok := r.requests[a.content]
		if !ok || a.sent.After(issued) {
			continue
		}
		key := waiter{q.service.Pool(), q.account.Name}
		all[key] = append(all[key], span{a.sent, waitEnd(a, started[a.content], issued)})
	}
	for key, spans := range all {
		all[key] = union(spans)
	}
	return all
}

func waitEnd(a attemptRecord, starts []time.Time, issued time.Time) time.Time {
	end := a.ended
	for _, start := range starts {
		if start.After(a.sent) && start.Before(end) {
			end = start
		}
	}
	if end.After(issued) {
		return issued
	}
	return end
}

// union joins spans that overlap.
func union(spans []span) []span {
	slices.SortFunc(spans, func(a, b span) int { return a.from.Compare(b.from) })
	var joined []span
	for _, s := range spans {
		if n := len(joined); n > 0 && !s.from.After(joined[n-1].to) {
			if s.to.After(joined[n-1].to) {
				joined[n-1].to = s.to
			}
			continue
		}
		joined = append(joined, s)
	}
	return joined
}

func (r *recorder) observeShares(checker *pomelocheck.Checker, waits map[waiter][]span, from time.Time) {
	for key, spans := range waits {
		for _, s := range spans {
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

// useStep is the time between two samples of the utilisation.
const useStep = 100 * time.Millisecond

// use is the slots of a pool that were busy, and that there were, at each sample at which work waited.
type use struct {
	busy  []float64
	slots []float64
}

// utilisation samples every pool; slots of an upstream that left count no more.
func (r *recorder) utilisation(p Plan, waits map[waiter][]span, issued time.Time) map[pomelorelay.PoolID]*use {
	n := max(0, int(issued.Sub(r.start)/useStep))
	pools := make(map[pomelorelay.PoolID]*use)
	for _, s := range p.Services {
		pools[s.Pool()] = &use{busy: make([]float64, n), slots: make([]float64, n)}
	}
	for _, u := range p.Upstreams {
		r.addSlots(pools[p.service(u.Service).Pool()], u)
	}
	for _, run := range r.runs {
		addSpan(pools[p.service(run.upstream.Service).Pool()].busy, r.start, span{run.run.Start, run.run.End})
	}
	for pool, use := range pools {
		use.mask(r.waiting(pool, waits, n))
	}
	return pools
}

func (r *recorder) addSlots(pool *use, u Upstream) {
	left, leaves := r.left[u.Name]
	for i := range pool.slots {
		if at := r.start.Add(time.Duration(i) * useStep); !leaves || at.Before(left) {
			pool.slots[i] += float64(u.Slots)
		}
	}
}

// addSpan adds to each sample the part of its step that the span covers.
func addSpan(samples []float64, start time.Time, s span) {
	first := max(0, int(s.from.Sub(start)/useStep))
	for i := first; i < len(samples); i++ {
		from := start.Add(time.Duration(i) * useStep)
		to := from.Add(useStep)
		if !from.Before(s.to) {
			return
		}
		covered := earlier(to, s.to).Sub(later(from, s.from))
		samples[i] += max(0, covered.Seconds()/useStep.Seconds())
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

// waiting tells for each sample whether something waited in the pool throughout it.
func (r *recorder) waiting(pool pomelorelay.PoolID, waits map[waiter][]span, n int) []bool {
	var spans []span
	for key, some := range waits {
		if key.pool == pool {
			spans = append(spans, some...)
		}
	}
	covered := make([]float64, n)
	for _, s := range union(spans) {
		addSpan(covered, r.start, s)
	}
	waiting := make([]bool, n)
	for i, c := range covered {
		waiting[i] = c > 0.999
	}
	return waiting
}

func (u *use) mask(keep []bool) {
	for i, k := range keep {
		if !k {
			u.busy[i], u.slots[i] = 0, 0
		}
	}
}

// share returns busy over existing slots of the samples from from to to, and zero when nothing waited then.
func (u *use) share(from, to int) float64 {
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
