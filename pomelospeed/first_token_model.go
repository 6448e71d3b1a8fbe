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
	// priorPrefillTime is the prefill time of one of the two prompts that represent the prior until answers are observed; the other prompt is
	// empty.
	priorPrefillTime = 200 * time.Millisecond
	// observationHalfLife is the half-life of the weight of observed answers, short because step times change with the running batch.
	observationHalfLife = 4 * time.Second
	// minAnswers is the number of observed answers below which observations do not decay, so that a fleet under low load keeps its
	// estimate.
	minAnswers = 50
	// maxReportAnswers bounds the number of answers that one report of another router counts for. A router's first report covers all answers
	// since its start and would outweigh recent ones.
	maxReportAnswers = 200
	// outlierRatio is the ratio to the expected time, or its inverse, at which a time to first token is clamped: the answers of a stalled engine
	// do not show its prefill rate. With fewer than settledAnswers observed answers the limit is wider, since the fit itself may be as far off.
	outlierRatio   = 4
	settledAnswers = 30
	// answersPerRateStep is the number of observed answers by which the upper bound of the fitted rate grows by one prior rate.
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
	m := &FirstTokenModel{}
	m.SetPriorRate(prior)
	return m
}

// SetPriorRate replaces the prior rate.
func (m *FirstTokenModel) SetPriorRate(prior PrefillRate) {
	m.prior = min(max(prior, minRate), maxRate)
	m.fit()
}

// PrefillRate returns the estimated prefill rate of an engine.
func (m *FirstTokenModel) PrefillRate() PrefillRate { return PrefillRate(1 / m.perTokenMS) }

// Overhead returns the time to first token of an empty prompt at an engine without a queue.
func (m *FirstTokenModel) Overhead() time.Duration { return duration(m.overheadMS) }

// ExpectedTime returns the expected time to first token when the engine must prefill the given tokens, including those of the request.
func (m *FirstTokenModel) ExpectedTime(tokens float64) time.Duration {
	return duration(m.overheadMS + m.perTokenMS*tokens)
}

// Observe records a time to first token that this router observed, with the tokens that the engine had to prefill.
func (m *FirstTokenModel) Observe(now time.Time, tokens float64, took time.Duration) {
	expected := m.overheadMS + m.perTokenMS*tokens
	limit := outlierRatio * max(1, settledAnswers/(m.observed.Answers+1))
	clamped := min(max(milliseconds(took), expected/limit), expected*limit)
	w := m.weight(tokens)
	s := pomelorelay.SpeedSums{Answers: 1, WeightSum: w, TokenSum: w * tokens, TimeSum: w * clamped, TokenSquareSum: w * tokens * tokens, TokenTimeSum: w * tokens * clamped}
	m.local = addScaled(m.local, s, 1)
	m.accumulate(now, s)
}

// weight returns the weight of an answer that followed the prefill of the given tokens, the inverse of its relative variance: the standard
// deviation of times to first token grows in proportion to their length.
func (m *FirstTokenModel) weight(tokens float64) float64 {
	relative := 1 + m.perTokenMS*tokens/milliseconds(priorOverhead)
	return 1 / (relative * relative)
}

// LocalSums returns the sums over the answers that this router observed since its start.
func (m *FirstTokenModel) LocalSums() pomelorelay.SpeedSums { return m.local }

// Merge adds the difference of another router's sums between two reports; a difference that cannot result from answers is ignored.
func (m *FirstTokenModel) Merge(now time.Time, before, after pomelorelay.SpeedSums) {
	delta := addScaled(after, before, -1)
	if !plausible(delta) {
		return
	}
	if delta.Answers > maxReportAnswers {
		delta = addScaled(pomelorelay.SpeedSums{}, delta, maxReportAnswers/delta.Answers)
	}
	m.accumulate(now, delta)
}

// plausible reports whether the sums can result from answers; the sums of a faulty router must not corrupt the fit.
func plausible(s pomelorelay.SpeedSums) bool {
	return s.Answers > 0 && s.WeightSum > 0 && s.TokenSum >= 0 && s.TimeSum > 0 && s.TimeSum <= s.WeightSum*milliseconds(maxFirstTokenTime) && s.TokenTimeSum >= 0 && s.TokenTimeSum <= s.TokenSum*milliseconds(maxFirstTokenTime) &&
		s.TokenSum*s.TokenSum <= s.WeightSum*s.TokenSquareSum*(1+roundingTolerance)
}

