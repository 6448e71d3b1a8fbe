package pomelorelay

// Result codes of fair queueing and slots, 1100 to 1199.
const (
	CodeQueueCountFull  ResultCode = 1100
	CodeQueueBytesFull  ResultCode = 1101
	CodeQueueWaitOver   ResultCode = 1102
	CodeRequestRepeated ResultCode = 1103
)

var fairCodes = []CodeInfo{
	{CodeQueueCountFull, "QueueCountFull", 429, RanNo, "The account has as many requests waiting at this router as it may.", "Send it again after Retry-After."},
	{CodeQueueBytesFull, "QueueBytesFull", 429, RanNo, "The account's waiting requests hold as many bytes at this router as they may.", "Send it again after Retry-After."},
	{CodeQueueWaitOver, "QueueWaitOver", 503, RanNo, "The request waited for as long as a request may.", "Send it again after Retry-After."},
	{CodeRequestRepeated, "RequestRepeated", 500, RanNo, "The router queued the same request id twice.", "Report it with the log's event."},
}
