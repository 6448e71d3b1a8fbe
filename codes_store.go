package pomelorelay

// Result codes of the platform's key-value store and host list, 2100 to 2199.
const (
	CodeStoreUnavailable           ResultCode = 2100
	CodeStoreConflict              ResultCode = 2101
	CodeStoreUnknown               ResultCode = 2102
	CodeStoreLeaseLapsed           ResultCode = 2103
	CodeStoreValueTooLarge         ResultCode = 2104
	CodeStoreThrottled             ResultCode = 2105
	CodeStoreCompacted             ResultCode = 2106
	CodePlatformConfigUnreadable   ResultCode = 2107
	CodePlatformEntryUnreadable    ResultCode = 2108
	CodePlatformSettingsUnreadable ResultCode = 2109
)

var storeCodes = []CodeInfo{
	{CodeStoreUnavailable, "StoreUnavailable", 503, RanNo, "The platform's store did not take the call.", "Wait for the store; routers go on without it."},
	{CodeStoreConflict, "StoreConflict", 409, RanNo, "Another writer changed the record first.", "Read it and decide anew."},
	{CodeStoreUnknown, "StoreUnknown", 503, RanUnknown, "The store's answer was lost; the write may have taken effect.", "Read the record back."},
	{CodeStoreLeaseLapsed, "StoreLeaseLapsed", 409, RanNo, "The lease lapsed before it was renewed.", "Open a new lease."},
	{CodeStoreValueTooLarge, "StoreValueTooLarge", 413, RanNo, "The value is over the store's limit of one megabyte.", "Split the value."},
	{CodeStoreThrottled, "StoreThrottled", 429, RanNo, "The router's own call budget, or the store's, is spent.", "Wait a second."},
	{CodeStoreCompacted, "StoreCompacted", 410, RanNo, "The store dropped the history that a watch asked for.", "None; the router reads everything anew."},
	{CodePlatformConfigUnreadable, "PlatformConfigUnreadable", 400, RanNo, "The operators' configuration in the platform's store cannot be read; the last one stays in force.", "Publish a corrected version."},
	{CodePlatformEntryUnreadable, "PlatformEntryUnreadable", 400, RanNo, "An entry of an upstream, a router, crashes or an evacuation in the platform's store cannot be used; it is ignored.", "Look at who wrote the entry."},
	{CodePlatformSettingsUnreadable, "PlatformSettingsUnreadable", 400, RanNo, "The platform's settings file cannot be read or lacks a field.", "Correct the file."},
}
