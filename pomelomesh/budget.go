package pomelomesh

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// burst is the time whose bytes a link class may save up.
const burst = time.Second

// laterShare is the part of the saved up bytes that only messages of UrgencySoon and above may use.
const laterShare = 0.25

// leanShare is the part of the rate that less urgent messages may use when the urgent ones have spent it all, leanBatch what one
// peer gets of it at once.
const (
	leanShare = 0.25
	leanBatch = 512
)

// budget is the token bucket of one link class. It counts what was queued to the transport and what the
// connections wrote, whichever is more, because the transport writes later and adds framing, handshakes and TLS.
type budget struct {
	rate    float64
	written atomic.Int64
	read    atomic.Int64

	mu      sync.Mutex
	queued  int64
	spent   int64
	level   float64
	lean    float64
	updated time.Time
}

func newBudget(rate pomelorelay.Bytes, now time.Time) *budget {
	return &budget{rate: float64(rate), level: float64(rate) * burst.Seconds(), updated: now}
}

// charge notes bytes handed to the transport.
func (b *budget) charge(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queued += int64(n)
}

// room returns how many bytes of messages of the urgency may leave now; not above zero means none.
func (b *budget) room(now time.Time, urgency pomelorelay.Urgency) float64 {
	if urgency == pomelorelay.UrgencyHigh || b.rate == 0 {
		return maxBatchBytes
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update(now)
	room := b.level
	if urgency == pomelorelay.UrgencyLow {
		room -= laterShare * b.rate * burst.Seconds()
	}
	if room > 0 {
		return room
	}
	return b.takeLean()
}

// takeLean gives a little room although the budget is spent. Messages of UrgencyNow always leave and may alone use more than the
// budget; without this share no digest would leave then, routers would take each other for dead and totals would grow stale, seen as
// a fleet that falls apart under load.
func (b *budget) takeLean() float64 {
	room := min(b.lean, leanBatch)
	if room < leanBatch {
		return 0
	}
	b.lean -= room
	return room
}

func (b *budget) update(now time.Time) {
	full := b.rate * burst.Seconds()
	passed := now.Sub(b.updated).Seconds()
	b.level += b.rate * passed
	b.updated = now
	spent := max(b.queued, b.written.Load())
	b.level -= float64(spent - b.spent)
	b.spent = spent
	b.level = min(b.level, full)
	b.lean = min(b.lean+leanShare*b.rate*passed, max(full, leanBatch))
}
