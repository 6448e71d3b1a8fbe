package pomelomesh

import (
	"math"
	"net/netip"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelomesh/pomelowire"
)

func (d *decoder) loadReport(m *pomelowire.LoadReport) *pomelorelay.LoadReport {
	r := &pomelorelay.LoadReport{Seq: m.GetSeq(), Full: m.GetWhole(), Limited: m.GetLimited(), Applied: pomelorelay.Revision(m.GetApplied())}
	r.Upstreams = make([]pomelorelay.UpstreamLoad, d.listLength(len(m.GetUpstreams()), maxListLength))
	for i := range r.Upstreams {
		u := m.GetUpstreams()[i]
		r.Upstreams[i] = pomelorelay.UpstreamLoad{
			Upstream: pomelorelay.UpstreamID(d.name(u.GetUpstream())), Running: u.GetRunning(),
			PendingPrefill: d.tokens(u.GetUnread()), KVTokens: d.tokens(u.GetHeld()), PromptTokensSent: d.tokens(u.GetSent()),
			FirstTokenExpected: d.milliseconds(u.GetExpected()), FirstTokenMeasured: d.milliseconds(u.GetTook()), RequestsSent: u.GetRequests(),
		}
		d.announced(u.GetAnnounced(), &r.Upstreams[i])
	}
	r.Accounts = make([]pomelorelay.AccountUse, d.listLength(len(m.GetAccounts()), maxListLength))
	for i := range r.Accounts {
		a := m.GetAccounts()[i]
		r.Accounts[i] = pomelorelay.AccountUse{
			Account: pomelorelay.AccountID(d.name(a.GetAccount())), Requested: pomelorelay.Cost(a.GetAsked()), Served: pomelorelay.Cost(a.GetServed()),
		}
	}
	r.Parts = make([]pomelorelay.PromptPartPlaced, d.listLength(len(m.GetParts()), maxListLength))
	for i := range r.Parts {
		p := m.GetParts()[i]
		r.Parts[i] = pomelorelay.PromptPartPlaced{Upstream: pomelorelay.UpstreamID(d.name(p.GetUpstream())), Hash: p.GetHash(), Tokens: d.tokens(p.GetTokens())}
	}
	r.Leaving = make([]pomelorelay.UpstreamID, d.listLength(len(m.GetLeaving()), maxListLength))
	for i := range r.Leaving {
		r.Leaving[i] = pomelorelay.UpstreamID(d.name(m.GetLeaving()[i]))
	}
	r.Speeds = make([]pomelorelay.SpeedSums, d.listLength(len(m.GetSpeeds()), maxListLength))
	for i := range r.Speeds {
		s := m.GetSpeeds()[i]
		r.Speeds[i] = pomelorelay.SpeedSums{
			Service: pomelorelay.ServiceID(d.name(s.GetService())), Answers: d.finite(s.GetAnswers()), WeightSum: d.finite(s.GetWeight()),
			TokenSum: d.finite(s.GetRead()), TimeSum: d.finite(s.GetTook()), TokenSquareSum: d.finite(s.GetReadRead()), TokenTimeSum: d.finite(s.GetReadTook()), DuringPrefill: d.finite(s.GetBeside()), Stalled: d.finite(s.GetPaused()),
			CopiedTokens: d.finite(s.GetCopied()), CopyTimeTokens: d.finite(s.GetCopyTook()),
		}
	}
	r.Starts = make([]pomelorelay.UpstreamStart, d.listLength(len(m.GetStarts()), maxListLength))
	for i := range r.Starts {
		s := m.GetStarts()[i]
		r.Starts[i] = pomelorelay.UpstreamStart{Upstream: pomelorelay.UpstreamID(d.name(s.GetUpstream())), Unreachable: s.GetUnreached(), ColdRemaining: d.milliseconds(s.GetCold())}
	}
	r.Streams = d.streams(m.GetStreams())
	return r
}

const (
	// maxAnnouncedCount and maxAnnouncedSlowness are the limits of the load header, from which routers take announced figures.
	maxAnnouncedCount    = 1 << 20
	maxAnnouncedSlowness = 10_000
)

