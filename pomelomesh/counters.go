package pomelomesh

import (
	"sync/atomic"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// overBudgetLogInterval bounds how often the log says that the byte budget is spent.
const overBudgetLogInterval = 10 * time.Second

// Counters counts what the mesh did since its start.
type Counters struct {
	// Coalesced counts messages replaced by a later one while they waited.
	Coalesced uint64
	// Delayed counts the times that the byte budget left less urgent messages waiting.
	Delayed uint64
	// QueueFull counts messages refused because the peer's queue was full.
	QueueFull uint64
	// UnknownKinds counts messages of kinds that this version does not know.
	UnknownKinds uint64
	// Malformed counts messages that could not be decoded.
	Malformed uint64
	// Stale counts links and messages refused for a lower incarnation or a superseded link.
	Stale uint64
	// Lost counts messages dropped because their link broke or could not be opened.
	Lost uint64
	// Broken counts links that broke.
	Broken uint64
	// Dialled counts attempts to connect.
	Dialled uint64
	// Strangers counts connections that ended without a hello.
	Strangers uint64
	// Links is the number of links now open.
	Links int
}

type counters struct {
	coalesced, delayed, queueFull, unknownKinds, malformed, stale, lost, broken, dialled, unidentified atomic.Uint64
	links                                                                                              atomic.Int64
}

// Counters returns what the mesh did since its start.
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
