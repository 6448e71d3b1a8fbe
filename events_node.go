package pomelorelay

// Events of the router process, 100 to 199.
const (
	EventStarted          EventID = 100
	EventReady            EventID = 101
	EventStopping         EventID = 102
	EventStopped          EventID = 103
	EventJobsMoved        EventID = 105
	EventUpstreamLeaving  EventID = 106
	EventLoadLost         EventID = 107
	EventControlStalled   EventID = 108
	EventStopLate         EventID = 110
	EventUpstreamBack     EventID = 111
	EventClaimsUnsettled  EventID = 112
	EventSettingsReloaded EventID = 113
	EventSettingsRefused  EventID = 114
	EventLinesLeftOut     EventID = 115
	EventLinesLost        EventID = 116
	EventRouterFull       EventID = 117
	EventLibraryMessage   EventID = 118
	EventOverloadBegan    EventID = 119
	EventOverloadEnded    EventID = 120
	EventRequestShed      EventID = 121
	EventClientsClosed    EventID = 122
)

var nodeEvents = []EventInfo{
	{EventStarted, "Started", LevelInfo, "The router listens.", "None."},
	{EventReady, "Ready", LevelInfo, "The router has a configuration and takes work.", "None."},
	{EventStopping, "Stopping", LevelInfo, "A planned stop began; readiness is off.", "None."},
	{EventStopped, "Stopped", LevelInfo, "The router ended its last request and stops.", "None."},
	{EventJobsMoved, "JobsMoved", LevelDebug, "Shared jobs of this router changed with the members.", "None."},
	{EventUpstreamLeaving, "UpstreamLeaving", LevelInfo, "An upstream leaves and gets nothing new.", "None."},
	{EventLoadLost, "LoadLost", LevelWarn, "An upstream's load cannot be read; it gets no grants until it can.", "Look at the upstream."},
	{EventControlStalled, "ControlStalled", LevelWarn, "The control thread did not answer; idempotent requests use the spare slots.", "Look at the host's processor."},
	{EventStopLate, "StopLate", LevelWarn, "A planned stop reached its bound with requests in progress.", "Raise Control.StopWait."},
	{EventUpstreamBack, "UpstreamBack", LevelInfo, "An upstream is no longer leaving.", "None."},
	{EventClaimsUnsettled, "ClaimsUnsettled", LevelWarn, "A planned stop ended while the store did not yet hold how some claimed requests ended; their repeats hear that the outcome is unknown.", "Look at the store."},
	{EventSettingsReloaded, "SettingsReloaded", LevelInfo, "The settings file was read again and is in order; addresses hold until the next start.", "None."},
	{EventSettingsRefused, "SettingsRefused", LevelError, "The changed settings file cannot be used; the former settings hold.", "Correct the file."},
	{EventLinesLeftOut, "LinesLeftOut", LevelInfo, "Lines of the event named by Of were over the bound of the second before and left out; the metrics count what they told.", "None."},
	{EventLinesLost, "LinesLost", LevelWarn, "The reader of the output was too slow; so many lines were lost since the start.", "Look at who reads the output."},
	{EventRouterFull, "RouterFull", LevelWarn, "A request was refused since the router has as many as its host can carry.", "Look at how the balancer spreads callers."},
	{EventLibraryMessage, "LibraryMessage", LevelWarn, "A library reported an error, for example that no connection can be accepted.", "Look up the message."},
	{EventOverloadBegan, "OverloadBegan", LevelWarn, "The router's processor is overloaded: requests waited for DelayMS; it admits at most Limit requests a second.", "Look at how the balancer spreads callers."},
	{EventOverloadEnded, "OverloadEnded", LevelInfo, "The router admits all requests again; Refused were refused since the limit began.", "None."},
	{EventRequestShed, "RequestShed", LevelInfo, "An overloaded router refused a request before reading its body; at most five lines a second are written.", "Look at OverloadBegan."},
	{EventClientsClosed, "ClientsClosed", LevelInfo, "Connections of clients were refused or closed because they filled the router's memory or connections, or kept it waiting; the fields count them since the last line, of which one is written a second at most.", "Look at who sends so; see operators/clients.md."},
}