// announcedInRange reports whether the figures could come from a valid load header.
func announcedInRange(m *pomelowire.AnnouncedLoad) bool {
	return max(m.GetRunning(), m.GetWaiting(), m.GetSlots()) <= maxAnnouncedCount && m.GetSlots() >= 1 && m.GetSlowness() <= maxAnnouncedSlowness
}

// announced decodes an announced load. One out of range is dropped like a malformed header; the rest of the report is used.
func (d *decoder) announced(m *pomelowire.AnnouncedLoad, l *pomelorelay.UpstreamLoad) {
	if m == nil || !announcedInRange(m) {
		return
	}
	l.Announced = pomelorelay.UpstreamFigures{
		Running: int(m.GetRunning()), Waiting: int(m.GetWaiting()), Slots: pomelorelay.Slots(m.GetSlots()), SlownessPercent: int(m.GetSlowness()),
	}
	l.AnnouncedAge, l.AnnouncedStart = d.milliseconds(m.GetAge()), m.GetBorn()
}

func (d *decoder) streams(list []*pomelowire.StreamOrigin) []pomelorelay.StreamOrigin {
	origins := make([]pomelorelay.StreamOrigin, d.listLength(len(list), maxListLength))
	for i := range origins {
		o := list[i]
		origins[i] = pomelorelay.StreamOrigin{
			Stream: pomelorelay.Fingerprint(o.GetStream()), Version: pomelorelay.SoftwareVersion(d.name(o.GetVersion())), TimeLeft: time.Duration(o.GetLeft()) * time.Second,
			Upstream: pomelorelay.UpstreamHash(o.GetUpstream()),
		}
	}
	return origins
}

func (d *decoder) streamState(m *pomelowire.StreamState) pomelorelay.Message {
	return &pomelorelay.StreamState{
		Streams: d.streams(m.GetStreams()), Versions: d.versions(m.GetLeft()), KnownFor: d.milliseconds(m.GetKnown()), Revision: pomelorelay.Revision(m.GetAt()),
	}
}

func (d *decoder) versions(list []*pomelowire.VersionLeft) []pomelorelay.VersionSeen {
	versions := make([]pomelorelay.VersionSeen, d.listLength(len(list), maxListLength))
	for i := range versions {
		v := list[i]
		versions[i] = pomelorelay.VersionSeen{
			Service: pomelorelay.ServiceID(d.name(v.GetService())), Version: pomelorelay.SoftwareVersion(d.name(v.GetVersion())), Ago: d.milliseconds(v.GetAgo()),
		}
	}
	return versions
}

func (d *decoder) cold(value int64) time.Duration {
	if value < 0 {
		return pomelorelay.ColdUnknown
	}
	return d.milliseconds(value)
}

func (d *decoder) tokens(value int64) pomelorelay.Tokens {
	if value < 0 {
		d.fail("token count is negative")
		return 0
	}
	return pomelorelay.Tokens(value)
}

func (d *decoder) milliseconds(value int64) time.Duration {
	if value > math.MaxInt64/int64(time.Millisecond) {
		d.fail("duration is too long")
		return 0
	}
	return d.duration(value * int64(time.Millisecond))
}

func (d *decoder) loadSummary(m *pomelowire.LoadSummary) pomelorelay.Message {
	return &pomelorelay.LoadSummary{Report: d.loadReport(m.GetReport()), Standby: d.nodes(m.GetStandby()), Relays: d.nodes(m.GetRelays())}
}

func (d *decoder) nodes(list []string) []pomelorelay.NodeID {
	nodes := make([]pomelorelay.NodeID, d.listLength(len(list), maxListLength))
	for i := range nodes {
		nodes[i] = pomelorelay.NodeID(d.name(list[i]))
	}
	return nodes
}

