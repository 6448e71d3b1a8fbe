package pomelomesh

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// burstDuration is the time whose bytes a link class may save up.
const burstDuration = time.Second

// soonReservedFraction is the part of the saved up bytes that only messages of UrgencySoon and above may use.
const soonReservedFraction = 0.25

// leanShare is the part of the rate that less urgent messages may use when the urgent ones have spent it all, leanBatch what one
// peer gets of it at once.
const (
	guaranteedFraction = 0.25
	guaranteedBatch    = 512
)

// budget is the token bucket of one link class. It counts what was queued to the transport and what the
// connections wrote, whichever is more, because the transport writes later and adds framing, handshakes and TLS.
type budget struct {
	rate    float64
	written atomic.Int64
	read    atomic.Int64

	mu         sync.Mutex
	queued     int64
	charged      int64
	level      float64
	guaranteed float64
	updated    time.Time
}

func newBudget(rate pomelorelay.Bytes, now time.Time) *budget {
	return &budget{rate: float64(rate), level: float64(rate) * burstDuration.Seconds(), updated: now}
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
	b.refill(now)
	room := b.level
	if urgency == pomelorelay.UrgencyLater {
		room -= soonReservedFraction * b.rate * burstDuration.Seconds()
	}
	if room > 0 {
		return room
	}
	return b.takeGuaranteed()
}

// takeGuaranteed gives a little room although the budget is spent. Messages of UrgencyNow always leave and may alone use more than the
// budget; without this share no digest would leave then, routers would take each other for dead and totals would grow stale, seen as
// a fleet that falls apart under load.
func (b *budget) takeGuaranteed() float64 {
	room := min(b.guaranteed, guaranteedBatch)
	if room < guaranteedBatch {
		return 0
	}
	b.guaranteed -= room
	return room
}

func (b *budget) refill(now time.Time) {
	capacity := b.rate * burstDuration.Seconds()
	elapsed := now.Sub(b.updated).Seconds()
	b.level += b.rate * elapsed
	b.updated = now
	spent := max(b.queued, b.written.Load())
	b.level -= float64(spent - b.charged)
	b.charged = spent
	b.level = min(b.level, capacity)
	b.guaranteed = min(b.guaranteed+guaranteedFraction*b.rate*elapsed, max(capacity, guaranteedBatch))
}
