package pomelospeed

import "time"

const (
	// copyPrior is the first guess of the time to copy a token, as a part of the time to read it.
	copyPrior = 0.3
	// copyPriorTokens is the number of tokens that the guess counts for, a few prompts.
	copyPriorTokens = 20_000
	// copyHalfLife is the time in which half of what copies took is forgotten. Where they take as long as reading nobody copies; never forgotten, a
	// moment in which engines were full would end copying for good.
	copyHalfLife = 10 * time.Second
	// maxCopyReportTokens bounds the tokens that one report of another router may count for.
	maxCopyReportTokens = 200_000
)

// NewCopies returns the time that engines take to copy parts of prompts that others keep, as a part of the time to read them. What they had
// to read after all, since the other one did not keep it any more, counts as time of the copy.
func NewCopies() *Ratio {
	return NewRatio(RatioConfig{Prior: copyPrior, PriorWeight: copyPriorTokens, HalfLife: copyHalfLife, MaxReportWeight: maxCopyReportTokens})
}
