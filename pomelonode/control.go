package pomelonode

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloclaim"
	"github.com/pomelorelay/pomelorelay/pomeloconfig"
	"github.com/pomelorelay/pomelorelay/pomelofair"
	"github.com/pomelorelay/pomelorelay/pomeloledger"
	"github.com/pomelorelay/pomelorelay/pomelomember"
	"github.com/pomelorelay/pomelorelay/pomeloquarantine"
	"github.com/pomelorelay/pomelorelay/pomeloslot"
)

const (
	// tickEvery is the interval of the decision parts' ticks.
	tickEvery = 50 * time.Millisecond
	// statusEvery is the interval at which operators' figures are renewed.
	statusEvery = 250 * time.Millisecond
	// inboxBatch is the number of messages taken in before the parts' answers are sent.
	inboxBatch = 128
	// localRounds bounds the messages that a router sends itself in answer to its own.
	localRounds = 16
)

// control is the state of the control goroutine; nothing else touches it.
type control struct {
	n *Node

	view       *pomelomember.View
	members    *pomelomember.Snapshot
	reachable  []pomelorelay.DomainID
	reachNow   []pomelorelay.DomainID
	queues     *pomelofair.Queues
	owner      *pomeloslot.Owner
	asker      *pomeloslot.Requester
	ledger     *pomeloledger.Ledger
	reporter   *pomeloledger.Reporter
	keeper     *pomeloclaim.Keeper
	claimAsker *pomeloclaim.Requester
	table      *pomeloquarantine.Table
	arbiter    *pomeloquarantine.Arbiter
	spreader   *pomeloconfig.Syncer

	snapshot  *pomeloconfig.Snapshot
	compiling pomelorelay.Generation
	upstreams map[pomelorelay.UpstreamID]*pomeloconfig.Upstream
	pools     map[pomelorelay.PoolID]bool
	left      map[pomelorelay.UpstreamID]bool
	leftAt    map[pomelorelay.UpstreamID]time.Time
	regions   map[pomelorelay.DomainID]pomelorelay.RegionID
	// evacuated are the failure domains whose upstreams get nothing new by the configuration in force.
	evacuated []pomelorelay.DomainID
	jobs      jobs

	waiting        map[pomelorelay.RequestID]*waiter
	running        map[pomelorelay.RequestID]*ticket
	claimWaiters   map[pomelorelay.ClaimNonce]*claimWaiter
	suspectWaiters map[pomelorelay.RequestID]*suspectWaiter
	generations    map[pomelorelay.NodeID]pomelorelay.Generation
	dead           map[pomelorelay.NodeID]bool
	incarnations   map[pomelorelay.NodeID]pomelorelay.Incarnation
	loads          map[pomelorelay.UpstreamID]pomeloslot.LoadReport

	out        []pomelorelay.Outgoing
	claimOut   pomeloclaim.Output
	suspectOut pomeloquarantine.Output
	dirty      map[pomelorelay.PoolID]bool

	heads   []pomeloslot.PoolDemand
	slots   []pomelorelay.SlotDigest
	entries []pomelorelay.LedgerEntry
	keys    []pomelorelay.LedgerKey
	expired []pomelorelay.RequestID
	passed  []pomelorelay.RequestID
	changes []pomelomember.Change
	// ranAt is when the control goroutine last ended a round, unsureSince when it noticed that it had stood still.
	ranAt       time.Time
	unsureSince time.Time
	statusAt    time.Time
	ledgerAt    time.Time
}

// run takes in events, messages and ticks until the node is closed.
func (c *control) run() {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	var events []event
	for {
		select {
		case <-c.n.closing:
			return
		case <-c.n.mail.wake:
			c.noteHalt(c.now())
			events = c.n.mail.take(events)
			c.takeEvents(events)
		case e := <-c.n.mesh.Receive():
			c.noteHalt(c.now())
			c.takeMessages(e)
		case <-ticker.C:
			c.noteHalt(c.now())
			c.tick(c.now())
		}
		c.flush(c.now())
		c.ranAt = c.now()
		c.n.beat.Store(c.n.cfg.Clock.Now().UnixNano())
	}
}

func (c *control) now() time.Time { return c.n.cfg.Clock.Now() }

func (c *control) takeEvents(events []event) {
	now := c.now()
	for i, e := range events {
		e.apply(c, now)
		events[i] = nil
	}
}

