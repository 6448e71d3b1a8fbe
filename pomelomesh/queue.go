package pomelomesh

import "github.com/pomelorelay/pomelorelay"

const numUrgencies = int(pomelorelay.UrgencyLow) + 1

// maxBatchBytes bounds the total size of the messages batched into one frame; a larger message gets a frame of its own.
const maxBatchBytes = 32 << 10

// queuedMessage is an encoded message waiting to be sent to a peer.
type queuedMessage struct {
	data    []byte
	key     string
	urgency pomelorelay.Urgency
}

// queue holds the messages waiting for one peer, in order within each urgency.
type queue struct {
	limits QueueLimits
	lanes  [numUrgencies][]*queuedMessage
	byKey  map[string]*queuedMessage
	count  int
	bytes  pomelorelay.Bytes
}

// add queues a message, or replaces a waiting one of the same key and urgency; ok is false when the queue is full.
func (q *queue) add(item *queuedMessage) (coalesced, ok bool) {
	if waiting, found := q.byKey[item.key]; found && item.key != "" && waiting.urgency == item.urgency {
		q.bytes += pomelorelay.Bytes(len(item.data) - len(waiting.data))
		waiting.data = item.data
		return true, true
	}
	if q.count >= q.limits.MaxMessages || q.bytes+pomelorelay.Bytes(len(item.data)) > q.limits.MaxBytes {
		return false, false
	}
	q.lanes[item.urgency] = append(q.lanes[item.urgency], item)
	q.count++
	q.bytes += pomelorelay.Bytes(len(item.data))
	if item.key != "" {
		if q.byKey == nil {
			q.byKey = make(map[string]*queuedMessage)
		}
		q.byKey[item.key] = item
	}
	return false, true
}

// appendBatch moves the most urgent messages from the queue to the frame, until the next message would exceed
// maxBatchBytes or the bytes that room allows for its urgency are used up.
func (q *queue) appendBatch(frame []byte, room func(pomelorelay.Urgency) float64) []byte {
	start := len(frame)
	for urgency, lane := range q.lanes {
		if len(lane) == 0 {
			continue
		}
		limit := min(maxBatchBytes, int(room(pomelorelay.Urgency(urgency))))
		taken := 0
		for _, item := range lane {
			size := len(frame) - start
			if size >= limit || size > 0 && size+len(item.data) > maxBatchBytes {
				break
			}
			frame = appendItem(frame, item.data)
			q.remove(item)
			taken++
		}
		q.lanes[urgency] = dropFirst(lane, taken)
		if taken < len(lane) {
			return frame
		}
	}
	return frame
}

func dropFirst(lane []*queuedMessage, taken int) []*queuedMessage {
	if taken == len(lane) {
		return lane[:0]
	}
	return lane[taken:]
}

func (q *queue) remove(item *queuedMessage) {
	q.count--
	q.bytes -= pomelorelay.Bytes(len(item.data))
	if q.byKey[item.key] == item {
		delete(q.byKey, item.key)
	}
}

// clear empties the queue and returns the number of dropped messages.
func (q *queue) clear() int {
	lost := q.count
	q.lanes = [numUrgencies][]*queuedMessage{}
	q.byKey = nil
	q.count = 0
	q.bytes = 0
	return lost
}
