package pomelomesh

import (
	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelomesh/pomelowire"
)

func (d *decoder) message(item *pomelowire.Item) pomelorelay.Message {
	switch kind := item.GetKind().(type) {
	case *pomelowire.Item_Demand:
		return d.demand(kind.Demand)
	case *pomelowire.Item_Grant:
		return d.grant(kind.Grant)
	case *pomelowire.Item_GrantReply:
		return d.grantReply(kind.GrantReply)
	case *pomelowire.Item_RunningQuery:
		return &pomelorelay.RunningQuery{Upstream: pomelorelay.UpstreamID(d.name(kind.RunningQuery.GetUpstream()))}
	case *pomelowire.Item_RunningReport:
		return d.runningReport(kind.RunningReport)
	case *pomelowire.Item_LedgerReport:
		return d.ledgerReport(kind.LedgerReport)
	case *pomelowire.Item_LedgerTotals:
		return d.ledgerTotals(kind.LedgerTotals)
	case *pomelowire.Item_LedgerQuery:
		return &pomelorelay.LedgerQuery{Shard: pomelorelay.ShardID(kind.LedgerQuery.GetShard()), Round: kind.LedgerQuery.GetRound()}
	case *pomelowire.Item_LedgerComponent:
		return d.ledgerComponent(kind.LedgerComponent)
	case *pomelowire.Item_LedgerComponentQuery:
		return &pomelorelay.LedgerComponentQuery{Shard: pomelorelay.ShardID(kind.LedgerComponentQuery.GetShard())}
	case *pomelowire.Item_Digest:
		return d.digest(kind.Digest)
	case *pomelowire.Item_Probe:
		return &pomelorelay.Probe{Seq: kind.Probe.GetSeq(), Target: pomelorelay.NodeID(d.name(kind.Probe.GetTarget()))}
	case *pomelowire.Item_ProbeAck:
		return &pomelorelay.ProbeAck{Seq: kind.ProbeAck.GetSeq(), Target: pomelorelay.NodeID(d.name(kind.ProbeAck.GetTarget()))}
	case *pomelowire.Item_Farewell:
		return &pomelorelay.Farewell{Incarnation: pomelorelay.Incarnation(kind.Farewell.GetIncarnation())}
	}
	return d.otherMessage(item)
}

func (d *decoder) otherMessage(item *pomelowire.Item) pomelorelay.Message {
	switch kind := item.GetKind().(type) {
	case *pomelowire.Item_ConfigPull:
		return d.configPull(kind.ConfigPull)
	case *pomelowire.Item_ConfigPush:
		return d.configPush(kind.ConfigPush)
	case *pomelowire.Item_ConfigApplied:
		c := kind.ConfigApplied
		return &pomelorelay.ConfigApplied{
			Generation: pomelorelay.Generation(c.GetGeneration()), RefusedGeneration: pomelorelay.Generation(c.GetRefused()), RefusalCode: pomelorelay.ResultCode(c.GetCode()),
		}
	case *pomelowire.Item_ClaimAsk:
		return d.claimAsk(kind.ClaimAsk)
	case *pomelowire.Item_ClaimAnswer:
		return d.claimAnswer(kind.ClaimAnswer)
	case *pomelowire.Item_ClaimSettle:
		return d.claimSettle(kind.ClaimSettle)
	case *pomelowire.Item_ClaimSettled:
		return d.claimSettled(kind.ClaimSettled)
	case *pomelowire.Item_SuspectNotice:
		return d.suspectNotice(kind.SuspectNotice)
	case *pomelowire.Item_SuspectAsk:
		s := kind.SuspectAsk
		return &pomelorelay.SuspectAsk{
			Request: pomelorelay.RequestID(s.GetRequest()), Fingerprint: pomelorelay.Fingerprint(s.GetFingerprint()), Upstream: pomelorelay.UpstreamID(d.name(s.GetUpstream())),
			Running: s.GetRunning(),
		}
	case *pomelowire.Item_SuspectAnswer:
		s := kind.SuspectAnswer
		return &pomelorelay.SuspectAnswer{
			Request: pomelorelay.RequestID(s.GetRequest()), Fingerprint: pomelorelay.Fingerprint(s.GetFingerprint()),
			Allowed: s.GetAllowed(), Quarantined: s.GetQuarantined(), Wait: d.duration(s.GetWait()),
			Upstream: pomelorelay.UpstreamID(d.name(s.GetUpstream())),
		}
	case *pomelowire.Item_SuspectCleared:
		s := kind.SuspectCleared
		return &pomelorelay.SuspectCleared{
			Fingerprint: pomelorelay.Fingerprint(s.GetFingerprint()), Upstream: pomelorelay.UpstreamID(d.name(s.GetUpstream())), Clean: s.GetClean(),
		}
	case *pomelowire.Item_QuarantineNotice:
		q := kind.QuarantineNotice
		return &pomelorelay.QuarantineNotice{
			Fingerprint: pomelorelay.Fingerprint(q.GetFingerprint()), Seq: q.GetSeq(), Duration: d.duration(q.GetFor()), Upstream: pomelorelay.UpstreamID(d.name(q.GetUpstream())),
		}
	case *pomelowire.Item_LeavingNotice:
		return &pomelorelay.LeavingNotice{Upstream: pomelorelay.UpstreamID(d.name(kind.LeavingNotice.GetUpstream()))}
	case *pomelowire.Item_LoadReport:
		return d.loadReport(kind.LoadReport)
	case *pomelowire.Item_LoadSummary:
		return d.loadSummary(kind.LoadSummary)
	case *pomelowire.Item_FleetUpdate:
		return d.fleetUpdate(kind.FleetUpdate)
	case *pomelowire.Item_StateAsk:
		return &pomelorelay.StateAsk{Above: pomelorelay.Generation(kind.StateAsk.GetAbove()), Upstreams: kind.StateAsk.GetUpstreams(), Streams: kind.StateAsk.GetStreams()}
	case *pomelowire.Item_FleetState:
		return d.fleetState(kind.FleetState)
	case *pomelowire.Item_StreamState:
		return d.streamState(kind.StreamState)
	case *pomelowire.Item_CrashNotice:
		return &pomelorelay.CrashNotice{Crashes: d.crashes(kind.CrashNotice.GetCrashes()), Pending: d.crashes(kind.CrashNotice.GetPending())}
	}
	return nil
}

