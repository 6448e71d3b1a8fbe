package pomelorelay

// Events of claims, 600 to 699.
const (
	EventClaimShardLoaded  EventID = 600
	EventClaimShardFenced  EventID = 601
	EventClaimStoreOutage  EventID = 602
	EventClaimRecordBroken EventID = 603
	EventClaimSealed       EventID = 604
)

var claimEvents = []EventInfo{
	{EventClaimShardLoaded, "ClaimShardLoaded", LevelInfo, "This router keeps a claim shard and has read it.", "None."},
	{EventClaimShardFenced, "ClaimShardFenced", LevelInfo, "Another router wrote the claim shard's record; it is read again.", "None unless it goes on."},
	{EventClaimStoreOutage, "ClaimStoreOutage", LevelWarn, "The store does not answer; requests that need a claim are refused.", "Look at the platform's store."},
	{EventClaimRecordBroken, "ClaimRecordBroken", LevelError, "A claim record cannot be read; its shard refuses claims.", "Restore the record."},
	{EventClaimSealed, "ClaimSealed", LevelDebug, "Settled claims were moved to a segment.", "None."},
}
