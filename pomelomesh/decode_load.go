package pomelomesh

import (
	"math"
	"net/netip"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelomesh/pomelowire"
)

func (d *decoder) loadReport(m *pomelowire.LoadReport) *pomelorelay.LoadReport {
	r := &pomelorelay.LoadReport{Seq: m.GetSeq(), Full: m.GetWhole()}
	r.Upstreams = make([]pomelorelay.UpstreamLoad, d.count(len(m.GetUpstreams()), maxList))
	for i := range r.Upstreams {
		u := m.GetUpstreams()[i]
		r.Upstreams[i] = pomelorelay.UpstreamLoad{
			Upstream: pomelorelay.UpstreamID(d.name(u.GetUpstream())), Running: u.GetRunning(),
			PendingPrefill: d.tokens(u.GetUnread()), KVTokens: d.tokens(u.GetHeld()), PromptTokensSent: d.tokens(u.GetSent()),
			FirstTokenExpected: d.milliseconds(u.GetExpected()), FirstTokenMeasured: d.milliseconds(u.GetTook()),
		}
	}
	r.Accounts = make([]pomelorelay.AccountUse, d.count(len(m.GetAccounts()), maxList))
	for i := range r.Accounts {
		a := m.GetAccounts()[i]
		r.Accounts[i] = pomelorelay.AccountUse{
			Account: pomelorelay.AccountID(d.name(a.GetAccount())), Requested: pomelorelay.Cost(a.GetAsked()), Served: pomelorelay.Cost(a.GetServed()),
		}
	}
	r.Parts = make([]pomelorelay.PartPlaced, d.count(len(m.GetParts()), maxList))
	for i := range r.Parts {
		p := m.GetParts()[i]
		r.Parts[i] = pomelorelay.PartPlaced{Upstream: pomelorelay.UpstreamID(d.name(p.GetUpstream())), Hash: p.GetHash(), Tokens: d.tokens(p.GetTokens())}
	}
	r.Leaving = make([]pomelorelay.UpstreamID, d.count(len(m.GetLeaving()), maxList))
	for i := range r.Leaving {
		r.Leaving[i] = pomelorelay.UpstreamID(d.name(m.GetLeaving()[i]))
	}
	r.Speeds = make([]pomelorelay.SpeedSums, d.count(len(m.GetSpeeds()), maxList))
	for i := range r.Speeds {
		s := m.GetSpeeds()[i]
		r.Speeds[i] = pomelorelay.SpeedSums{
			Service: pomelorelay.ServiceID(d.name(s.GetService())), Answers: d.finite(s.GetAnswers()), WeightSum: d.finite(s.GetWeight()),
			TokenSum: d.finite(s.GetRead()), TimeSum: d.finite(s.GetTook()), TokenSquareSum: d.finite(s.GetReadRead()), TokenTimeSum: d.finite(s.GetReadTook()), DuringPrefill: d.finite(s.GetBeside()), Stalled: d.finite(s.GetPaused()),
			CopiedTokens: d.finite(s.GetCopied()), CopyTimeTokens: d.finite(s.GetCopyTook()),
		}
	}
	r.Starts = make([]pomelorelay.UpstreamStart, d.count(len(m.GetStarts()), maxList))
	for i := range r.Starts {
		s := m.GetStarts()[i]
		r.Starts[i] = pomelorelay.UpstreamStart{Upstream: pomelorelay.UpstreamID(d.name(s.GetUpstream())), Unreachable: s.GetUnreached(), ColdRemaining: d.milliseconds(s.GetCold())}
	}
	return r
}

func (d *decoder) cold(value int64) time.Duration {
	if value < 0 {
		return pomelorelay.ColdUnknown
	}
	return d.milliseconds(value)
}

func (d *decoder) tokens(value int64) pomelorelay.Tokens {
	if value < 0 {
		d.fail("tokens below zero")
		return 0
	}
	return pomelorelay.Tokens(value)
}

