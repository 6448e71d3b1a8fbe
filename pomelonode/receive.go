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
		c.out = c.spreader.Seen(now, e.From, e.Generation, c.out)
	}
	switch m := e.Message.(type) {
	case *pomelorelay.Demand:
		c.out = c.owner.Demand(now, e.From, m, c.out)
	case *pomelorelay.Grant:
		c.receiveGrant(now, e.From, m)
	case *pomelorelay.GrantReply:
		c.out = c.owner.Reply(now, e.From, m, c.out)
	case *pomelorelay.RunningQuery:
		c.send(now, pomelorelay.Outgoing{To: e.From, Message: c.asker.Running(m.Upstream)})
	case *pomelorelay.RunningReport:
		c.out = c.owner.Running(now, e.From, m, c.out)
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
		c.out = c.memberView.Probe(now, e.From, e.Incarnation, m, c.out)
	case *pomelorelay.ProbeAck:
		c.out = c.memberView.ProbeAck(now, e.From, e.Incarnation, m, c.out)
	case *pomelorelay.Farewell:
		c.out = c.memberView.Farewell(now, e.From, e.Incarnation, m, c.out)
	case *pomelorelay.LedgerReport:
		c.out = c.ledger.Report(now, e.From, e.Incarnation, m, c.out)
	case *pomelorelay.LedgerTotals:
		c.receiveTotals(now, e.From, m)
	case *pomelorelay.LedgerQuery:
		c.out = c.reporter.Query(now, e.From, m, c.out)
	case *pomelorelay.LedgerComponent:
		c.out = c.ledger.Component(now, e.From, m, c.out)
	case *pomelorelay.LedgerComponentQuery:
		c.out = c.ledger.ComponentQuery(now, e.From, m, c.out)
	case *pomelorelay.ConfigPull:
		c.out = c.spreader.Pull(now, e.From, m, c.out)
	case *pomelorelay.ConfigPush:
		c.out = c.spreader.Push(now, e.From, m, c.out)
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
	c.out = c.memberView.Digest(now, e.From, e.Incarnation, m, c.out)
	if !c.memberView.Located(e.From) {
		c.n.requestHostRead()
	}
	c.asker.Slots(now, m.Slots)
	c.out = c.asker.Tick(now, c.out)
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
