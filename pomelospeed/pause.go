package pomelospeed

const (
	// pausePrior is the first guess of the part of streams that pause for too long beside an engine that reads for long, and
	// pauseGuessWeight the number of streams that it counts for.
	pausePrior       = 0.1
	pausePriorStreams = 4
	// minStreams is the number of streams below which nothing is forgotten.
	minStreams = 100
	// pauseBaseline is the part of streams up to which long reading does not count, since faults make as many pause, and pauseSure the part
	// from which it counts in full.
	pauseBaseline = 0.02
	pauseSaturation   = 0.08
)

// NewPauses returns the part of the streams that pause for longer than their callers accept, of those that run while their engine reads for
// that long. Engines that read in short chunks, or whose events hold few tokens, go on generating beside it.
func NewPauses() *Ratio {
	return NewRatio(RatioConfig{Prior: pausePrior, PriorWeight: pausePriorStreams, HalfLife: halfLife, MinWeight: minStreams, MaxReportWeight: maxReportAnswers})
}

// PauseWeight returns how much it counts, from 0 to 1, that long reading makes such a part of the streams pause.
func PauseWeight(fraction float64) float64 {
	return min(max((fraction-pauseBaseline)/(pauseSaturation-pauseBaseline), 0), 1)
}
