package pomelonode

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// receive passes a message to the component that handles it.
func (c *control) receive(now time.Time, e pomelorelay.Envelope) {
	if e.From != c.n.self.Node {
		c.memberView.Heard(now, e.From, e.Incarnation)
		c.generations[e.From] = max(c.generations[e.From], e.Generation)
		c.outgoing = c.spreader.Seen(now, e.From, e.Generation, c.outgoing)
	}
	switch m := e.Message.(type) {
	case *pomelorelay.Demand:
		c.outgoing = c.owner.Demand(now, e.From, m, c.outgoing)
	case *pomelorelay.Grant:
		c.receiveGrant(now, e.From, m)
	case *pomelorelay.GrantReply:
		c.outgoing = c.owner.Reply(now, e.From, m, c.outgoing)
	case *pomelorelay.RunningQuery:
		c.send(now, pomelorelay.Outgoing{To: e.From, Message: c.asker.Running(m.Upstream)})
	case *pomelorelay.RunningReport:
		c.outgoing = c.owner.Running(now, e.From, m, c.outgoing)
	case *pomelorelay.LeavingNotice:
		c.markLeaving(m.Upstream)
	default:
		c.receiveState(now, e)
	}
}

// receiveState handles messages of membership, ledger and configuration.
func (c *control) receiveState(now time.Time, e pomelorelay.Envelope) {
	switch m := e.Message.(type) {
	case *pomelorelay.Digest:
		c.receiveDigest(now, e, m)
	case *pomelorelay.Probe:
		c.outgoing = c.memberView.Probe(now, e.From, e.Incarnation, m, c.outgoing)
	case *pomelorelay.ProbeAck:
		c.outgoing = c.memberView.ProbeAck(now, e.From, e.Incarnation, m, c.outgoing)
	case *pomelorelay.Farewell:
		c.outgoing = c.memberView.Farewell(now, e.From, e.Incarnation, m, c.outgoing)
	case *pomelorelay.LedgerReport:
		c.outgoing = c.ledger.Report(now, e.From, e.Incarnation, m, c.outgoing)
	case *pomelorelay.LedgerTotals:
		c.receiveTotals(now, e.From, m)
	case *pomelorelay.LedgerQuery:
		c.outgoing = c.reporter.Query(now, e.From, m, c.outgoing)
	case *pomelorelay.LedgerComponent:
		c.outgoing = c.ledger.Component(now, e.From, m, c.outgoing)
	case *pomelorelay.LedgerComponentQuery:
		c.outgoing = c.ledger.ComponentQuery(now, e.From, m, c.outgoing)
	case *pomelorelay.ConfigPull:
		c.outgoing = c.spreader.Pull(now, e.From, m, c.outgoing)
	case *pomelorelay.ConfigPush:
		c.outgoing = c.spreader.Push(now, e.From, m, c.outgoing)
		c.compile()
	case *pomelorelay.ConfigApplied:
		c.spreader.Applied(now, e.From, m)
	default:
		c.receiveClaimOrSuspect(now, e)
	}
}

// receiveClaimOrSuspect handles messages of claims and crash suspects.
func (c *control) receiveClaimOrSuspect(now time.Time, e pomelorelay.Envelope) {
	switch m := e.Message.(type) {
	case *pomelorelay.ClaimAsk:
		c.keeper.Ask(now, e.From, m, &c.claimOut)
	case *pomelorelay.ClaimAnswer:
		c.claimAsker.Answer(now, m, &c.claimOut)
	case *pomelorelay.ClaimSettle:
		c.keeper.Settle(now, e.From, m, &c.claimOut)
	case *pomelorelay.ClaimSettled:
		c.claimAsker.Settled(m)
	case *pomelorelay.SuspectNotice:
		c.quarantine.Notice(now, m, &c.suspectOut)
	case *pomelorelay.SuspectAsk:
		c.arbiter.Ask(now, e.From, m, &c.suspectOut)
	case *pomelorelay.SuspectAnswer:
		c.quarantine.Answer(now, e.From, m, &c.suspectOut)
	case *pomelorelay.SuspectCleared:
		c.quarantine.Cleared(m)
		c.arbiter.Cleared(e.From, m)
	case *pomelorelay.QuarantineNotice:
		c.quarantine.Quarantine(now, m, &c.suspectOut)
	}
}

func (c *control) receiveDigest(now time.Time, e pomelorelay.Envelope, m *pomelorelay.Digest) {
	c.outgoing = c.memberView.Digest(now, e.From, e.Incarnation, m, c.outgoing)
	if !c.memberView.Located(e.From) {
		c.n.requestHostRead()
	}
	c.asker.Slots(now, m.Slots)
	c.outgoing = c.asker.Tick(now, c.outgoing)
}

func (c *control) receiveTotals(now time.Time, from pomelorelay.NodeID, m *pomelorelay.LedgerTotals) {
	if !c.reporter.Totals(now, from, m) {
		return
	}
	for _, e := range m.Entries {
		c.queues.SetFleet(now, e)
		c.markChanged(e.Pool)
	}
}
