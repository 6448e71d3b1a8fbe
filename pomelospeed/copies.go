package pomelospeed

import "time"

const (
	// copyGuess is the first guess of the time to copy a token, as a part of the time to read it.
	copyGuess = 0.3
	// copyGuessTokens is the number of tokens that the guess counts for, a few prompts.
	copyGuessTokens = 20_000
	// copyHalf is the time in which half of what copies took is forgotten. Where they take as long as reading nobody copies; never forgotten, a
	// moment in which engines were full would end copying for good.
	copyHalf = 10 * time.Second
	// mostCopyNews bounds the tokens that one report of another router may count for.
	mostCopyNews = 200_000
)

// NewCopyTimeRatio returns the time that engines take to copy parts of prompts that others keep, as a part of the time to read them. What they had
// to read after all, since the other one did not keep it any more, counts as time of the copy.
func NewCopyTimeRatio() *DecayingRatio {
	return NewDecayingRatio(DecayingRatioConfig{Guess: copyGuess, Weight: copyGuessTokens, Half: copyHalf, MostNews: mostCopyNews})
}
