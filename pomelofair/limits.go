package pomelofair

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// minRetryAfter and maxRetryAfter bound the Retry-After time that is estimated for rejected requests.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// checkLimits rejects a request that exceeds the limits of its account, so that a flood fills only that account's queue.
func (q *Queues) checkLimits(a *account, r Request) error {
	code := pomelorelay.ResultCode(0)
	switch {
	case a.waiting >= a.pool.options.MaxWaiting:
		code = pomelorelay.CodeQueueCountFull
	case a.bytes+r.Bytes > a.pool.options.MaxWaitingBytes:
		code = pomelorelay.CodeQueueBytesFull
	default:
		return nil
	}
	err := pomelorelay.NewError(code, "", nil)
	err.RetryAfter = a.retryAfter()
	return err
}

// retryAfter estimates the time until half of the account's queue has been served.
func (a *account) retryAfter() time.Duration {
	estimate := a.popInterval * time.Duration(a.waiting) / 2
	return min(max(estimate, minRetryAfter), maxRetryAfter)
}

// WaitTimeoutError returns the error, with RetryAfter, for a request that Expire removed.
func (q *Queues) WaitTimeoutError(id pomelorelay.PoolID, name pomelorelay.AccountID) *pomelorelay.Error {
	err := pomelorelay.NewError(pomelorelay.CodeQueueWaitOver, "", nil)
	err.RetryAfter = q.account(id, name).retryAfter()
	return err
}
