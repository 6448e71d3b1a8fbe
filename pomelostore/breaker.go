package pomelostore

import (
	"sync"
	"time"
)

// breaker is a circuit breaker: while it is open, calls fail at once, and after openFor a single probe decides whether it closes.
// Without it, every call in an outage would wait for its full timeout, goroutines would accumulate, and the store would receive the
// whole fleet's backlog as soon as it recovers.
type breaker struct {
	mu               sync.Mutex
	failureThreshold int
	openFor          time.Duration
	failures         int
	open             bool
	openUntil        time.Time
	probing          bool
}

// allow reports whether a call may be sent, and otherwise how long to wait. After a call that was allowed, the caller must call done or
// abandon.
func (b *breaker) allow(now time.Time) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.open {
		return 0, true
	}
	if now.Before(b.openUntil) {
		return b.openUntil.Sub(now), false
	}
	if b.probing {
		return b.openFor, false
	}
	b.probing = true
	return 0, true
}

// done records the result of a call and reports whether it opened or closed the breaker.
func (b *breaker) done(now time.Time, ok bool) (opened, closed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
	if ok {
		closed = b.open
		b.open = false
		b.failures = 0
		return false, closed
	}
	b.failures++
	if b.open || b.failures >= b.failureThreshold {
		opened = !b.open
		b.open = true
		b.openUntil = now.Add(b.openFor)
	}
	return opened, false
}

func (b *breaker) isOpen() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.open
}

// abandon records a call that was not sent or was cancelled by its caller, which gives no information about the store.
func (b *breaker) abandon() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
}
