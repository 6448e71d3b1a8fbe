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
	// tickInterval is the interval at which the components' Tick methods run.
	tickInterval = 50 * time.Millisecond
	// statusInterval is the interval at which the status for operators is published.
	statusInterval = 250 * time.Millisecond
	// maxMessageBatch limits how many messages, after the first, are processed before the components' output is sent.
	maxMessageBatch = 128
	// maxLocalRounds limits how often one flush delivers messages that the router sends to itself, since handling one can produce another.
	maxLocalRounds = 16
)

// control is the state of the control goroutine; no other goroutine accesses it.
type control struct {
	n *Node

	memberView     *pomelomember.View
	members        *pomelomember.Snapshot
	reachable      []pomelorelay.DomainID
	reachableNow   []pomelorelay.DomainID
	queues         *pomelofair.Queues
	owner          *pomeloslot.Owner
	slotRequester  *pomeloslot.Requester
	ledger         *pomeloledger.Ledger
	reporter       *pomeloledger.Reporter
	keeper         *pomeloclaim.Keeper
	claimRequester *pomeloclaim.Requester
	quarantine     *pomeloquarantine.Table
	arbiter        *pomeloquarantine.Arbiter
	crashedParts   *crashedParts
	configSyncer   *pomeloconfig.Syncer

	snapshot      *pomeloconfig.Snapshot
	compiling     pomelorelay.Generation
	upstreams     map[pomelorelay.UpstreamID]*pomeloconfig.Upstream
	pools         map[pomelorelay.PoolID]bool
	leaving       map[pomelorelay.UpstreamID]bool
	leavingSeenAt map[pomelorelay.UpstreamID]time.Time
	regions       map[pomelorelay.DomainID]pomelorelay.RegionID
	// evacuated lists the failure domains whose upstreams get no new work under the active configuration.
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

	outgoing     []pomelorelay.Outgoing
	claimOut     pomeloclaim.Output
	suspectOut   pomeloquarantine.Output
	changedPools map[pomelorelay.PoolID]bool

	demands []pomeloslot.PoolDemand
	slots   []pomelorelay.SlotDigest
	entries []pomelorelay.LedgerEntry
	keys    []pomelorelay.LedgerKey
	expired []pomelorelay.RequestID
	skipped []pomelorelay.RequestID
	changes []pomelomember.Change
	// lastRoundAt is when the control loop last ended a round. staleSince is when the last pause of the loop was detected; it is reset to
	// zero by a host list whose read started after the pause.
	lastRoundAt        time.Time
	staleSince         time.Time
	lastStatusAt       time.Time
	lastLedgerReportAt time.Time
}

// run processes events, messages and ticks until the node is closed.
func (c *control) run() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var events []event
	for {
		select {
		case <-c.n.closing:
			return
		case <-c.n.mail.wake:
			c.detectPause(c.now())
			events = c.n.mail.take(events)
			c.applyEvents(events)
		case e := <-c.n.mesh.Receive():
			c.detectPause(c.now())
			c.receiveMessages(e)
		case <-ticker.C:
			c.detectPause(c.now())
			c.tick(c.now())
		}
		c.flush(c.now())
		c.lastRoundAt = c.now()
		c.n.heartbeat.Store(c.n.cfg.Clock.Now().UnixNano())
	}
}

func (c *control) now() time.Time { return c.n.cfg.Clock.Now() }

func (c *control) applyEvents(events []event) {
	now := c.now()
	for i, e := range events {
		e.apply(c, now)
		events[i] = nil
	}
}

func (c *control) receiveMessages(first pomelorelay.Envelope) {
	now := c.now()
	c.receive(now, first)
	for range maxMessageBatch {
		select {
		case e := <-c.n.mesh.Receive():
			c.receive(now, e)
		default:
			return
		}
	}
}

// markChanged records that the waiting requests of a pool have changed.
func (c *control) markChanged(pool pomelorelay.PoolID) { c.changedPools[pool] = true }