func (d *decoder) milliseconds(value int64) time.Duration {
	if value > math.MaxInt64/int64(time.Millisecond) {
		d.fail("duration too long")
		return 0
	}
	return d.duration(value * int64(time.Millisecond))
}

func (d *decoder) loadSummary(m *pomelowire.LoadSummary) pomelorelay.Message {
	s := &pomelorelay.LoadSummary{Report: d.loadReport(m.GetReport())}
	s.Standby = make([]pomelorelay.NodeID, d.count(len(m.GetStandby()), maxList))
	for i := range s.Standby {
		s.Standby[i] = pomelorelay.NodeID(d.name(m.GetStandby()[i]))
	}
	return s
}

func (d *decoder) fleetUpdate(m *pomelowire.FleetUpdate) pomelorelay.Message {
	u := &pomelorelay.FleetUpdate{
		After: pomelorelay.Revision(m.GetAfter()), Revision: pomelorelay.Revision(m.GetAt()), Full: m.GetWhole(), Forwarded: m.GetForwarded(), Document: m.GetDocument(),
		Upstreams: d.upstreams(m.GetUpstreams()), Peers: d.routers(m.GetRouters()),
		Evacuated: d.domains(m.GetEvacuated()), Restored: d.domains(m.GetRestored()),
	}
	u.RemovedUpstreams = make([]pomelorelay.UpstreamID, d.count(len(m.GetGoneUpstreams()), maxList))
	for i := range u.RemovedUpstreams {
		u.RemovedUpstreams[i] = pomelorelay.UpstreamID(d.name(m.GetGoneUpstreams()[i]))
	}
	u.RemovedPeers = make([]pomelorelay.NodeID, d.count(len(m.GetGoneRouters()), maxList))
	for i := range u.RemovedPeers {
		u.RemovedPeers[i] = pomelorelay.NodeID(d.name(m.GetGoneRouters()[i]))
	}
	return u
}

func (d *decoder) upstreams(list []*pomelowire.Upstream) []pomelorelay.FleetUpstream {
	upstreams := make([]pomelorelay.FleetUpstream, d.count(len(list), maxList))
	for i := range upstreams {
		u := list[i]
		upstreams[i] = pomelorelay.FleetUpstream{
			ID: pomelorelay.UpstreamID(d.name(u.GetId())), Service: pomelorelay.ServiceID(d.name(u.GetService())), Addr: d.addr(u.GetAddress()),
			Domain: pomelorelay.DomainID(d.name(u.GetDomain())), Slots: pomelorelay.Slots(u.GetSlots()), Draining: u.GetDraining(), ColdRemaining: d.cold(u.GetCold()), StartUnixMilli: u.GetBorn(),
		}
	}
	return upstreams
}

func (d *decoder) addr(text string) netip.AddrPort {
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		d.fail("address")
	}
	return addr
}

func (d *decoder) fleetState(m *pomelowire.FleetState) pomelorelay.Message {
	return &pomelorelay.FleetState{
		Document: m.GetDocument(), Revision: pomelorelay.Revision(m.GetAt()), Upstreams: d.upstreams(m.GetUpstreams()), Peers: d.routers(m.GetRouters()),
		Evacuated: d.domains(m.GetEvacuated()),
	}
}

func (d *decoder) domains(list []string) []pomelorelay.DomainID {
	domains := make([]pomelorelay.DomainID, d.count(len(list), maxList))
	for i := range domains {
		domains[i] = pomelorelay.DomainID(d.name(list[i]))
	}
	return domains
}

func (d *decoder) routers(list []*pomelowire.Router) []pomelorelay.Peer {
	peers := make([]pomelorelay.Peer, d.count(len(list), maxList))
	for i := range peers {
		p := list[i]
		peers[i] = pomelorelay.Peer{
			Node: pomelorelay.NodeID(d.name(p.GetNode())), Addr: d.addr(p.GetAddress()), Domain: pomelorelay.DomainID(d.name(p.GetDomain())),
			Region: pomelorelay.RegionID(d.name(p.GetRegion())), CPUSpeed: d.finite(p.GetPower()),
		}
	}
	return peers
}
