package pomelomesh

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelomesh/pomelowire"
)

func encodeFleet(m pomelorelay.Message) *pomelowire.Item {
	switch m := m.(type) {
	case *pomelorelay.LoadReport:
		return &pomelowire.Item{Kind: &pomelowire.Item_LoadReport{LoadReport: encodeLoad(m)}}
	case *pomelorelay.LoadSummary:
		return &pomelowire.Item{Kind: &pomelowire.Item_LoadSummary{LoadSummary: encodeSummary(m)}}
	case *pomelorelay.FleetUpdate:
		return &pomelowire.Item{Kind: &pomelowire.Item_FleetUpdate{FleetUpdate: encodeUpdate(m)}}
	case *pomelorelay.StateAsk:
		return &pomelowire.Item{Kind: &pomelowire.Item_StateAsk{StateAsk: &pomelowire.StateAsk{Above: uint64(m.Above), Upstreams: m.Upstreams, Streams: m.Streams}}}
	case *pomelorelay.FleetState:
		return &pomelowire.Item{Kind: &pomelowire.Item_FleetState{FleetState: encodeState(m)}}
	case *pomelorelay.StreamState:
		return &pomelowire.Item{Kind: &pomelowire.Item_StreamState{StreamState: encodeStreamState(m)}}
	case *pomelorelay.CrashNotice:
		return &pomelowire.Item{Kind: &pomelowire.Item_CrashNotice{CrashNotice: &pomelowire.CrashNotice{Crashes: encodeCrashes(m.Crashes), Pending: encodeCrashes(m.Pending)}}}
	}
	return nil
}

func encodeSummary(m *pomelorelay.LoadSummary) *pomelowire.LoadSummary {
	w := &pomelowire.LoadSummary{Report: encodeLoad(m.Report)}
	w.Standby, w.Relays = encodeNodes(m.Standby), encodeNodes(m.Relays)
	return w
}

func encodeUpdate(m *pomelorelay.FleetUpdate) *pomelowire.FleetUpdate {
	w := &pomelowire.FleetUpdate{
		After: uint64(m.After), At: uint64(m.Revision), Whole: m.Full, Forwarded: m.Forwarded, Document: m.Document,
		Upstreams: encodeUpstreams(m.Upstreams), Routers: encodeRouters(m.Peers), Crashes: encodeCrashes(m.Crashes), ReadAt: m.ReadUnixMilli,
		Left: encodeVersions(m.VersionsPassed),
	}
	for _, id := range m.RemovedUpstreams {
		w.GoneUpstreams = append(w.GoneUpstreams, string(id))
	}
	w.GoneRouters = encodeNodes(m.RemovedPeers)
	w.Evacuated, w.Restored = encodeDomains(m.Evacuated), encodeDomains(m.RestoredDomains)
	return w
}

func encodeUpstreams(upstreams []pomelorelay.FleetUpstream) []*pomelowire.Upstream {
	var w []*pomelowire.Upstream
	for _, u := range upstreams {
		w = append(w, &pomelowire.Upstream{
			Id: string(u.ID), Service: string(u.Service), Address: u.Addr.String(), Domain: string(u.Domain),
			Version: string(u.Version), Slots: int32(u.Slots), Draining: u.Draining, Cold: encodeCold(u.ColdRemaining), Born: u.StartUnixMilli,
		})
	}
	return w
}

func encodeCold(left time.Duration) int64 {
	if left == pomelorelay.ColdUnknown {
		return -1
	}
	return left.Milliseconds()
}

func encodeState(m *pomelorelay.FleetState) *pomelowire.FleetState {
	return &pomelowire.FleetState{
		Document: m.Document, At: uint64(m.Revision), Upstreams: encodeUpstreams(m.Upstreams), Routers: encodeRouters(m.Peers), Evacuated: encodeDomains(m.Evacuated),
		Crashes: encodeCrashes(m.Crashes),
	}
}

func encodeCrashes(crashes []pomelorelay.RequestCrash) []*pomelowire.RequestCrash {
	var w []*pomelowire.RequestCrash
	for _, c := range crashes {
		w = append(w, &pomelowire.RequestCrash{
			Fingerprint: uint64(c.Fingerprint), Upstream: string(c.Upstream), Born: c.StartUnixMilli, At: c.UnixMilli, Repeated: c.Repeated, Cleared: c.Cleared,
			Runs: c.Runs, Part: c.Part,
		})
	}
	return w
}

func encodeStreams(origins []pomelorelay.StreamOrigin) []*pomelowire.StreamOrigin {
	var w []*pomelowire.StreamOrigin
	for _, o := range origins {
		w = append(w, &pomelowire.StreamOrigin{Stream: uint64(o.Stream), Version: string(o.Version), Left: uint32((o.TimeLeft + time.Second - 1) / time.Second), Upstream: uint32(o.Upstream)})
	}
	return w
}

