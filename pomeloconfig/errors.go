package pomeloconfig

import "github.com/pomelorelay/pomelorelay"

// IsErrConflict reports whether err is CodeConfigConflict: another operator's change was accepted first.
func IsErrConflict(err error) bool {
	return pomelorelay.IsErrCode(err, pomelorelay.CodeConfigConflict)
}

// IsErrUnsettled reports whether err is CodeConfigUnsettled: the change may have been accepted, or may still be.
func IsErrUnsettled(err error) bool {
	return pomelorelay.IsErrCode(err, pomelorelay.CodeConfigUnsettled)
}

// IsErrNoConfiguration reports whether err is CodeConfigNone: the store holds no configuration.
func IsErrNoConfiguration(err error) bool {
	return pomelorelay.IsErrCode(err, pomelorelay.CodeConfigNone)
}
