package pomelomesh

import (
	"sync/atomic"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// overBudgetLogInterval is the minimum time between log entries about an exhausted byte budget.
const overBudgetLogInterval = 10 * time.Second

// Counters holds the mesh's event counts since its start and its number of open links.
type Counters struct {
	// Coalesced counts queued messages replaced by a later one.
	Coalesced uint64
	// Delayed counts the flushes after which messages remained queued because the byte budget was exhausted.
	Delayed uint64
	// QueueFull counts messages rejected because the peer's queue was full.
	QueueFull uint64
	// UnknownKinds counts received messages of kinds that this version does not support.
	UnknownKinds uint64
	// Malformed counts received messages that could not be decoded.
	Malformed uint64
	// Stale counts links and messages rejected because a later incarnation of the router, or a later link to it, is in use.
	Stale uint64
	// Lost counts messages dropped because their link broke or could not be opened.
	Lost uint64
	// Broken counts links that ended for any reason.
	Broken uint64
	// Dialled counts attempts to connect to listed peers.
	Dialled uint64
	// Strangers counts accepted connections that closed before a hello, the message that identifies the router, arrived.
	Strangers uint64
	// Links is the number of open links.
	Links int
}

type counters struct {
	coalesced, delayed, queueFull, unknownKinds, malformed, stale, lost, broken, dialled, unidentified atomic.Uint64
	links                                                                                              atomic.Int64
}

// Counters returns the current counts.
func (m *Mesh) Counters() Counters {
	c := &m.counters
	return Counters{
		Coalesced: c.coalesced.Load(), Delayed: c.delayed.Load(), QueueFull: c.queueFull.Load(), UnknownKinds: c.unknownKinds.Load(),
		Malformed: c.malformed.Load(), Stale: c.stale.Load(), Lost: c.lost.Load(), Broken: c.broken.Load(), Dialled: c.dialled.Load(), Strangers: c.unidentified.Load(),
		Links: int(c.links.Load()),
	}
}

func (m *Mesh) logOverBudget(now time.Time) {
	last := m.lastOverBudgetLog.Load()
	if now.UnixNano()-last < int64(overBudgetLogInterval) || !m.lastOverBudgetLog.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	m.cfg.Logger.Log(pomelorelay.EventMeshOverBudget, pomelorelay.Field{Key: "Delayed", Value: m.counters.delayed.Load()})
}
