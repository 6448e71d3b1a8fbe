package pomeloconfig

import "github.com/pomelorelay/pomelorelay"

// IsErrConflict reports whether another operator's change was accepted first.
func IsErrConflict(err error) bool {
	return pomelorelay.IsErrCode(err, pomelorelay.CodeConfigConflict)
}

// IsErrUnsettled reports whether a change may have been accepted, or may yet be.
func IsErrUnsettled(err error) bool {
	return pomelorelay.IsErrCode(err, pomelorelay.CodeConfigUnsettled)
}

// IsErrNoConfiguration reports whether the store holds no configuration.
func IsErrNoConfiguration(err error) bool { return pomelorelay.IsErrCode(err, pomelorelay.CodeConfigNone) }
