package pomelonode

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// receive passes a message to the component that handles it.
func (c *control) receive(now time.Time, e pomelorelay.Envelope) {
	if e.From != c.n.self.Node {
		c.memberView.RecordMessage(now, e.From, e.Incarnation)
		c.generations[e.From] = max(c.generations[e.From], e.Generation)
		c.outgoing = c.configSyncer.HandleGeneration(now, e.From, e.Generation, c.outgoing)
	}
	switch m := e.Message.(type) {
	case *pomelorelay.Demand:
		c.outgoing = c.owner.HandleDemand(now, e.From, m, c.outgoing)
	case *pomelorelay.Grant:
		c.receiveGrant(now, e.From, m)
	case *pomelorelay.GrantReply:
		c.outgoing = c.owner.HandleReply(now, e.From, m, c.outgoing)
	case *pomelorelay.RunningQuery:
		c.send(now, pomelorelay.Outgoing{To: e.From, Message: c.slotRequester.RunningReport(m.Upstream)})
	case *pomelorelay.RunningReport:
		c.outgoing = c.owner.HandleRunningReport(now, e.From, m, c.outgoing)
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
		c.outgoing = c.memberView.HandleProbe(now, e.From, e.Incarnation, m, c.outgoing)
	case *pomelorelay.ProbeAck:
		c.outgoing = c.memberView.HandleProbeAck(now, e.From, e.Incarnation, m, c.outgoing)
	case *pomelorelay.Farewell:
		c.outgoing = c.memberView.HandleFarewell(now, e.From, e.Incarnation, m, c.outgoing)
	case *pomelorelay.LedgerReport:
		c.outgoing = c.ledger.HandleReport(now, e.From, e.Incarnation, m, c.outgoing)
	case *pomelorelay.LedgerTotals:
		c.receiveTotals(now, e.From, m)
	case *pomelorelay.LedgerQuery:
		c.outgoing = c.reporter.HandleQuery(now, e.From, m, c.outgoing)
	case *pomelorelay.LedgerComponent:
		c.outgoing = c.ledger.HandleComponent(now, e.From, m, c.outgoing)
	case *pomelorelay.LedgerComponentQuery:
		c.outgoing = c.ledger.HandleComponentQuery(now, e.From, m, c.outgoing)
	case *pomelorelay.ConfigPull:
		c.outgoing = c.configSyncer.HandlePull(now, e.From, m, c.outgoing)
	case *pomelorelay.ConfigPush:
		c.outgoing = c.configSyncer.HandlePush(now, e.From, m, c.outgoing)
		c.compile()
	case *pomelorelay.ConfigApplied:
		c.configSyncer.HandleApplied(now, e.From, m)
	default:
		c.receiveClaimOrSuspect(now, e)
	}
}

// receiveClaimOrSuspect handles messages of claims and crash suspects.
func (c *control) receiveClaimOrSuspect(now time.Time, e pomelorelay.Envelope) {
	switch m := e.Message.(type) {
	case *pomelorelay.ClaimAsk:
		c.keeper.HandleAsk(now, e.From, m, &c.claimOut)
	case *pomelorelay.ClaimAnswer:
		c.claimRequester.HandleAnswer(now, m, &c.claimOut)
	case *pomelorelay.ClaimSettle:
		c.keeper.HandleSettle(now, e.From, m, &c.claimOut)
	case *pomelorelay.ClaimSettled:
		c.claimRequester.HandleSettled(m)
	case *pomelorelay.SuspectNotice:
		c.quarantine.HandleSuspectNotice(now, m, &c.suspectOut)
	case *pomelorelay.SuspectAsk:
		c.arbiter.HandleAsk(now, e.From, m, &c.suspectOut)
	case *pomelorelay.SuspectAnswer:
		c.quarantine.HandleAnswer(now, e.From, m, &c.suspectOut)
	case *pomelorelay.SuspectCleared:
		c.quarantine.HandleCleared(m)
		c.arbiter.HandleCleared(e.From, m)
	case *pomelorelay.QuarantineNotice:
		c.quarantine.HandleQuarantineNotice(now, m, &c.suspectOut)
	case *pomelorelay.CrashNotice:
		c.sendCrashedParts(c.crashedParts.merge(now, m.Crashes))
	}
}

func (c *control) receiveDigest(now time.Time, e pomelorelay.Envelope, m *pomelorelay.Digest) {
	c.outgoing = c.memberView.HandleDigest(now, e.From, e.Incarnation, m, c.outgoing)
	if !c.memberView.AddressKnown(e.From) {
		c.n.requestHostRead()
	}
	c.slotRequester.UpdateDigests(now, m.Slots)
	c.outgoing = c.slotRequester.Tick(now, c.outgoing)
}

func (c *control) receiveTotals(now time.Time, from pomelorelay.NodeID, m *pomelorelay.LedgerTotals) {
	if !c.reporter.HandleTotals(now, from, m) {
		return
	}
	for _, e := range m.Entries {
		c.queues.SetFleetTotals(now, e)
		c.markChanged(e.Pool)
	}
}
