package pomelomesh

import "github.com/pomelorelay/pomelorelay"

const urgencies = int(pomelorelay.UrgencyLow) + 1

// maxBatchBytes is the size at which a frame is closed; one larger message has a frame of its own.
const maxBatchBytes = 32 << 10

// queued is an encoded message that waits for one peer.
type queued struct {
	data    []byte
	key     string
	urgency pomelorelay.Urgency
}

// queue holds what waits for one peer, in order within each urgency.
type queue struct {
	bounds QueueBounds
	lanes  [urgencies][]*queued
	keyed  map[string]*queued
	count  int
	bytes  pomelorelay.Bytes
}

// add queues a message, or puts it in the place of a waiting one of the same key; it reports whether there was room.
func (q *queue) add(item *queued) (coalesced, ok bool) {
	if waiting, found := q.keyed[item.key]; found && item.key != "" && waiting.urgency == item.urgency {
		q.bytes += pomelorelay.Bytes(len(item.data) - len(waiting.data))
		waiting.data = item.data
		return true, true
	}
	if q.count >= q.bounds.Messages || q.bytes+pomelorelay.Bytes(len(item.data)) > q.bounds.Bytes {
		return false, false
	}
	q.lanes[item.urgency] = append(q.lanes[item.urgency], item)
	q.count++
	q.bytes += pomelorelay.Bytes(len(item.data))
	if item.key != "" {
		if q.keyed == nil {
			q.keyed = make(map[string]*queued)
		}
		q.keyed[item.key] = item
	}
	return false, true
}

// batch appends the most urgent messages that may leave to a frame; it stops at the batch's size, or with the message
// that uses up the room of its urgency.
func (q *queue) batch(frame []byte, room func(pomelorelay.Urgency) float64) []byte {
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
			q.forget(item)
			taken++
		}
		q.lanes[urgency] = rest(lane, taken)
		if taken < len(lane) {
			return frame
		}
	}
	return frame
}

func rest(lane []*queued, taken int) []*queued {
	if taken == len(lane) {
		return lane[:0]
	}
	return lane[taken:]
}

func (q *queue) forget(item *queued) {
	q.count--
	q.bytes -= pomelorelay.Bytes(len(item.data))
	if q.keyed[item.key] == item {
		delete(q.keyed, item.key)
	}
}

// clear empties the queue and returns how many messages were in it.
func (q *queue) clear() int {
	lost := q.count
	q.lanes = [urgencies][]*queued{}
	q.keyed = nil
	q.count = 0
	q.bytes = 0
	return lost
}
