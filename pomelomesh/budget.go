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
	if urgency == pomelorelay.UrgencyNow || b.rate == 0 {
		return maxBatchBytes
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update(now)
	if urgency == pomelorelay.UrgencySoon {
		return b.level
	}
	return b.level - laterShare*b.rate*burst.Seconds()
}

func (b *budget) update(now time.Time) {
	full := b.rate * burst.Seconds()
	b.level += b.rate * now.Sub(b.updated).Seconds()
	b.updated = now
	spent := max(b.queued, b.written.Load())
	b.level -= float64(spent - b.spent)
	b.spent = spent
	b.level = min(b.level, full)
}
