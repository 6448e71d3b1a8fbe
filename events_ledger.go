package pomelorelay

// Events of the service ledger, 400 to 499.
const (
	EventLedgerHosted       EventID = 400
	EventLedgerReady        EventID = 401
	EventLedgerRebuildShort EventID = 402
	EventLedgerDropped      EventID = 403
)

var ledgerEvents = []EventInfo{
	{EventLedgerHosted, "LedgerHosted", LevelInfo, "This router hosts a shard of the ledger and rebuilds it.", "None."},
	{EventLedgerReady, "LedgerReady", LevelInfo, "A shard of the ledger is rebuilt.", "None."},
	{EventLedgerRebuildShort, "LedgerRebuildShort", LevelWarn, "A shard of the ledger was opened at its time limit before every router had reported.", "Check the routers that are named alive and do not answer."},
	{EventLedgerDropped, "LedgerDropped", LevelInfo, "Another router hosts a shard that this one hosted.", "None."},
}
