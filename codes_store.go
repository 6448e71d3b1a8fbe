package pomelorelay

// Result codes of the platform's store and host list, 2100 to 2199.
const (
	CodeStoreUnavailable ResultCode = 2100
	CodeStoreConflict    ResultCode = 2101
	CodeStoreUnknown     ResultCode = 2102
	CodeStoreLeaseLapsed ResultCode = 2103
	CodeStoreTooLarge    ResultCode = 2104
	CodeStoreThrottled   ResultCode = 2105
)

var storeCodes = []CodeInfo{
	{CodeStoreUnavailable, "StoreUnavailable", 503, RanNo, "The platform's store did not take the call.", "Wait for the store; routers go on without it."},
	{CodeStoreConflict, "StoreConflict", 409, RanNo, "Another writer changed the record first.", "Read it and decide anew."},
	{CodeStoreUnknown, "StoreUnknown", 503, RanUnknown, "The store's answer was lost; the write may have taken effect.", "Read the record back."},
	{CodeStoreLeaseLapsed, "StoreLeaseLapsed", 409, RanNo, "The lease lapsed before it was renewed.", "Open a new lease."},
	{CodeStoreTooLarge, "StoreValueTooLarge", 413, RanNo, "The value is over the store's limit of one megabyte.", "Split the value."},
	{CodeStoreThrottled, "StoreThrottled", 429, RanNo, "The router's own call budget, or the store's, is spent.", "Wait a second."},
}
