package pomelorelay

// Result codes of fair queueing and slots, 1100 to 1199.
const (
	CodeQueueCount      ResultCode = 1100
	CodeQueueBytes      ResultCode = 1101
	CodeQueueWait       ResultCode = 1102
	CodeRequestRepeated ResultCode = 1103
)

var fairCodes = []CodeInfo{
	{CodeQueueCount, "QueueCountFull", 429, RanNo, "The account has as many requests waiting at this router as it may.", "Send it again after Retry-After."},
	{CodeQueueBytes, "QueueBytesFull", 429, RanNo, "The account's waiting requests hold as many bytes at this router as they may.", "Send it again after Retry-After."},
	{CodeQueueWait, "QueueWaitOver", 503, RanNo, "The request waited for as long as a request may.", "Send it again after Retry-After."},
	{CodeRequestRepeated, "RequestRepeated", 500, RanNo, "The router queued the same request id twice.", "Report it with the log's event."},
}
