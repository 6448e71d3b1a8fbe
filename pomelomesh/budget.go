package pomelomesh

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// burstDuration is the time over which a link class may accumulate unused budget.
const burstDuration = time.Second

// normalReservedFraction is the fraction of a full token bucket that messages of UrgencyLow must leave to more urgent
// ones.
const normalReservedFraction = 0.25

// guaranteedFraction is the fraction of the send rate that messages below UrgencyHigh get when the budget is exhausted;
// guaranteedBatch is the number of these guaranteed bytes that one peer gets at once.
const (
	guaranteedFraction = 0.25
	guaranteedBatch    = 512
)

// budget is the token bucket of one link class. It charges the larger of the bytes queued to the transport and the bytes
// written by the connections, because the transport writes later and adds framing, handshakes and TLS.
type budget struct {
	rate    float64
	written atomic.Int64
	read    atomic.Int64

	mu         sync.Mutex
	queued     int64
	charged    int64
	level      float64
	guaranteed float64
	updated    time.Time
}

func newBudget(rate pomelorelay.Bytes, now time.Time) *budget {
	return &budget{rate: float64(rate), level: float64(rate) * burstDuration.Seconds(), updated: now}
}

// charge adds bytes queued to the transport.
func (b *budget) charge(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queued += int64(n)
}

// room returns how many bytes of messages of the urgency may be sent now; zero or less means none.
func (b *budget) room(now time.Time, urgency pomelorelay.Urgency) float64 {
	if urgency == pomelorelay.UrgencyHigh || b.rate == 0 {
		return maxBatchBytes
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	room := b.level
	if urgency == pomelorelay.UrgencyLow {
		room -= normalReservedFraction * b.rate * burstDuration.Seconds()
	}
	if room > 0 {
		return room
	}
	return b.takeGuaranteed()
}

// takeGuaranteed returns a batch of the guaranteed bytes, or zero. Messages of UrgencyHigh are always sent and can
// exceed the budget by themselves. Without the guarantee no digest (membership heartbeat) or ledger report would then
// be sent: under load, routers would declare each other dead and ledger totals would go stale.
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