func (d *decoder) fleetUpdate(m *pomelowire.FleetUpdate) pomelorelay.Message {
	u := &pomelorelay.FleetUpdate{
		After: pomelorelay.Revision(m.GetAfter()), Revision: pomelorelay.Revision(m.GetAt()), Full: m.GetWhole(), Forwarded: m.GetForwarded(), Document: m.GetDocument(),
		Upstreams: d.upstreams(m.GetUpstreams()), Peers: d.routers(m.GetRouters()),
		Evacuated: d.domains(m.GetEvacuated()), RestoredDomains: d.domains(m.GetRestored()),
		Crashes: d.crashes(m.GetCrashes()), VersionsPassed: d.versions(m.GetLeft()), ReadUnixMilli: m.GetReadAt(),
	}
	u.RemovedUpstreams = make([]pomelorelay.UpstreamID, d.listLength(len(m.GetGoneUpstreams()), maxListLength))
	for i := range u.RemovedUpstreams {
		u.RemovedUpstreams[i] = pomelorelay.UpstreamID(d.name(m.GetGoneUpstreams()[i]))
	}
	u.RemovedPeers = d.nodes(m.GetGoneRouters())
	return u
}

func (d *decoder) upstreams(list []*pomelowire.Upstream) []pomelorelay.FleetUpstream {
	upstreams := make([]pomelorelay.FleetUpstream, d.listLength(len(list), maxListLength))
	for i := range upstreams {
		u := list[i]
		upstreams[i] = pomelorelay.FleetUpstream{
			ID: pomelorelay.UpstreamID(d.name(u.GetId())), Service: pomelorelay.ServiceID(d.name(u.GetService())), Addr: d.addr(u.GetAddress()),
			Domain: pomelorelay.DomainID(d.name(u.GetDomain())), Version: pomelorelay.SoftwareVersion(d.name(u.GetVersion())), Slots: pomelorelay.Slots(u.GetSlots()), Draining: u.GetDraining(), ColdRemaining: d.cold(u.GetCold()), StartUnixMilli: u.GetBorn(),
		}
	}
	return upstreams
}

func (d *decoder) addr(text string) netip.AddrPort {
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		d.fail("address is not IP:port")
	}
	return addr
}

func (d *decoder) fleetState(m *pomelowire.FleetState) pomelorelay.Message {
	return &pomelorelay.FleetState{
		Document: m.GetDocument(), Revision: pomelorelay.Revision(m.GetAt()), Upstreams: d.upstreams(m.GetUpstreams()), Peers: d.routers(m.GetRouters()),
		Evacuated: d.domains(m.GetEvacuated()), Crashes: d.crashes(m.GetCrashes()),
	}
}

func (d *decoder) crashes(list []*pomelowire.RequestCrash) []pomelorelay.RequestCrash {
	crashes := make([]pomelorelay.RequestCrash, d.listLength(len(list), maxListLength))
	for i := range crashes {
		c := list[i]
		crashes[i] = pomelorelay.RequestCrash{
			Fingerprint: pomelorelay.Fingerprint(c.GetFingerprint()), Upstream: pomelorelay.UpstreamID(d.name(c.GetUpstream())), StartUnixMilli: c.GetBorn(), UnixMilli: c.GetAt(),
			Repeated: c.GetRepeated(), Cleared: c.GetCleared(), Runs: c.GetRuns(), Part: c.GetPart(),
		}
	}
	return crashes
}

func (d *decoder) domains(list []string) []pomelorelay.DomainID {
	domains := make([]pomelorelay.DomainID, d.listLength(len(list), maxListLength))
	for i := range domains {
		domains[i] = pomelorelay.DomainID(d.name(list[i]))
	}
	return domains
}

func (d *decoder) routers(list []*pomelowire.Router) []pomelorelay.Peer {
	peers := make([]pomelorelay.Peer, d.listLength(len(list), maxListLength))
	for i := range peers {
		p := list[i]
		peers[i] = pomelorelay.Peer{
			Node: pomelorelay.NodeID(d.name(p.GetNode())), Addr: d.addr(p.GetAddress()), Domain: pomelorelay.DomainID(d.name(p.GetDomain())),
			Region: pomelorelay.RegionID(d.name(p.GetRegion())), CPUSpeed: d.finite(p.GetPower()),
		}
	}
	return peers
}
