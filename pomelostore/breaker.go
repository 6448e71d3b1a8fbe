package pomelostore

import (
	"sync"
	"time"
)

// breaker stops calls to a store that does not answer.
//
// Without it every call of an outage waits for its whole timeout, and the store meets the fleet's pent-up calls the moment
// it is back. One would notice by goroutines piling up. While it is open a call fails at once; then a single probe decides.
type breaker struct {
	mu        sync.Mutex
	threshold int
	openFor   time.Duration
	failures  int
	open      bool
	until     time.Time
	probing   bool
}

// allow returns whether a call may go out; the caller must then report its end with done or abandon.
func (b *breaker) allow(now time.Time) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.open {
		return 0, true
	}
	if now.Before(b.until) {
		return b.until.Sub(now), false
	}
	if b.probing {
		return b.openFor, false
	}
	b.probing = true
	return 0, true
}

// done reports the end of a call and returns whether the breaker opened or closed by it.
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
	if b.open || b.failures >= b.threshold {
		opened = !b.open
		b.open = true
		b.until = now.Add(b.openFor)
	}
	return opened, false
}

func (b *breaker) isOpen() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.open
}

// abandon reports a call that its own caller ended, which says nothing about the store.
func (b *breaker) abandon() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
}
