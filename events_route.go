package pomelorelay

// Events of the traffic path, 500 to 599.
const (
	EventAnswerCrossed   EventID = 500
	EventUpstreamCrashed EventID = 501
	EventStreamResumed   EventID = 502
	EventHandlerPanicked EventID = 503
)

var routeEvents = []EventInfo{
	{EventAnswerCrossed, "AnswerCrossed", LevelError, "An upstream answered with another request's id; the answer was dropped and the connection closed.", "Report it to the upstream's operators."},
	{EventUpstreamCrashed, "UpstreamCrashed", LevelWarn, "An upstream cut a running request and takes no connection.", "Look at the upstream's log."},
	{EventStreamResumed, "StreamResumed", LevelInfo, "A broken stream was taken up again.", "None."},
	{EventHandlerPanicked, "HandlerPanicked", LevelError, "The handling of one request failed by a defect.", "Report it."},
}
