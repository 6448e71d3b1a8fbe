package pomelonode

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// receive hands a message to the part that it is for.
func (c *control) receive(now time.Time, e pomelorelay.Envelope) {
	if e.From != c.n.self.Node {
		c.view.RecordMessage(now, e.From, e.Incarnation)
		c.generations[e.From] = max(c.generations[e.From], e.Generation)
		c.out = c.spreader.HandleGeneration(now, e.From, e.Generation, c.out)
	}
	switch m := e.Message.(type) {
	case *pomelorelay.Demand:
		c.out = c.owner.HandleDemand(now, e.From, m, c.out)
	case *pomelorelay.Grant:
		c.granted(now, e.From, m)
	case *pomelorelay.GrantReply:
		c.out = c.owner.HandleReply(now, e.From, m, c.out)
	case *pomelorelay.RunningQuery:
		c.send(now, pomelorelay.Outgoing{To: e.From, Message: c.asker.RunningReport(m.Upstream)})
	case *pomelorelay.RunningReport:
		c.out = c.owner.HandleRunningReport(now, e.From, m, c.out)
	case *pomelorelay.LeavingNotice:
		c.leave(m.Upstream)
	default:
		c.receiveState(now, e)
	}
}

// receiveState hands on messages of membership, ledger and configuration.
func (c *control) receiveState(now time.Time, e pomelorelay.Envelope) {
	switch m := e.Message.(type) {
	case *pomelorelay.Digest:
		c.digest(now, e, m)
	case *pomelorelay.Probe:
		c.out = c.view.HandleProbe(now, e.From, e.Incarnation, m, c.out)
	case *pomelorelay.ProbeAck:
		c.out = c.view.HandleProbeAck(now, e.From, e.Incarnation, m, c.out)
	case *pomelorelay.Farewell:
		c.out = c.view.HandleFarewell(now, e.From, e.Incarnation, m, c.out)
	case *pomelorelay.LedgerReport:
		c.out = c.ledger.HandleReport(now, e.From, e.Incarnation, m, c.out)
	case *pomelorelay.LedgerTotals:
		c.totals(now, e.From, m)
	case *pomelorelay.LedgerQuery:
		c.out = c.reporter.HandleQuery(now, e.From, m, c.out)
	case *pomelorelay.LedgerComponent:
		c.out = c.ledger.HandleComponent(now, e.From, m, c.out)
	case *pomelorelay.LedgerComponentQuery:
		c.out = c.ledger.HandleComponentQuery(now, e.From, m, c.out)
	case *pomelorelay.ConfigPull:
		c.out = c.spreader.HandlePull(now, e.From, m, c.out)
	case *pomelorelay.ConfigPush:
		c.out = c.spreader.HandlePush(now, e.From, m, c.out)
		c.compile()
	case *pomelorelay.ConfigApplied:
		c.spreader.HandleApplied(now, e.From, m)
	default:
		c.receiveGuards(now, e)
	}
}

// receiveGuards hands on messages of claims and crash suspects.
func (c *control) receiveGuards(now time.Time, e pomelorelay.Envelope) {
	switch m := e.Message.(type) {
	case *pomelorelay.ClaimAsk:
		c.keeper.HandleAsk(now, e.From, m, &c.claimOut)
	case *pomelorelay.ClaimAnswer:
		c.claimAsker.HandleAnswer(now, m, &c.claimOut)
	case *pomelorelay.ClaimSettle:
		c.keeper.HandleSettle(now, e.From, m, &c.claimOut)
	case *pomelorelay.ClaimSettled:
		c.claimAsker.HandleSettled(m)
	case *pomelorelay.SuspectNotice:
		c.table.HandleSuspectNotice(now, m, &c.suspectOut)
	case *pomelorelay.SuspectAsk:
		c.arbiter.HandleAsk(now, e.From, m, &c.suspectOut)
	case *pomelorelay.SuspectAnswer:
		c.table.HandleAnswer(now, e.From, m, &c.suspectOut)
	case *pomelorelay.SuspectCleared:
		c.table.HandleCleared(m)
		c.arbiter.HandleCleared(e.From, m)
	case *pomelorelay.QuarantineNotice:
		c.table.HandleQuarantineNotice(now, m, &c.suspectOut)
	}
}

func (c *control) digest(now time.Time, e pomelorelay.Envelope, m *pomelorelay.Digest) {
	c.out = c.view.HandleDigest(now, e.From, e.Incarnation, m, c.out)
	if !c.view.AddressKnown(e.From) {
		c.n.wantHosts()
	}
	c.asker.UpdateDigests(now, m.Slots)
	c.out = c.asker.Tick(now, c.out)
}

func (c *control) totals(now time.Time, from pomelorelay.NodeID, m *pomelorelay.LedgerTotals) {
	if !c.reporter.HandleTotals(now, from, m) {
		return
	}
	for _, e := range m.Entries {
		c.queues.SetFleetTotals(now, e)
		c.touch(e.Pool)
	}
}