func encodeStreamState(m *pomelorelay.StreamState) *pomelowire.StreamState {
	return &pomelowire.StreamState{Streams: encodeStreams(m.Streams), Left: encodeVersions(m.Versions), Known: m.KnownFor.Milliseconds(), At: uint64(m.Revision)}
}

func encodeVersions(versions []pomelorelay.VersionSeen) []*pomelowire.VersionLeft {
	var w []*pomelowire.VersionLeft
	for _, v := range versions {
		w = append(w, &pomelowire.VersionLeft{Service: string(v.Service), Version: string(v.Version), Ago: v.Ago.Milliseconds()})
	}
	return w
}

func encodeNodes(nodes []pomelorelay.NodeID) []string {
	var w []string
	for _, node := range nodes {
		w = append(w, string(node))
	}
	return w
}

func encodeDomains(domains []pomelorelay.DomainID) []string {
	var w []string
	for _, d := range domains {
		w = append(w, string(d))
	}
	return w
}

func encodeRouters(peers []pomelorelay.Peer) []*pomelowire.Router {
	var w []*pomelowire.Router
	for _, p := range peers {
		w = append(w, &pomelowire.Router{
			Node: string(p.Node), Address: p.Addr.String(), Domain: string(p.Domain), Region: string(p.Region), Power: p.CPUSpeed,
		})
	}
	return w
}

func encodeAnnounced(l *pomelorelay.UpstreamLoad) *pomelowire.AnnouncedLoad {
	f := l.Announced
	if !f.Known() {
		return nil
	}
	return &pomelowire.AnnouncedLoad{
		Running: uint32(f.Running), Waiting: uint32(f.Waiting), Slots: uint32(f.Slots), Slowness: uint32(f.SlownessPercent), Age: l.AnnouncedAge.Milliseconds(),
		Born: l.AnnouncedStart,
	}
}

// encodeUpstreamLoads allocates all entries at once; each report and summary has up to one for each upstream.
func encodeUpstreamLoads(loads []pomelorelay.UpstreamLoad) []*pomelowire.UpstreamLoad {
	if len(loads) == 0 {
		return nil
	}
	entries, w := make([]pomelowire.UpstreamLoad, len(loads)), make([]*pomelowire.UpstreamLoad, len(loads))
	for i := range loads {
		u, e := &loads[i], &entries[i]
		e.Upstream, e.Running = string(u.Upstream), u.Running
		e.Unread, e.Held, e.Sent = int64(u.PendingPrefill), int64(u.KVTokens), int64(u.PromptTokensSent)
		e.Expected, e.Took = u.FirstTokenExpected.Milliseconds(), u.FirstTokenMeasured.Milliseconds()
		e.Requests, e.Announced = u.RequestsSent, encodeAnnounced(u)
		w[i] = e
	}
	return w
}

func encodeLoad(m *pomelorelay.LoadReport) *pomelowire.LoadReport {
	w := &pomelowire.LoadReport{Seq: m.Seq, Whole: m.Full, Limited: m.Limited, Applied: uint64(m.Applied)}
	w.Upstreams = encodeUpstreamLoads(m.Upstreams)
	for _, a := range m.Accounts {
		w.Accounts = append(w.Accounts, &pomelowire.AccountUse{Account: string(a.Account), Asked: uint64(a.Requested), Served: uint64(a.Served)})
	}
	for _, p := range m.Parts {
		w.Parts = append(w.Parts, &pomelowire.PartPlaced{Upstream: string(p.Upstream), Hash: p.Hash, Tokens: int64(p.Tokens)})
	}
	for _, id := range m.Leaving {
		w.Leaving = append(w.Leaving, string(id))
	}
	w.Streams = encodeStreams(m.Streams)
	for _, s := range m.Starts {
		w.Starts = append(w.Starts, &pomelowire.UpstreamStart{Upstream: string(s.Upstream), Unreached: s.Unreachable, Cold: s.ColdRemaining.Milliseconds()})
	}
	for _, s := range m.Speeds {
		w.Speeds = append(w.Speeds, &pomelowire.SpeedSums{
			Service: string(s.Service), Answers: s.Answers, Weight: s.WeightSum, Read: s.TokenSum, Took: s.TimeSum, ReadRead: s.TokenSquareSum, ReadTook: s.TokenTimeSum, Beside: s.DuringPrefill, Paused: s.Stalled, Copied: s.CopiedTokens, CopyTook: s.CopyTimeTokens,
		})
	}
	return w
}
