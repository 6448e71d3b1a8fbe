package pomelospeed

const (
	// pauseGuess is the first guess of the part of streams that pause for too long beside an engine that reads for long, and
	// pauseGuessWeight the number of streams that it counts for.
	pauseGuess       = 0.1
	pauseGuessWeight = 4
	// leastStreams is the number of streams below which nothing is forgotten.
	leastStreams = 100
	// pauseChance is the part of streams up to which long reading does not count, since faults make as many pause, and pauseSure the part
	// from which it counts in full.
	pauseChance = 0.02
	pauseSure   = 0.08
)

// NewPauseRatio returns the part of the streams that pause for longer than their callers accept, of those that run while their engine reads for
// that long. Engines that read in short chunks, or whose events hold few tokens, go on generating beside it.
func NewPauseRatio() *DecayingRatio {
	return NewDecayingRatio(DecayingRatioConfig{Guess: pauseGuess, Weight: pauseGuessWeight, Half: fadeTime, Least: leastStreams, MostNews: mostNews})
}

// PauseWeight returns how much it counts, from 0 to 1, that long reading makes such a part of the streams pause.
func PauseWeight(part float64) float64 {
	return min(max((part-pauseChance)/(pauseSure-pauseChance), 0), 1)
}