func (d *decoder) demand(m *pomelowire.Demand) pomelorelay.Message {
	d.listLength(len(m.GetPrefixes()), maxPrefixes)
	return &pomelorelay.Demand{
		Upstream: pomelorelay.UpstreamID(d.name(m.GetUpstream())), Pool: pomelorelay.PoolID(d.name(m.GetPool())),
		Seq: m.GetSeq(), HeadTag: d.tag(m.GetHead()), Waiting: m.GetWaiting(), Prefixes: m.GetPrefixes(),
	}
}

func (d *decoder) grant(m *pomelowire.Grant) pomelorelay.Message {
	return &pomelorelay.Grant{
		ID: pomelorelay.GrantID(m.GetId()), Upstream: pomelorelay.UpstreamID(d.name(m.GetUpstream())), Pool: pomelorelay.PoolID(d.name(m.GetPool())),
		TTL: d.duration(m.GetTtl()), LastGrantedTag: d.tag(m.GetLastTag()),
	}
}

func (d *decoder) grantReply(m *pomelowire.GrantReply) pomelorelay.Message {
	return &pomelorelay.GrantReply{
		ID: pomelorelay.GrantID(m.GetId()), Upstream: pomelorelay.UpstreamID(d.name(m.GetUpstream())),
		State: pomelorelay.GrantState(d.enumValue(m.GetState(), 0, int32(pomelorelay.GrantUpstreamUnreachable))), Seq: m.GetSeq(), Head: d.tag(m.GetHead()), Waiting: m.GetWaiting(),
		FirstToken: d.duration(m.GetFirstToken()), TokenGap: d.duration(m.GetTokenGap()),
	}
}

func (d *decoder) runningReport(m *pomelowire.RunningReport) pomelorelay.Message {
	grants := make([]pomelorelay.GrantID, d.listLength(len(m.GetGrants()), maxListLength))
	for i := range grants {
		grants[i] = pomelorelay.GrantID(m.GetGrants()[i])
	}
	return &pomelorelay.RunningReport{Upstream: pomelorelay.UpstreamID(d.name(m.GetUpstream())), Grants: grants, Running: m.GetRunning()}
}

func (d *decoder) digest(m *pomelowire.Digest) pomelorelay.Message {
	digest := &pomelorelay.Digest{Seq: m.GetSeq()}
	digest.Members = make([]pomelorelay.MemberState, d.listLength(len(m.GetMembers()), maxListLength))
	for i := range digest.Members {
		state := m.GetMembers()[i]
		digest.Members[i] = pomelorelay.MemberState{
			Node: pomelorelay.NodeID(d.name(state.GetNode())), Incarnation: pomelorelay.Incarnation(state.GetIncarnation()),
			Status: pomelorelay.MemberStatus(d.enumValue(state.GetStatus(), int32(pomelorelay.MemberAlive), int32(pomelorelay.MemberDead))),
		}
	}
	names := m.GetNames()
	if len(digest.Members) > 0 {
		names = append([]string{string(digest.Members[0].Node)}, names...)
	}
	digest.Slots = make([]pomelorelay.SlotDigest, d.listLength(len(m.GetSlots()), maxListLength))
	for i := range digest.Slots {
		digest.Slots[i] = d.slot(m.GetSlots()[i], names)
	}
	digest.Reached = make([]pomelorelay.DomainID, d.listLength(len(m.GetReached()), maxListLength))
	for i := range digest.Reached {
		digest.Reached[i] = pomelorelay.DomainID(d.name(m.GetReached()[i]))
	}
	return digest
}

func (d *decoder) slot(m *pomelowire.SlotDigest, names []string) pomelorelay.SlotDigest {
	return pomelorelay.SlotDigest{
		Upstream: pomelorelay.UpstreamID(d.name(m.GetUpstream())), Pool: pomelorelay.PoolID(d.nameAt(names, m.GetPool())),
		Owner: pomelorelay.NodeID(d.nameAt(names, m.GetOwner())), Domain: pomelorelay.DomainID(d.nameAt(names, m.GetDomain())),
		LastTag: d.tag(m.GetLastTag()), Idle: pomelorelay.Slots(m.GetIdle()), Limit: pomelorelay.Slots(m.GetLimit()), Leaving: m.GetLeaving(),
	}
}

func (d *decoder) suspectNotice(m *pomelowire.SuspectNotice) pomelorelay.Message {
	fingerprints := make([]pomelorelay.Fingerprint, d.listLength(len(m.GetFingerprints()), maxListLength))
	for i := range fingerprints {
		fingerprints[i] = pomelorelay.Fingerprint(m.GetFingerprints()[i])
	}
	return &pomelorelay.SuspectNotice{Upstream: pomelorelay.UpstreamID(d.name(m.GetUpstream())), CrashSeq: m.GetCrash(), Fingerprints: fingerprints}
}
