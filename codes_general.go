package pomelorelay

// General result codes, 1000 to 1099.
const (
	CodeInternal       ResultCode = 1000
	CodeStopping       ResultCode = 1001
	CodeNotReady       ResultCode = 1002
	CodeUnauthorised   ResultCode = 1003
	CodeUnknownPath    ResultCode = 1004
	CodeBadRequest     ResultCode = 1005
	CodeTooLarge       ResultCode = 1006
	CodeDeadlinePassed ResultCode = 1007
	CodeCallerGone     ResultCode = 1008
	CodeNoUpstream     ResultCode = 1009
	CodeHeaderBounds   ResultCode = 1010
	CodeCannotListen   ResultCode = 1012
	CodeStopLate       ResultCode = 1013
	CodeForbidden      ResultCode = 1014
	CodeRouterFull     ResultCode = 1015

	CodeRouterOverloaded ResultCode = 1016
)

var generalCodes = []CodeInfo{
	{CodeInternal, "Internal", 500, RanUnknown, "A defect in the router.", "Report it with the log's event."},
	{CodeStopping, "Stopping", 503, RanNo, "The router is stopping and takes no new work.", "Send it again; the balancer picks another router."},
	{CodeNotReady, "NotReady", 503, RanNo, "The router has no configuration yet.", "Send it again after Retry-After."},
	{CodeUnauthorised, "Unauthorised", 401, RanNo, "The bearer token is missing or unknown.", "Check the token."},
	{CodeUnknownPath, "UnknownPath", 404, RanNo, "No service is configured under the path.", "Check the service's name."},
	{CodeBadRequest, "BadRequest", 400, RanNo, "The request cannot be read.", "Correct it as the detail says."},
	{CodeTooLarge, "TooLarge", 413, RanNo, "The body is over the service's bound.", "Send a smaller one."},
	{CodeDeadlinePassed, "DeadlinePassed", 504, RanNo, "The request's deadline passed while it waited.", "Send it again with a later deadline."},
	{CodeCallerGone, "CallerGone", 499, RanUnknown, "The caller closed its connection.", "None."},
	{CodeNoUpstream, "NoUpstream", 503, RanNo, "No upstream of the service can be reached.", "Send it again after Retry-After."},
	{CodeHeaderBounds, "HeaderBounds", 431, RanNo, "The headers are over the bound.", "Send fewer or smaller headers."},
	{CodeCannotListen, "CannotListen", 500, RanNo, "An address of the settings cannot be listened on.", "Check Listen in the settings and what else runs on the host."},
	{CodeStopLate, "StopLate", 500, RanUnknown, "A planned stop reached its bound with requests in progress.", "Raise Control.StopWait."},
	{CodeForbidden, "Forbidden", 403, RanNo, "The account may not call the service.", "Ask the operators for a share of it."},
	{CodeRouterFull, "RouterFull", 503, RanNo, "The router has as many requests as its host can carry.", "Send it again; the balancer picks another router."},
	{CodeRouterOverloaded, "RouterOverloaded", 503, RanNo, "The router's processor is overloaded; the request was refused before its body was read.", "Send it again after Retry-After on a new connection; the balancer picks another router."},
}
