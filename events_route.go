package pomelorelay

// Events of request routing and forwarding, 500 to 599.
const (
	EventAnswerCrossed    EventID = 500
	EventUpstreamCrashed  EventID = 501
	EventStreamResumed    EventID = 502
	EventHandlerPanicked  EventID = 503
	EventRequestServed    EventID = 504
	EventRequestRefused   EventID = 505
	EventRequestFailed    EventID = 506
	EventRequestCut       EventID = 507
	EventRequestGone      EventID = 508
	EventRequestRetried   EventID = 509
	EventLoadInvalid      EventID = 510
	EventUpstreamReplaced EventID = 511
)

var routeEvents = []EventInfo{
	{EventAnswerCrossed, "AnswerCrossed", LevelError, "An upstream answered with another request's id; the answer was dropped and the connection closed.", "Report it to the upstream's operators."},
	{EventUpstreamCrashed, "UpstreamCrashed", LevelWarn, "An upstream cut a running request and takes no connection.", "Look at the upstream's log."},
	{EventStreamResumed, "StreamResumed", LevelInfo, "A broken stream was taken up again.", "None."},
	{EventHandlerPanicked, "HandlerPanicked", LevelError, "The handling of one request failed by a defect.", "Report it."},
	{EventRequestServed, "RequestServed", LevelInfo, "A request's whole answer was passed on; the fields tell by what its upstream was chosen.", "None."},
	{EventRequestRefused, "RequestRefused", LevelInfo, "A request was refused before it ran; Reason and the fields after it tell what decided.", "Look up the code."},
	{EventRequestFailed, "RequestFailed", LevelWarn, "A request that may have run got no answer of its upstream.", "Look up the code and the upstream."},
	{EventRequestCut, "RequestCut", LevelWarn, "An answer broke off after it had begun; the caller's connection was closed.", "Look up the code and the upstream."},
	{EventRequestGone, "RequestGone", LevelInfo, "The caller left before its answer was whole; the upstream's work was cancelled.", "None."},
	{EventRequestRetried, "RequestRetried", LevelInfo, "A request is sent again after a failure that allows it.", "Look at the upstream when it repeats."},
	{EventLoadInvalid, "LoadInvalid", LevelWarn, "An upstream announces its load in a malformed header, which is ignored; logged once for each upstream and minute.", "Report it to the upstream's operators."},
	{EventUpstreamReplaced, "UpstreamReplaced", LevelInfo, "A stream that may be resumed was not sent to an upstream because another process answers at its address than the registered one.", "None; the new registration follows."},
}
