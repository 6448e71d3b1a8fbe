package pomelorelay

// Result codes of request routing and forwarding, 1200 to 1299.
const (
	CodeUpstreamUnreached ResultCode = 1200
	CodeUpstreamRefused   ResultCode = 1201
	CodeAnswerCutShort    ResultCode = 1202
	CodeAnswerUnknown     ResultCode = 1203
	CodeAnswerCrossed     ResultCode = 1204
	CodeAnswerMalformed   ResultCode = 1205
	CodeUpstreamTimeout   ResultCode = 1206
	CodeUpstreamCrashed   ResultCode = 1207
	CodeStreamBroken      ResultCode = 1208
	CodeCancelled         ResultCode = 1209
	CodeBodiesFull        ResultCode = 1210
	CodeUpstreamFailed    ResultCode = 1211
	CodeUpstreamsBusy     ResultCode = 1212
	CodeShareSpent        ResultCode = 1213
	CodeNoCommonRegion    ResultCode = 1214
	CodeRegionUnavailable ResultCode = 1215
	CodeEvacuated         ResultCode = 1216
	CodeUpstreamsCold     ResultCode = 1217
	CodeVersionUnknown    ResultCode = 1218
	CodeVersionGone       ResultCode = 1219
	CodeTimeTooShort      ResultCode = 1220
	CodeUpstreamReplaced  ResultCode = 1221
)

var routeCodes = []CodeInfo{
	{CodeUpstreamUnreached, "UpstreamUnreached", 502, RanNo, "No byte of the request reached an upstream.", "Send it again after Retry-After."},
	{CodeUpstreamRefused, "UpstreamRefused", 503, RanNo, "The upstream refused the request without running it.", "Send it again after Retry-After."},
	{CodeAnswerCutShort, "AnswerCutShort", 502, RanUnknown, "The upstream's answer ended early.", "Send it again only if it may run twice."},
	{CodeAnswerUnknown, "AnswerUnknown", 502, RanUnknown, "The request reached an upstream and no answer came back.", "Send it again only if it may run twice."},
	{CodeAnswerCrossed, "AnswerCrossed", 502, RanUnknown, "The upstream answered another request on this connection; the answer was dropped.", "Send it again only if it may run twice."},
	{CodeAnswerMalformed, "AnswerMalformed", 502, RanUnknown, "The upstream's answer cannot be read.", "Send it again only if it may run twice."},
	{CodeUpstreamTimeout, "UpstreamTimeout", 504, RanUnknown, "The deadline passed while the request ran.", "Send it again only if it may run twice, with a later deadline."},
	{CodeUpstreamCrashed, "UpstreamCrashed", 502, RanUnknown, "The upstream crashed while the request ran.", "Send it again only if it may run twice."},
	{CodeStreamBroken, "StreamBroken", 502, RanYes, "The stream broke off and could not be resumed.", "Send it again only if it may run twice."},
	{CodeCancelled, "Cancelled", 499, RanNo, "The caller closed its connection before the request was sent.", "None."},
	{CodeBodiesFull, "BodiesFull", 503, RanNo, "The bodies in progress fill the router's bound.", "Send it again after Retry-After; operators may raise Limits.BufferedBytes."},
	{CodeUpstreamFailed, "UpstreamFailed", 502, RanUnknown, "The upstream answered with a failure of its own.", "Send it again only if it may run twice."},
	{CodeUpstreamsBusy, "UpstreamsBusy", 503, RanNo, "No upstream could begin the answer in time.", "Send it again after Retry-After."},
	{CodeShareSpent, "ShareSpent", 503, RanNo, "The account has had its share of busy upstreams.", "Send it again after Retry-After, or ask the operators for a larger share."},
	{CodeNoCommonRegion, "NoCommonRegion", 503, RanNo, "The regions allowed to the route and those allowed to the account have none in common.", "Ask the operators to change one of the two lists; until then no request is served."},
	{CodeRegionUnavailable, "RegionUnavailable", 503, RanNo, "No upstream in the regions allowed to the request takes requests; the detail says why.", "Send it again after Retry-After."},
	{CodeEvacuated, "Evacuated", 503, RanNo, "All failure domains with upstreams of the service are being evacuated.", "Send it again after Retry-After; operators may take an evacuation back."},
	{CodeUpstreamsCold, "UpstreamsCold", 503, RanNo, "All upstreams of the service have just started and get as many requests as they accept.", "Send it again after Retry-After."},
	{CodeVersionUnknown, "VersionUnknown", 503, RanNo, "The request resumes a stream, and the router does not know at which software version of the upstreams it began: the service has several, or the router cannot tell at present whether it does.", "Send it again after Retry-After, or begin the stream anew without Last-Event-Id."},
	{CodeVersionGone, "VersionGone", 503, RanNo, "The request resumes a stream, and no upstream of the software version at which it began takes requests.", "Send it again after Retry-After, or begin the stream anew without Last-Event-Id."},
	{CodeTimeTooShort, "TimeTooShort", 503, RanNo, "The time that the caller has left does not suffice for an answer, even without a queue.", "Send it again with a later deadline."},
	{CodeUpstreamReplaced, "UpstreamReplaced", 503, RanNo, "The request is for a stream that may be resumed, and the process that answers at the upstream's address is not the registered one, so that its software version is unknown.", "Send it again after Retry-After."},
}
