package pomelostore

import (
	"sync"
	"time"
)

// budget is a token bucket that holds one second's worth of calls.
//
// Without it a router whose watch fails at once would spend the fleet's share of the store's rate in a loop; one would
// notice by refusals for everybody else. A call over the budget is refused here and costs the store nothing.
type budget struct {
	mu      sync.Mutex
	rate    float64
	tokens  float64
	updated time.Time
}

func newBudget(rate float64, now time.Time) *budget {
	return &budget{rate: rate, tokens: burst(rate), updated: now}
}

// burst is at least one, so that a rate under one call a second still lets calls through.
func burst(rate float64) float64 { return max(rate, 1) }

// take spends one call, or returns how long to wait until one is there.
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