func (c *control) tick(now time.Time) {
	c.applyMemberChanges(now)
	c.updateReachable(now)
	c.chargeProgress(now)
	c.expireWaiters(now)
	c.outgoing = c.owner.Tick(now, c.outgoing)
	c.publishSlots(now)
	c.outgoing = c.memberView.Tick(now, c.outgoing)
	c.outgoing = c.slotRequester.Tick(now, c.outgoing)
	c.tickLedger(now)
	c.keeper.Tick(now, &c.claimOut)
	c.claimRequester.Tick(now, &c.claimOut)
	c.quarantine.Tick(now, &c.suspectOut)
	c.crashedParts.tick(now)
	c.outgoing = c.configSyncer.Tick(now, c.outgoing)
	c.fetchConfig(now)
	for pool := range c.pools {
		c.queues.SetVirtualTime(pool, c.slotRequester.VirtualTime(pool))
		c.queues.RaiseMaxVirtualTime(pool, c.slotRequester.MaxVirtualTime(now, pool))
	}
	if now.Sub(c.lastStatusAt) >= statusInterval {
		c.lastStatusAt = now
		c.publishStatus()
	}
}

// publishSlots publishes the slot states of the upstreams whose slots this router owns: to other routers in its membership heartbeats, and
// directly to its own slot requester.
func (c *control) publishSlots(now time.Time) {
	c.slots = c.owner.Digests(now, c.slots[:0])
	c.memberView.SetSlots(c.slots)
	c.slotRequester.UpdateDigests(now, c.slots)
}

// chargeProgress charges accounts for the cost that their running requests have accrued so far.
func (c *control) chargeProgress(now time.Time) {
	for id, t := range c.running {
		c.queues.Progress(now, id, t.cost(now))
	}
}

func (c *control) expireWaiters(now time.Time) {
	c.expired = c.queues.Expire(now, c.expired[:0])
	for _, id := range c.expired {
		w := c.waiting[id]
		if w == nil {
			continue
		}
		delete(c.waiting, id)
		c.markChanged(w.request.Pool)
		c.refuse(w, c.queues.WaitTimeoutError(w.request.Pool, w.request.Account))
	}
}

func (c *control) tickLedger(now time.Time) {
	every := pomeloconfig.RateLimitedInterval(c.n.cfg.Settings.Control.LedgerInterval, len(c.members.Members(c.n.self.Domain)))
	if now.Sub(c.lastLedgerReportAt) >= every {
		c.lastLedgerReportAt = now
		c.reporter.SetInterval(every)
		c.entries = c.queues.ChangedLedgerEntries(c.entries[:0])
		c.reporter.UpdateEntries(c.entries)
		c.keys = c.queues.WaitingAccounts(c.keys[:0])
		c.reporter.SetInterest(c.keys)
	}
	c.outgoing = c.reporter.Tick(now, c.outgoing)
	c.outgoing = c.ledger.Tick(now, c.outgoing)
	c.logRebuiltShards()
}

// flush sends the components' output. Handling a message that the router sends to itself can produce more output, so flush sends output up
// to maxLocalRounds times.
func (c *control) flush(now time.Time) {
	for range maxLocalRounds {
		c.flushDemand(now)
		c.flushClaims()
		c.flushSuspects()
		if len(c.outgoing) == 0 {
			return
		}
		sending := c.outgoing
		c.outgoing = nil
		for _, o := range sending {
			c.send(now, o)
		}
	}
}

func (c *control) flushDemand(now time.Time) {
	if len(c.changedPools) == 0 {
		return
	}
	c.demands = c.demands[:0]
	for pool := range c.changedPools {
		head, waiting, _ := c.queues.Head(now, pool)
		c.demands = append(c.demands, pomeloslot.PoolDemand{Pool: pool, Head: head, Waiting: waiting})
		delete(c.changedPools, pool)
	}
	c.outgoing = c.slotRequester.UpdateDemand(now, c.demands, c.outgoing)
}

// send passes a message to the mesh, or directly to receive if it is for this router. A message that the mesh refuses is lost, as on a
// broken link; components resend messages that must arrive.
func (c *control) send(now time.Time, o pomelorelay.Outgoing) {
	if o.To == c.n.self.Node {
		c.receive(now, pomelorelay.Envelope{From: o.To, Incarnation: c.n.incarnation, Message: o.Message})
		return
	}
	if err := c.n.mesh.Send(o.To, o.Message); err != nil {
		c.n.counters.sendsRefused.Add(1)
	}
}
