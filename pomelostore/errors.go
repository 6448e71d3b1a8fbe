package pomelostore

import "github.com/pomelorelay/pomelorelay"

// IsErrConflict reports whether another writer changed the record first.
func IsErrConflict(err error) bool {
	return pomelorelay.IsErrCode(err, pomelorelay.CodeStoreConflict)
}

// IsErrUnknown reports whether a write's answer was lost after it may have left.
func IsErrUnknown(err error) bool { return pomelorelay.IsErrCode(err, pomelorelay.CodeStoreUnknown) }

// IsErrUnavailable reports whether the call surely had no effect because the store, the breaker or the budget did not let it through.
func IsErrUnavailable(err error) bool {
	return pomelorelay.IsErrCode(err, pomelorelay.CodeStoreUnavailable) || pomelorelay.IsErrCode(err, pomelorelay.CodeStoreThrottled)
}
