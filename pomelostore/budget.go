package pomelostore

import (
	"sync"
	"time"
)

// budget is a token bucket that holds one second's worth of calls; calls over the budget are refused locally, without load on the store.
// Without it, a router whose watch fails immediately would use up the store's rate limit in a loop, and the store would refuse calls of
// all other routers.
type budget struct {
	mu      sync.Mutex
	rate    float64
	tokens  float64
	updated time.Time
}

func newBudget(rate float64, now time.Time) *budget {
	return &budget{rate: rate, tokens: burst(rate), updated: now}
}

// burst returns the bucket's size, at least one so that rates below one call per second still allow calls.
func burst(rate float64) float64 { return max(rate, 1) }

// take spends one call and reports whether one was available; otherwise it returns the time until the next one.
func (b *budget) take(now time.Time) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.tokens = min(b.tokens+elapsed.Seconds()*b.rate, burst(b.rate))
		b.updated = now
	}
	if b.tokens < 1 {
		return time.Duration((1 - b.tokens) / b.rate * float64(time.Second)), false
	}
	b.tokens--
	return 0, true
}
