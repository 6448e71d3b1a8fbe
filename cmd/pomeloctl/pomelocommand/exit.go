package pomelocommand

import "github.com/pomelorelay/pomelorelay"

// Exit codes, documented in docs/operators/exit-codes.md.
const (
	exitSuccess     = 0
	exitFailure     = 1
	exitInput       = 2
	exitConflict    = 3
	exitUnknown     = 4
	exitNotInForce  = 5
	exitUnreachable = 6
)

// storeCallsPerSecond is the maximum rate of pomeloctl's calls to the store. The rate is high enough to load a large configuration in
// seconds, and well under the store's own rate limit.
const storeCallsPerSecond = 200

func exitCode(code pomelorelay.ResultCode) int {
	switch code {
	case pomelorelay.CodeBadRequest, pomelorelay.CodeConfigSyntax, pomelorelay.CodeConfigUnknownField, pomelorelay.CodeSettingsInvalid,
		pomelorelay.CodeConfigInvalid, pomelorelay.CodeAnswersInvalid, pomelorelay.CodeConfigTooLarge, pomelorelay.CodeFileUnreadable:
		return exitInput
	case pomelorelay.CodeConfigConflict, pomelorelay.CodeStoreConflict:
		return exitConflict
	case pomelorelay.CodeConfigUnsettled, pomelorelay.CodeStoreUnknown:
		return exitUnknown
	case pomelorelay.CodeConfigNotInForce:
		return exitNotInForce
	case pomelorelay.CodeStoreUnavailable, pomelorelay.CodeStoreThrottled, pomelorelay.CodeRouterUnreachable:
		return exitUnreachable
	}
	return exitFailure
}
