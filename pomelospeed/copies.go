package pomelospeed

import "time"

const (
	// copyPrior is the prior of the time to copy a cached token, relative to the time to prefill it.
	copyPrior = 0.3
	// copyPriorTokens is the number of copied tokens that the prior counts for, a few prompts.
	copyPriorTokens = 20_000
	// copyHalfLife is the half-life of observed copies. Routers stop copying, and so observe no copies, when copying takes as long as
	// prefilling; without decay, a short period of full engines would disable copying for good.
	copyHalfLife = 10 * time.Second
	// maxCopyReportTokens bounds the number of copied tokens that one report of another router counts for.
	maxCopyReportTokens = 200_000
)

// NewCopyTimeRatio returns an estimate of the time that engines take to copy cached prompt parts from other engines, relative to the time to
// prefill them. The prefill of tokens that the other engine had already evicted counts as copy time.
func NewCopyTimeRatio() *DecayingRatio {
	return NewDecayingRatio(DecayingRatioConfig{Prior: copyPrior, PriorWeight: copyPriorTokens, HalfLife: copyHalfLife, MaxReportWeight: maxCopyReportTokens})
}
