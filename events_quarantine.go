package pomelorelay

// Events of crash suspects and quarantine, 700 to 799.
const (
	EventSuspects         EventID = 700
	EventQuarantined      EventID = 701
	EventQuarantineLifted EventID = 702
)

var quarantineEvents = []EventInfo{
	{EventSuspects, "Suspects", LevelWarn, "An upstream crashed; the requests that ran there are suspects.", "Look at the upstream's log."},
	{EventQuarantined, "Quarantined", LevelError, "A request, or requests with a prompt part, crashed upstreams repeatedly and are refused everywhere for a while.", "Tell its client account; lift the quarantine if it is wrong."},
	{EventQuarantineLifted, "QuarantineLifted", LevelInfo, "A quarantine ended early: an operator lifted it, a request with the fingerprint was served, or another fingerprint explains the crashes.", "None."},
}
