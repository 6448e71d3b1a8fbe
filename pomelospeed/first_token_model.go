package pomelospeed

import (
	"math"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// PrefillRate is a prefill rate in prompt tokens per millisecond.
type PrefillRate float64

const (
	// minRate and maxRate bound the fit, so that a few outliers cannot make an engine look stopped or infinitely fast.
	minRate PrefillRate = 0.5
	maxRate PrefillRate = 5000
	// priorOverhead is the prior of the time to first token without prefill: a few decoding steps and the network.
	priorOverhead = 30 * time.Millisecond
	// priorRateAnswers and priorOverheadAnswers are the numbers of answers that the priors of the rate and of the overhead count for. The
	// overhead varies less between engines; the answers of a fleet in half a second outweigh both.
	priorRateAnswers     = 1
	priorOverheadAnswers = 6
	// priorPrefillTime is the prefill time of the prior's second point until answers are observed.
	priorPrefillTime = 200 * time.Millisecond
	// observationHalfLife is the half-life of observed answers: step times change with the running batch.
	observationHalfLife = 4 * time.Second
	// minAnswers is the number of answers down to which observations decay, so that a fleet under low load keeps its estimate.
	minAnswers = 50
	// maxReportAnswers bounds the number of answers that one report of another router counts for: its first report covers all since its start.
	maxReportAnswers = 200
	// outlierRatio is the ratio to the expected time, or its inverse, at which a time to first token is clamped: the answers of a stalled
	// engine do not show its prefill rate. Below settledAnswers the limit is wider, since the fit itself may be as far off.
	outlierRatio   = 4
	settledAnswers = 30
	// answersPerRateStep is the number of answers that raise the upper bound of the rate by the prior rate.
	answersPerRateStep = 4
)

// FirstTokenModel models the time to first token as a linear function of the prompt tokens to prefill, fitted to the answers of all routers.
type FirstTokenModel struct {
	prior                  PrefillRate
	local                  pomelorelay.SpeedSums
	observed               pomelorelay.SpeedSums
	decayedAt              time.Time
	overheadMS, perTokenMS float64
}

// NewFirstTokenModel returns a model with the given prior rate, which applies until answers are observed.
func NewFirstTokenModel(prior PrefillRate) *FirstTokenModel {
	l := &FirstTokenModel{}
	l.SetPriorRate(prior)
	return l
}

// SetPriorRate replaces the prior rate.
func (l *FirstTokenModel) SetPriorRate(prior PrefillRate) {
	l.prior = min(max(prior, minRate), maxRate)
	l.fit()
}

// PrefillRate returns the estimated prefill rate of an engine.
func (l *FirstTokenModel) PrefillRate() PrefillRate { return PrefillRate(1 / l.perTokenMS) }

// Overhead returns the time to first token of an empty prompt at an engine without a queue.
func (l *FirstTokenModel) Overhead() time.Duration { return duration(l.overheadMS) }

// ExpectedTime returns the expected time to first token where the engine must prefill the given tokens first, those of the request included.
func (l *FirstTokenModel) ExpectedTime(tokens float64) time.Duration {
	return duration(l.overheadMS + l.perTokenMS*tokens)
}

// Observe records a time to first token that this router observed, with the tokens that the engine had to prefill.
func (l *FirstTokenModel) Observe(now time.Time, tokens float64, took time.Duration) {
	expected := l.overheadMS + l.perTokenMS*tokens
	limit := outlierRatio * max(1, settledAnswers/(l.observed.Answers+1))
	clamped := min(max(milliseconds(took), expected/limit), expected*limit)
	w := l.weight(tokens)
	s := pomelorelay.SpeedSums{Answers: 1, WeightSum: w, TokenSum: w * tokens, TimeSum: w * clamped, TokenSquareSum: w * tokens * tokens, TokenTimeSum: w * tokens * clamped}
	l.local = addScaled(l.local, s, 1)
	l.accumulate(now, s)
}

// weight returns the weight of an answer that followed the prefill of the given tokens, the inverse of its relative variance: the standard
// deviation of times to first token grows in proportion to their length.
func (l *FirstTokenModel) weight(tokens float64) float64 {
	relative := 1 + l.perTokenMS*tokens/milliseconds(priorOverhead)
	return 1 / (relative * relative)
}

// LocalSums returns the sums over the answers that this router observed since its start.
func (l *FirstTokenModel) LocalSums() pomelorelay.SpeedSums { return l.local }

// Merge adds the difference of another router's sums between two reports; a difference that no answers can have is ignored.
func (l *FirstTokenModel) Merge(now time.Time, before, after pomelorelay.SpeedSums) {
	delta := addScaled(after, before, -1)
	if !plausible(delta) {
		return
	}
	if delta.Answers > maxReportAnswers {
		delta = addScaled(pomelorelay.SpeedSums{}, delta, maxReportAnswers/delta.Answers)
	}
	l.accumulate(now, delta)
}

// plausible reports whether the sums can result from answers; the sums of a faulty router must not corrupt the fit.
func plausible(s pomelorelay.SpeedSums) bool {
	return s.Answers > 0 && s.WeightSum > 0 && s.TokenSum >= 0 && s.TimeSum > 0 && s.TimeSum <= s.WeightSum*milliseconds(maxFirstTokenTime) && s.TokenTimeSum >= 0 && s.TokenTimeSum <= s.TokenSum*milliseconds(maxFirstTokenTime) &&
		s.TokenSum*s.TokenSum <= s.WeightSum*s.TokenSquareSum*(1+roundingTolerance)
}

// maxFirstTokenTime is longer than any caller waits for a first token.
const maxFirstTokenTime = time.Hour

// roundingTolerance is the relative floating-point error that sums may have.
const roundingTolerance = 1e-6

func (l *FirstTokenModel) accumulate(now time.Time, s pomelorelay.SpeedSums) {
	if l.decayedAt.IsZero() {
		l.decayedAt = now
	}
	if passed := now.Sub(l.decayedAt); passed > 0 && l.observed.Answers > minAnswers {
		retained := max(math.Exp2(-float64(passed)/float64(observationHalfLife)), minAnswers/l.observed.Answers)
		l.observed = addScaled(pomelorelay.SpeedSums{}, l.observed, retained)
	}
	l.decayedAt = now
	l.observed = addScaled(l.observed, s, 1)
	l.fit()
}

// fit computes the weighted least-squares line through the observed answers and the prior.
func (l *FirstTokenModel) fit() {
	s := addScaled(l.priorSums(), l.observed, 1)
	determinant := s.WeightSum*s.TokenSquareSum - s.TokenSum*s.TokenSum
	slope := (s.WeightSum*s.TokenTimeSum - s.TokenSum*s.TimeSum) / determinant
	overhead := (s.TimeSum - slope*s.TokenSum) / s.WeightSum
	// The negated comparisons also catch NaN, which the sums of a faulty router may give.
	if !(overhead >= 0) {
		overhead, slope = 0, s.TokenTimeSum/s.TokenSquareSum
	}
	slowest, fastest := l.rateBounds()
	if !(slope >= 1/float64(fastest)) {
		slope = 1 / float64(fastest)
	}
	previous := l.weight(l.rmsTokens())
	l.perTokenMS = min(slope, 1/float64(slowest))
	l.overheadMS = max(overhead, 1)
	// The observed answers were weighted by the previous slope. Without rescaling, the first few answers of slow engines would outweigh a hundred
	// later ones.
	l.observed = reweighed(l.observed, l.weight(l.rmsTokens())/previous)
}

// rateBounds returns the bounds of the fitted rate: the first few answers, which may have waited in unreported queues, must not make
// prefill look instantaneous.
func (l *FirstTokenModel) rateBounds() (slowest, fastest PrefillRate) {
	answers := PrefillRate(l.observed.Answers)
	return max(minRate, l.prior/(1+answers)), min(maxRate, l.prior*(1+answers/answersPerRateStep))
}

// rmsTokens returns the weighted root mean square of the tokens that were prefilled for the observed answers.
func (l *FirstTokenModel) rmsTokens() float64 {
	if l.observed.WeightSum <= 0 {
		return 0
	}
	return math.Sqrt(l.observed.TokenSquareSum / l.observed.WeightSum)
}

func reweighed(s pomelorelay.SpeedSums, factor float64) pomelorelay.SpeedSums {
	answers := s.Answers
	s = addScaled(pomelorelay.SpeedSums{}, s, factor)
	s.Answers = answers
	return s
}

// priorSums returns the prior as answers at two points of its line: at zero tokens, and at the root mean square of the observed answers. A
// second point further out would outweigh many answers.
func (l *FirstTokenModel) priorSums() pomelorelay.SpeedSums {
	tokens, meanWeight := milliseconds(priorPrefillTime)*float64(l.prior), 1.0
	if l.observed.Answers > 0 {
		tokens = max(l.rmsTokens(), 1)
		meanWeight = l.observed.WeightSum / l.observed.Answers
	}
	emptyMS := milliseconds(priorOverhead)
	prefillMS := emptyMS + tokens/float64(l.prior)
	w, v := priorOverheadAnswers*meanWeight, priorRateAnswers*meanWeight
	return pomelorelay.SpeedSums{WeightSum: w + v, TokenSum: v * tokens, TimeSum: w*emptyMS + v*prefillMS, TokenSquareSum: v * tokens * tokens, TokenTimeSum: v * tokens * prefillMS}
}

// addScaled returns a + factor*b.
func addScaled(a, b pomelorelay.SpeedSums, factor float64) pomelorelay.SpeedSums {
	return pomelorelay.SpeedSums{
		Service: a.Service,
		Answers: a.Answers + factor*b.Answers, WeightSum: a.WeightSum + factor*b.WeightSum, TokenSum: a.TokenSum + factor*b.TokenSum,
		TimeSum: a.TimeSum + factor*b.TimeSum, TokenSquareSum: a.TokenSquareSum + factor*b.TokenSquareSum, TokenTimeSum: a.TokenTimeSum + factor*b.TokenTimeSum,
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