// maxFirstTokenTime is the maximum plausible time to first token, longer than any caller waits.
const maxFirstTokenTime = time.Hour

// roundingTolerance is the relative floating-point error that sums may have.
const roundingTolerance = 1e-6

func (m *FirstTokenModel) accumulate(now time.Time, s pomelorelay.SpeedSums) {
	if m.decayedAt.IsZero() {
		m.decayedAt = now
	}
	if passed := now.Sub(m.decayedAt); passed > 0 && m.observed.Answers > minAnswers {
		retained := max(math.Exp2(-float64(passed)/float64(observationHalfLife)), minAnswers/m.observed.Answers)
		m.observed = addScaled(pomelorelay.SpeedSums{}, m.observed, retained)
	}
	m.decayedAt = now
	m.observed = addScaled(m.observed, s, 1)
	m.fit()
}

// fit computes the weighted least-squares line through the observed answers and the prior.
func (m *FirstTokenModel) fit() {
	s := addScaled(m.priorSums(), m.observed, 1)
	determinant := s.WeightSum*s.TokenSquareSum - s.TokenSum*s.TokenSum
	slope := (s.WeightSum*s.TokenTimeSum - s.TokenSum*s.TimeSum) / determinant
	overhead := (s.TimeSum - slope*s.TokenSum) / s.WeightSum
	// The negated comparisons also catch NaN, which the sums of a faulty router may give.
	if !(overhead >= 0) {
		overhead, slope = 0, s.TokenTimeSum/s.TokenSquareSum
	}
	slowest, fastest := m.rateBounds()
	if !(slope >= 1/float64(fastest)) {
		slope = 1 / float64(fastest)
	}
	previous := m.weight(m.rmsTokens())
	m.perTokenMS = min(slope, 1/float64(slowest))
	m.overheadMS = max(overhead, 1)
	// The observed answers were weighted by the previous slope. Without rescaling, the first few answers of slow engines would outweigh a
	// hundred later ones.
	m.observed = reweighed(m.observed, m.weight(m.rmsTokens())/previous)
}

// rateBounds returns the bounds of the fitted rate: the first few answers, which may have waited in unreported queues, must not make
// prefill look instantaneous.
func (m *FirstTokenModel) rateBounds() (slowest, fastest PrefillRate) {
	answers := PrefillRate(m.observed.Answers)
	return max(minRate, m.prior/(1+answers)), min(maxRate, m.prior*(1+answers/answersPerRateStep))
}

// rmsTokens returns the weighted root mean square of the tokens that were prefilled for the observed answers.
func (m *FirstTokenModel) rmsTokens() float64 {
	if m.observed.WeightSum <= 0 {
		return 0
	}
	return math.Sqrt(m.observed.TokenSquareSum / m.observed.WeightSum)
}

func reweighed(s pomelorelay.SpeedSums, factor float64) pomelorelay.SpeedSums {
	answers := s.Answers
	s = addScaled(pomelorelay.SpeedSums{}, s, factor)
	s.Answers = answers
	return s
}

// priorSums returns the prior as answers at two points of its line: at zero tokens, and at the root mean square of the observed answers. A
// second point further out would outweigh many answers.
func (m *FirstTokenModel) priorSums() pomelorelay.SpeedSums {
	tokens, meanWeight := milliseconds(priorPrefillTime)*float64(m.prior), 1.0
	if m.observed.Answers > 0 {
		tokens = max(m.rmsTokens(), 1)
		meanWeight = m.observed.WeightSum / m.observed.Answers
	}
	emptyMS := milliseconds(priorOverhead)
	prefillMS := emptyMS + tokens/float64(m.prior)
	overheadWeight, rateWeight := priorOverheadAnswers*meanWeight, priorRateAnswers*meanWeight
	return pomelorelay.SpeedSums{WeightSum: overheadWeight + rateWeight, TokenSum: rateWeight * tokens, TimeSum: overheadWeight*emptyMS + rateWeight*prefillMS, TokenSquareSum: rateWeight * tokens * tokens, TokenTimeSum: rateWeight * tokens * prefillMS}
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
