package pomelofair

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// The bounds of an estimated Retry-After.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// checkLimits refuses what would not fit, so that a flood fills only its own account's queue.
func (q *Queues) checkLimits(a *account, r Request) error {
	code := pomelorelay.ResultCode(0)
	switch {
	case a.waiting >= a.pool.options.MaxWaiting:
		code = pomelorelay.CodeQueueCount
	case a.bytes+r.Bytes > a.pool.options.MaxWaitingBytes:
		code = pomelorelay.CodeQueueBytes
	default:
		return nil
	}
	err := pomelorelay.NewError(code, "", nil)
	err.RetryAfter = a.retryAfter()
	return err
}

// retryAfter estimates when half of the account's queue will have been served.
func (a *account) retryAfter() time.Duration {
	estimate := a.interval * time.Duration(a.waiting) / 2
	return min(max(estimate, minRetryAfter), maxRetryAfter)
}

// WaitTimeoutError returns the refusal of a request that Expire returned.
func (q *Queues) WaitTimeoutError(id pomelorelay.PoolID, name pomelorelay.AccountID) *pomelorelay.Error {
	err := pomelorelay.NewError(pomelorelay.CodeQueueWait, "", nil)
	err.RetryAfter = q.account(id, name).retryAfter()
	return err
}
