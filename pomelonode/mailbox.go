package pomelonode

import (
	"sync"
	"time"
)

// event is a change that the control goroutine applies to its state.
type event interface {
	apply(c *control, now time.Time)
}

// mailbox is the queue of events for the control goroutine. Posting never blocks, so a stalled control goroutine does not block other
// goroutines. The queue's length is bounded by the requests and store calls in progress, since each posts a bounded number of events.
type mailbox struct {
	mu     sync.Mutex
	events []event
	wake   chan struct{}
}

func newMailbox() *mailbox {
	return &mailbox{wake: make(chan struct{}, 1)}
}

func (m *mailbox) post(e event) {
	m.mu.Lock()
	m.events = append(m.events, e)
	m.mu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// take returns the posted events and uses the given slice as the buffer for the next ones.
func (m *mailbox) take(empty []event) []event {
	m.mu.Lock()
	defer m.mu.Unlock()
	taken := m.events
	m.events = empty[:0]
	return taken
}
