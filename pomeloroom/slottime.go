package pomeloroom

import (
	"math"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelospeed"
)

const (
	// slotTimeHalfLife is the half-life of observed runs. It spans some hundred runs of a router with 20 requests a second.
	slotTimeHalfLife = 30 * time.Second
	// minSlotTimeRuns is the number of observed runs from which the estimates are used.
	minSlotTimeRuns = 8
	// ridge is added to the diagonal of the normal equations relative to the diagonal, so that they can be solved when all runs are alike.
	ridge = 1e-3
	// weightTokens is the output length at which a run has half the weight of a short one: the errors of long runs are larger, and equal weights
	// would fit only these.
	weightTokens = 32
	// outputRatioPriorTokens is the number of estimated tokens with which the ratio 1 counts before any run of a route has ended.
	outputRatioPriorTokens = 500
	// minRemainingFraction is the remaining time of an overdue run as a fraction of its expected duration.
	minRemainingFraction = 0.1
	minDuration          = time.Millisecond
)

// SlotTime learns the duration of runs on the engines of one service.
type SlotTime struct {
	fit       leastSquares
	durations moments
	ratios    map[pomelorelay.RouteID]*pomelospeed.DecayingRatio
	errors    ratioHistogram
	decayedAt time.Time
}

// Plan describes a run when it is sent.
type Plan struct {
	Route pomelorelay.RouteID
	// Estimated is the estimated number of output tokens.
	Estimated pomelorelay.Tokens
	// Running is the number of requests at the engine, this one included.
	Running int
	// FirstToken is the expected time to first token.
	FirstToken time.Duration
}

// Sample describes a completed run.
type Sample struct {
	Plan
	// Output is the actual number of output tokens.
	Output pomelorelay.Tokens
	// Predicted is the duration that was expected when the run was sent; zero if none was.
	Predicted time.Duration
	Duration  time.Duration
}

// NewSlotTime returns a SlotTime without observations.
func NewSlotTime() *SlotTime {
	return &SlotTime{ratios: make(map[pomelorelay.RouteID]*pomelospeed.DecayingRatio)}
}

// Known reports whether enough runs were observed for the estimates to be used.
func (s *SlotTime) Known() bool { return s.durations.count >= minSlotTimeRuns }

// Observe records a completed run.
func (s *SlotTime) Observe(now time.Time, o Sample) {
	if o.Duration <= 0 || o.Output <= 0 {
		return
	}
	s.decay(now)
	if o.Predicted > 0 {
		s.errors.add(float64(o.Duration) / float64(o.Predicted))
	}
	if o.Estimated > 0 {
		s.ratio(o.Route).Observe(now, pomelospeed.RatioSums{Numerator: float64(o.Output), Denominator: float64(o.Estimated)})
	}
	tokens := float64(o.Output)
	s.fit.add(features(tokens, o.Running), milliseconds(o.Duration-o.FirstToken), 1/(1+tokens/weightTokens))
	s.durations.add(milliseconds(o.Duration))
}

// Expected returns the expected duration of a run; zero while it is unknown.
func (s *SlotTime) Expected(now time.Time, p Plan) time.Duration {
	if !s.Known() {
		return 0
	}
	tokens := float64(p.Estimated) * s.OutputRatio(now, p.Route)
	return max(minDuration, p.FirstToken+duration(s.fit.predict(features(tokens, p.Running))))
}

// OutputRatio returns the ratio of actual to estimated output tokens of a route.
func (s *SlotTime) OutputRatio(now time.Time, route pomelorelay.RouteID) float64 {
	if r := s.ratios[route]; r != nil {
		return r.Value(now)
	}
	return 1
}

// MeanRemaining returns the expected remaining duration of a run of unknown age; zero while it is unknown.
func (s *SlotTime) MeanRemaining() time.Duration {
	if !s.Known() {
		return 0
	}
	return max(minDuration, duration(s.durations.squares/(2*s.durations.sum)))
}

// Remaining returns the expected remaining time of a run that lasts the expected duration and ends at the given time.
func Remaining(now, end time.Time, expected time.Duration) time.Duration {
	return max(end.Sub(now), time.Duration(minRemainingFraction*float64(expected)), minDuration)
}

// UntilFree returns the expected time until one of the runs at an engine ends, given the sum of the remaining times of the known runs and the
// number of known and of other runs; zero while it is unknown.
func (s *SlotTime) UntilFree(remaining time.Duration, known, others int) time.Duration {
	known, others = max(0, known), max(0, others)
	if !s.Known() || known+others == 0 {
		return 0
	}
	mean := (remaining + time.Duration(others)*s.MeanRemaining()) / time.Duration(known+others)
	return max(minDuration, mean/time.Duration(known+others+1))
}

// Errors returns the median and the 90th percentile of the ratios of actual to predicted durations, and the decayed number of them.
func (s *SlotTime) Errors() (median, p90, count float64) {
	return s.errors.quantile(0.5), s.errors.quantile(0.9), s.errors.total
}

func (s *SlotTime) ratio(route pomelorelay.RouteID) *pomelospeed.DecayingRatio {
	r := s.ratios[route]
	if r == nil {
		r = pomelospeed.NewDecayingRatio(pomelospeed.DecayingRatioConfig{
			Prior: 1, PriorWeight: outputRatioPriorTokens, HalfLife: slotTimeHalfLife, MinDenominator: outputRatioPriorTokens,
		})
		s.ratios[route] = r
	}
	return r
}

// decay reduces the weight of earlier runs. Sums of few runs are kept, so that a service with little traffic stays known.
func (s *SlotTime) decay(now time.Time) {
	passed := now.Sub(s.decayedAt)
	if passed <= 0 {
		return
	}
	if !s.decayedAt.IsZero() && s.durations.count > 2*minSlotTimeRuns {
		factor := max(math.Exp2(-float64(passed)/float64(slotTimeHalfLife)), 2*minSlotTimeRuns/s.durations.count)
		s.fit.scale(factor)
		s.durations.scale(factor)
		s.errors.scale(factor)
	}
	s.decayedAt = now
}

// moments holds the decayed count, sum and sum of squares of durations in milliseconds.
type moments struct{ count, sum, squares float64 }

func (m *moments) add(v float64) {
	m.count++
	m.sum += v
	m.squares += v * v
}

func (m *moments) scale(factor float64) {
	m.count *= factor
	m.sum *= factor
	m.squares *= factor
}

func features(tokens float64, running int) [featureCount]float64 {
	return [featureCount]float64{1, tokens, tokens * float64(running)}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
