package pomelospeed

import (
	"math"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Rate is a reading speed in tokens a millisecond.
type Rate float64

const (
	// minRate and mostRate bound what is learnt, so that a few odd answers cannot make an engine look stopped or endless.
	minRate Rate = 0.5
	maxRate  Rate = 5000
	// priorOverhead is the first guess of what an answer needs besides reading: some decoding steps and the network.
	priorOverhead = 30 * time.Millisecond
	// priorRateAnswers is the number of answers that the first guess of the rate counts for, and startWeight that of the overhead, which
	// differs less between engines; half a second of a fleet's answers outweighs both.
	priorRateAnswers = 1
	priorOverheadAnswers = 6
	// priorReadTime is the reading time at which the second point stands until answers are seen.
	priorReadTime = 200 * time.Millisecond
	// halfLife is the time in which half of what was seen is forgotten: step times change with what runs.
	halfLife = 4 * time.Second
	// minAnswers is the number of answers below which nothing is forgotten, so that a fleet in a calm hour keeps its estimate.
	minAnswers = 50
	// maxReportAnswers bounds the number of answers that one report of another router may count for: its first one sums up all since its start.
	maxReportAnswers = 200
	// outlierRatio is how many times longer or shorter than expected an answer may be to count in full: an engine that stood still says
	// nothing of how fast it reads. With fewer answers than sureAnswers the line itself may be as far off.
	outlierRatio    = 4
	settledAnswers = 30
	// answersPerRateStep is the number of answers that let the rate be once more the first guess above it.
	answersPerRateStep = 4
)

// Line is the time to the first token as a straight line over the prompt tokens to be read, fitted to the answers of all routers.
type Line struct {
	prior Rate
	local   pomelorelay.SpeedSums
	observed  pomelorelay.SpeedSums
	decayedAt    time.Time
	// overheadMS and perToken are in milliseconds.
	overheadMS, perTokenMS float64
}

// NewLine returns a Line that expects engines to read at the rate until it has seen answers.
func NewLine(prior Rate) *Line {
	l := &Line{}
	l.SetGuess(prior)
	return l
}

// SetGuess replaces the first guess.
func (l *Line) SetGuess(prior Rate) {
	l.prior = min(max(prior, minRate), maxRate)
	l.fit()
}

// Rate returns how fast an engine reads.
func (l *Line) Rate() Rate { return Rate(1 / l.perTokenMS) }

// Overhead returns the time to the first token of a prompt of no length at an engine where nothing waits.
func (l *Line) Overhead() time.Duration { return duration(l.overheadMS) }

// Expect returns the time to the first token of an engine that has to read so many tokens before it, the request's own among them.
func (l *Line) Expect(tokens float64) time.Duration { return duration(l.overheadMS + l.perTokenMS*tokens) }

// Note takes the time to the first token that this router saw.
func (l *Line) Note(now time.Time, tokens float64, took time.Duration) {
	expected := l.overheadMS + l.perTokenMS*tokens
	limit := outlierRatio * max(1, settledAnswers/(l.observed.Answers+1))
	clamped := min(max(milliseconds(took), expected/limit), expected*limit)
	w := l.weight(tokens)
	s := pomelorelay.SpeedSums{Answers: 1, Weight: w, Read: w * tokens, Took: w * clamped, ReadRead: w * tokens * tokens, ReadTook: w * tokens * clamped}
	l.local = addScaled(l.local, s, 1)
	l.accumulate(now, s)
}

// weight is what an answer that read so many tokens counts: a wait of twice the length varies twice as much.
func (l *Line) weight(tokens float64) float64 {
	relative := 1 + l.perTokenMS*tokens/milliseconds(priorOverhead)
	return 1 / (relative * relative)
}

// Own returns the sums of this router's answers since its start.
func (l *Line) Own() pomelorelay.SpeedSums { return l.local }

// Merge takes what another router's sums have grown by.
func (l *Line) Merge(now time.Time, before, after pomelorelay.SpeedSums) {
	delta := addScaled(after, before, -1)
	if !plausible(delta) {
		return
	}
	if delta.Answers > maxReportAnswers {
		delta = addScaled(pomelorelay.SpeedSums{}, delta, maxReportAnswers/delta.Answers)
	}
	l.accumulate(now, delta)
}

// plausible reports whether sums can be those of answers; a router that reports others must not spoil what this one has seen.
func plausible(s pomelorelay.SpeedSums) bool {
	return s.Answers > 0 && s.Weight > 0 && s.Read >= 0 && s.Took > 0 && s.Took <= s.Weight*milliseconds(maxFirstTokenTime) && s.ReadTook >= 0 && s.ReadTook <= s.Read*milliseconds(maxFirstTokenTime) &&
		s.Read*s.Read <= s.Weight*s.ReadRead*(1+roundingTolerance)
}

// maxFirstTokenTime is longer than anybody waits for a first token.
const maxFirstTokenTime = time.Hour

// roundingTolerance is how far sums may be off by the rounding of numbers.
const roundingTolerance = 1e-6

func (l *Line) accumulate(now time.Time, s pomelorelay.SpeedSums) {
	if l.decayedAt.IsZero() {
		l.decayedAt = now
	}
	if passed := now.Sub(l.decayedAt); passed > 0 && l.observed.Answers > minAnswers {
		retained := max(math.Exp2(-float64(passed)/float64(halfLife)), minAnswers/l.observed.Answers)
		l.observed = addScaled(pomelorelay.SpeedSums{}, l.observed, retained)
	}
	l.decayedAt = now
	l.observed = addScaled(l.observed, s, 1)
	l.fit()
}

// fit draws the line of least squares through what was seen and the first guess.
func (l *Line) fit() {
	s := addScaled(l.priorSums(), l.observed, 1)
	determinant := s.Weight*s.ReadRead - s.Read*s.Read
	slope := (s.Weight*s.ReadTook - s.Read*s.Took) / determinant
	overhead := (s.Took - slope*s.Read) / s.Weight
	// Comparisons are false where sums give no number, as those of a faulty router.
	if !(overhead >= 0) {
		overhead, slope = 0, s.ReadTook/s.ReadRead
	}
	slowest, fastest := l.rateBounds()
	if !(slope >= 1/float64(fastest)) {
		slope = 1 / float64(fastest)
	}
	previous := l.weight(l.rmsTokens())
	l.perTokenMS = min(slope, 1/float64(slowest))
	l.overheadMS = max(overhead, 1)
	// What was seen before was weighed by another slope. Left as it is, the first few answers at slow engines would outweigh a hundred later ones.
	l.observed = reweighed(l.observed, l.weight(l.rmsTokens())/previous)
}

// rateBounds returns the rates between which the line may be: the first few answers, perhaps behind unreported queues, must not make
// reading look free.
func (l *Line) rateBounds() (slowest, fastest Rate) {
	answers := Rate(l.observed.Answers)
	return max(minRate, l.prior/(1+answers)), min(maxRate, l.prior*(1+answers/answersPerRateStep))
}

// rmsTokens returns about how many tokens the answers read that were seen.
func (l *Line) rmsTokens() float64 {
	if l.observed.Weight <= 0 {
		return 0
	}
	return math.Sqrt(l.observed.ReadRead / l.observed.Weight)
}

func reweighed(s pomelorelay.SpeedSums, factor float64) pomelorelay.SpeedSums {
	answers := s.Answers
	s = addScaled(pomelorelay.SpeedSums{}, s, factor)
	s.Answers = answers
	return s
}

// priorSums returns the first guess as answers at two points of its line: at no tokens, and at about as many as the answers read that were
// seen. Further out, it would outweigh many answers.
func (l *Line) priorSums() pomelorelay.SpeedSums {
	tokens, meanWeight := milliseconds(priorReadTime)*float64(l.prior), 1.0
	if l.observed.Answers > 0 {
		tokens = max(l.rmsTokens(), 1)
		meanWeight = l.observed.Weight / l.observed.Answers
	}
	emptyMS := milliseconds(priorOverhead)
	readMS := emptyMS + tokens/float64(l.prior)
	w, v := priorOverheadAnswers*meanWeight, priorRateAnswers*meanWeight
	return pomelorelay.SpeedSums{Weight: w + v, Read: v * tokens, Took: w*emptyMS + v*readMS, ReadRead: v * tokens * tokens, ReadTook: v * tokens * readMS}
}

// addScaled returns the sums of a and so many times b.
func addScaled(a, b pomelorelay.SpeedSums, factor float64) pomelorelay.SpeedSums {
	return pomelorelay.SpeedSums{
		Service: a.Service,
		Answers: a.Answers + factor*b.Answers, Weight: a.Weight + factor*b.Weight, Read: a.Read + factor*b.Read,
		Took: a.Took + factor*b.Took, ReadRead: a.ReadRead + factor*b.ReadRead, ReadTook: a.ReadTook + factor*b.ReadTook,
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