func (c *control) takeMessages(first pomelorelay.Envelope) {
	now := c.now()
	c.receive(now, first)
	for range inboxBatch {
		select {
		case e := <-c.n.mesh.Receive():
			c.receive(now, e)
		default:
			return
		}
	}
}

// touch notes that what waits in a pool has changed.
func (c *control) touch(pool pomelorelay.PoolID) { c.dirty[pool] = true }

func (c *control) tick(now time.Time) {
	c.takeChanges(now)
	c.takeReach(now)
	c.progress(now)
	c.expire(now)
	c.out = c.owner.Tick(now, c.out)
	c.publishSlots(now)
	c.out = c.view.Tick(now, c.out)
	c.out = c.asker.Tick(now, c.out)
	c.tickLedger(now)
	c.keeper.Tick(now, &c.claimOut)
	c.claimAsker.Tick(now, &c.claimOut)
	c.table.Tick(now, &c.suspectOut)
	c.out = c.spreader.Tick(now, c.out)
	c.fetchConfig(now)
	for pool := range c.pools {
		c.queues.SetVirtualTime(pool, c.asker.VirtualTime(pool))
		c.queues.RaiseMaxVirtualTime(pool, c.asker.MaxVirtualTime(now, pool))
	}
	if now.Sub(c.statusAt) >= statusEvery {
		c.statusAt = now
		c.publishStatus()
	}
}

// publishSlots gives this router's own slots to its digests and to its own asker.
func (c *control) publishSlots(now time.Time) {
	c.slots = c.owner.Digests(now, c.slots[:0])
	c.view.SetSlots(c.slots)
	c.asker.UpdateDigests(now, c.slots)
}

// progress charges what running requests have accrued.
func (c *control) progress(now time.Time) {
	for id, t := range c.running {
		c.queues.Progress(now, id, t.cost(now))
	}
}

func (c *control) expire(now time.Time) {
	c.expired = c.queues.Expire(now, c.expired[:0])
	for _, id := range c.expired {
		w := c.waiting[id]
		if w == nil {
			continue
		}
		delete(c.waiting, id)
		c.touch(w.request.Pool)
		c.refuse(w, c.queues.WaitTimeoutError(w.request.Pool, w.request.Account))
	}
}

func (c *control) tickLedger(now time.Time) {
	every := pomeloconfig.PeriodicInterval(c.n.cfg.Settings.Control.LedgerInterval, len(c.members.Members(c.n.self.Domain)))
	if now.Sub(c.ledgerAt) >= every {
		c.ledgerAt = now
		c.reporter.SetInterval(every)
		c.entries = c.queues.ChangedEntries(c.entries[:0])
		c.reporter.UpdateEntries(c.entries)
		c.keys = c.queues.WaitingAccounts(c.keys[:0])
		c.reporter.SetInterest(c.keys)
	}
	c.out = c.reporter.Tick(now, c.out)
	c.out = c.ledger.Tick(now, c.out)
	c.noteRebuilt()
}

// flush sends what the parts decided, until nothing more comes of what this router sends itself.
func (c *control) flush(now time.Time) {
	for range localRounds {
		c.flushHeads(now)
		c.flushClaims()
		c.flushSuspects()
		if len(c.out) == 0 {
			return
		}
		sending := c.out
		c.out = nil
		for _, o := range sending {
			c.send(now, o)
		}
	}
}

func (c *control) flushHeads(now time.Time) {
	if len(c.dirty) == 0 {
		return
	}
	c.heads = c.heads[:0]
	for pool := range c.dirty {
		head, waiting, _ := c.queues.Head(now, pool)
		c.heads = append(c.heads, pomeloslot.PoolDemand{Pool: pool, Head: head, Waiting: waiting})
		delete(c.dirty, pool)
	}
	c.out = c.asker.UpdateDemand(now, c.heads, c.out)
}

// send hands a message to the mesh, or back to this router's own parts. A message that the mesh refuses is lost like one on a
// broken link; every part sends again what must arrive.
func (c *control) send(now time.Time, o pomelorelay.Outgoing) {
	if o.To == c.n.self.Node {
		c.receive(now, pomelorelay.Envelope{From: o.To, Incarnation: c.n.incarnation, Message: o.Message})
		return
	}
	if err := c.n.mesh.Send(o.To, o.Message); err != nil {
		c.n.counters.sendsRefused.Add(1)
	}
}
