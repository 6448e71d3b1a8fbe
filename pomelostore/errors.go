package pomelostore

import "github.com/pomelorelay/pomelorelay"

// IsErrConflict reports whether a write failed because another writer changed the record first.
func IsErrConflict(err error) bool {
	return pomelorelay.IsErrCode(err, pomelorelay.CodeStoreConflict)
}

// IsErrUnknown reports whether a write may have taken effect, because its response was lost after it may have been sent.
func IsErrUnknown(err error) bool { return pomelorelay.IsErrCode(err, pomelorelay.CodeStoreUnknown) }

// IsErrUnavailable reports whether a call had no effect because the store, the breaker or the call budget did not accept it.
func IsErrUnavailable(err error) bool {
	return pomelorelay.IsErrCode(err, pomelorelay.CodeStoreUnavailable) || pomelorelay.IsErrCode(err, pomelorelay.CodeStoreThrottled)
}
