package pomelofeedback

import (
	"math"
	"time"
)

const (
	// halfLife is the half-life of the mean and of the errors; it is the same as that of pomelospeed.LastingRatio, which takes over what becomes part
	// of the mean.
	halfLife = 10 * time.Second
	// priorCount is the number of announcements that the priors count for: a mean of the usual speed, and predictions that are no better than the
	// mean. priorError is the prior of the squared errors, that of figures which vary by a fifth.
	priorCount = 3
	priorError = 0.04
)

// classLimits are the upper limits of the ages by which errors are kept; older announcements have a class of their own.
var classLimits = [...]time.Duration{50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond}

// ageClasses is the number of classes of ages.
const ageClasses = len(classLimits) + 1

func ageClass(age time.Duration) int {
	for i, limit := range classLimits {
		if age < limit {
			return i
		}
	}
	return ageClasses - 1
}

// errorSums holds decaying sums of squared errors of the announcements of one age and of the upstream's mean figure.
type errorSums struct {
	announced, mean, count float64
	decayedAt              time.Time
}

func (s *errorSums) add(at time.Time, announced, mean float64) {
	retained := retainedSince(&s.decayedAt, at)
	s.announced = s.announced*retained + announced
	s.mean = s.mean*retained + mean
	s.count = s.count*retained + 1
}

// predictionError returns the mean squared error of the announcements.
func (s *errorSums) predictionError() float64 {
	return (s.announced + priorCount*priorError) / (s.count + priorCount)
}

// weight returns by how much the announcements predict better than the mean: 1 if they have no error, 0 if they are no better.
func (s *errorSums) weight() float64 {
	return max(0, 1-(s.announced+priorCount*priorError)/(s.mean+priorCount*priorError))
}

// decayingMean is a decaying mean of logarithms.
type decayingMean struct {
	sum, count float64
	decayedAt  time.Time
}

func (m *decayingMean) add(at time.Time, x float64) {
	retained := retainedSince(&m.decayedAt, at)
	m.sum = m.sum*retained + x
	m.count = m.count*retained + 1
}

func (m *decayingMean) value() float64 { return m.sum / (m.count + priorCount) }

// retainedSince returns the fraction that a decaying sum retains since it was last decayed, and sets that time.
func retainedSince(decayedAt *time.Time, at time.Time) float64 {
	passed := at.Sub(*decayedAt)
	if passed <= 0 {
		return 1
	}
	*decayedAt = at
	return math.Exp2(-float64(passed) / float64(halfLife))
}
