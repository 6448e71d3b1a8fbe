package pomelospeed

const (
	// pausePrior is the prior of the fraction of streams that pause for too long during a long prefill on their engine, and
	// pausePriorStreams is the number of streams that it counts for.
	pausePrior        = 0.1
	pausePriorStreams = 4
	// minStreams is the number of observed streams below which observations do not decay.
	minStreams = 100
	// pauseBaseline is the fraction of paused streams up to which the cost of long prefills has weight 0, since faults alone make about
	// that fraction of streams pause; pauseSaturation is the fraction from which it has weight 1.
	pauseBaseline   = 0.02
	pauseSaturation = 0.08
)

// NewPauseRatio returns an estimate of the fraction of streams that pause for longer than their callers accept, among those that run while
// their engine prefills for that long. Engines that prefill in short chunks, or whose events hold few tokens, keep sending events meanwhile.
func NewPauseRatio() *DecayingRatio {
	return NewDecayingRatio(DecayingRatioConfig{Prior: pausePrior, PriorWeight: pausePriorStreams, HalfLife: observationHalfLife, MinDenominator: minStreams, MaxReportWeight: maxReportAnswers})
}

// PauseWeight returns the weight, from 0 to 1, of the cost of long prefills, given the fraction of streams that pause too long during them.
func PauseWeight(fraction float64) float64 {
	return min(max((fraction-pauseBaseline)/(pauseSaturation-pauseBaseline), 0), 1)
}
