package pomelonode

import (
	"sync"
	"time"
)

// event is something that the control goroutine takes in.
type event interface {
	apply(c *control, now time.Time)
}

// mailbox hands events to the control goroutine. Posting never blocks: a request posts a bounded number of events, so the
// queue is bounded by the requests and store calls in progress, and a stalled control goroutine holds nobody else.
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

// take returns what was posted and leaves the emptied buffer for the next events.
func (m *mailbox) take(empty []event) []event {
	m.mu.Lock()
	defer m.mu.Unlock()
	taken := m.events
	m.events = empty[:0]
	return taken
}
