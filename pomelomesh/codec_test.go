package pomelomesh_test

import (
	"bytes"
	"math"
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelomesh"
	"github.com/pomelorelay/pomelorelay/pomelomesh/pomelowire"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

func samples() []pomelorelay.Message {
	entries := []pomelorelay.LedgerEntry{
		{Pool: "assistant/small", Account: "oficina-1", Served: 12.5, Lift: 3, Waiting: true},
		{Pool: "assistant/small", Account: "oficina-2", Served: 4},
	}
	outcome := pomelorelay.ClaimOutcome{Status: 201, ContentType: "application/json", Body: []byte("{}")}
	crashes := []pomelorelay.RequestCrash{{Fingerprint: 5, Upstream: "u", StartUnixMilli: 77, UnixMilli: 99, Repeated: true, Cleared: true, Runs: 9, Part: true}}
	key, nonce := pomelorelay.ClaimKey{1, 2}, pomelorelay.ClaimNonce{3}
	return []pomelorelay.Message{
		&pomelorelay.Demand{Upstream: "u", Pool: "p", Seq: 7, HeadTag: -1.5, Waiting: 3, Prefixes: []uint64{1, math.MaxUint64}},
		&pomelorelay.Grant{ID: 9, Upstream: "u", Pool: "p", TTL: time.Second, LastGrantedTag: 2},
		&pomelorelay.GrantReply{ID: 9, Upstream: "u", State: pomelorelay.GrantReturned, Seq: 8, Head: 1, Waiting: 1, FirstToken: time.Second, TokenGap: time.Millisecond},
		&pomelorelay.RunningQuery{Upstream: "u"},
		&pomelorelay.RunningReport{Upstream: "u", Grants: []pomelorelay.GrantID{1, 2}, Running: 2},
		&pomelorelay.LedgerReport{Shard: 3, Seq: 4, Full: true, Entries: entries, Interest: []pomelorelay.LedgerKey{{Pool: "p", Account: "a"}}, Round: 2},
		&pomelorelay.LedgerTotals{Shard: 3, Ready: true, Entries: entries, Seq: 4},
		&pomelorelay.LedgerQuery{Shard: 3, Round: 2},
		&pomelorelay.LedgerComponent{Shard: 3, Domain: "a", Full: true, Entries: []pomelorelay.LedgerComponentEntry{{Pool: "p", Account: "a", Served: 2, Departed: 1, Lift: 5, Waiting: true}}},
		&pomelorelay.LedgerComponentQuery{Shard: 3},
		&pomelorelay.Digest{
			Seq: 1, Members: []pomelorelay.MemberState{{Node: "r1", Incarnation: 5, Status: pomelorelay.MemberSuspect}},
			Slots:   []pomelorelay.SlotDigest{{Upstream: "u", Pool: "p", Owner: "r1", Domain: "a", LastTag: 4, Idle: 1, Limit: 8, Leaving: true}},
			Reached: []pomelorelay.DomainID{"b"},
		},
		&pomelorelay.Probe{Seq: 1, Target: "r2"},
		&pomelorelay.ProbeAck{Seq: 1, Target: "r2"},
		&pomelorelay.ConfigPull{AboveGeneration: 3, Parts: []pomelorelay.Hash{{1}, {2}}},
		&pomelorelay.ConfigPush{Root: []byte("root"), Parts: [][]byte{[]byte("part")}},
		&pomelorelay.ConfigApplied{Generation: 3, RefusedGeneration: 4, RefusalCode: pomelorelay.CodeMeshMalformed},
		&pomelorelay.ClaimAsk{Shard: 1, Key: key, Nonce: nonce, Content: 77},
		&pomelorelay.ClaimAnswer{Shard: 1, Key: key, Nonce: nonce, State: pomelorelay.ClaimDone, Outcome: outcome},
		&pomelorelay.ClaimSettle{Shard: 1, Key: key, Nonce: nonce, Released: true, State: pomelorelay.ClaimUnknown, Outcome: outcome},
		&pomelorelay.ClaimSettled{Shard: 1, Key: key, Nonce: nonce},
		&pomelorelay.SuspectNotice{Upstream: "u", CrashSeq: 2, Fingerprints: []pomelorelay.Fingerprint{1, 2}},
		&pomelorelay.SuspectAsk{Request: 1, Fingerprint: 2, Upstream: "u"},
		&pomelorelay.SuspectAnswer{Request: 1, Fingerprint: 2, Allowed: true, Quarantined: true, Wait: time.Second},
		&pomelorelay.SuspectCleared{Fingerprint: 2, Upstream: "u"},
		&pomelorelay.QuarantineNotice{Fingerprint: 2, Seq: 3, Duration: time.Minute},
		&pomelorelay.LeavingNotice{Upstream: "u"},
		&pomelorelay.Farewell{Incarnation: 6},
		&pomelorelay.LoadReport{
			Seq: 9, Full: true,
			Upstreams: []pomelorelay.UpstreamLoad{{Upstream: "u", Running: 3, PendingPrefill: 4000, KVTokens: 9000, PromptTokensSent: 70000, FirstTokenExpected: 3 * time.Second, FirstTokenMeasured: 2500 * time.Millisecond, RequestsSent: 12,
				Announced: pomelorelay.UpstreamFigures{Running: 5, Waiting: 1, Slots: 12, SlownessPercent: 250}, AnnouncedAge: 35 * time.Millisecond, AnnouncedStart: 1700000000000}}, Limited: true, Applied: 4321,
			Accounts: []pomelorelay.AccountUse{{Account: "a", Requested: 12, Served: 7}},
			Parts:    []pomelorelay.PromptPartPlaced{{Upstream: "u", Hash: 0x5c1e07a2, Tokens: 800}},
			Leaving:  []pomelorelay.UpstreamID{"v"},
			Starts:   []pomelorelay.UpstreamStart{{Upstream: "u", Unreachable: true}, {Upstream: "v", ColdRemaining: 3 * time.Second}},
			Streams:  []pomelorelay.StreamOrigin{{Stream: 4711, Version: "v1.2", Upstream: 0x5eed, TimeLeft: 12 * time.Second}},
			Speeds:   []pomelorelay.SpeedSums{{Service: "s", Answers: 7, WeightSum: 0.25, TokenSum: 900, TimeSum: 7.5, TokenSquareSum: 1e8, TokenTimeSum: 2e5, DuringPrefill: 20, Stalled: 3, CopiedTokens: 5000, CopyTimeTokens: 12.5}},
		},
		&pomelorelay.LoadSummary{Standby: []pomelorelay.NodeID{"r1"}, Relays: []pomelorelay.NodeID{"r4"}, Report: &pomelorelay.LoadReport{
			Seq: 2, Applied: 4320, Upstreams: []pomelorelay.UpstreamLoad{{Upstream: "u", Running: 1}}, Accounts: []pomelorelay.AccountUse{},
			Parts: []pomelorelay.PromptPartPlaced{}, Leaving: []pomelorelay.UpstreamID{}, Speeds: []pomelorelay.SpeedSums{}, Starts: []pomelorelay.UpstreamStart{}, Streams: []pomelorelay.StreamOrigin{},
		}},
		&pomelorelay.FleetUpdate{
			After: 9, Revision: 12, Full: true, Forwarded: true, Document: []byte("{}"), RemovedUpstreams: []pomelorelay.UpstreamID{"v"}, RemovedPeers: []pomelorelay.NodeID{"r2"},
			Evacuated: []pomelorelay.DomainID{"b"}, RestoredDomains: []pomelorelay.DomainID{"c"}, Crashes: crashes, ReadUnixMilli: 1_700_000_000_123, VersionsPassed: []pomelorelay.VersionSeen{{Service: "s", Version: "v0"}},
			Upstreams: []pomelorelay.FleetUpstream{{ID: "u", Service: "s", Addr: netip.MustParseAddrPort("10.0.0.1:80"), Domain: "a", Slots: 6, Version: "v1", Draining: true, ColdRemaining: time.Second, StartUnixMilli: 77}},
			Peers:     []pomelorelay.Peer{{Node: "r1", Addr: netip.MustParseAddrPort("10.0.0.2:80"), Domain: "a", Region: "ra", CPUSpeed: 0.4}},
		},
		&pomelorelay.StateAsk{Above: 7, Upstreams: true, Streams: true},
		&pomelorelay.StreamState{
			Streams: []pomelorelay.StreamOrigin{{Stream: 4711, Version: "v1.2", Upstream: 0x5eed, TimeLeft: 12 * time.Second}}, KnownFor: 40 * time.Second,
			Versions: []pomelorelay.VersionSeen{{Service: "s", Version: "v1", Ago: 3 * time.Second}}, Revision: 12,
		},
		&pomelorelay.FleetState{
			Evacuated: []pomelorelay.DomainID{"b"}, Crashes: crashes,
			Document: []byte("{}"), Revision: 12,
			Upstreams: []pomelorelay.FleetUpstream{{ID: "u", Service: "s", Addr: netip.MustParseAddrPort("10.0.0.1:80"), Domain: "a", Slots: 6}},
			Peers:     []pomelorelay.Peer{{Node: "r1", Addr: netip.MustParseAddrPort("10.0.0.2:80"), Domain: "a", Region: "ra", CPUSpeed: 0.4}},
		},
		&pomelorelay.CrashNotice{Crashes: crashes, Pending: crashes},
	}
}

func TestEveryKindRoundTrips(t *testing.T) {
	kinds := (&pomelowire.Item{}).ProtoReflect().Descriptor().Fields().Len()
	if len(samples()) != kinds {
		t.Fatalf("%d samples for %d kinds", len(samples()), kinds)
	}
	for _, sent := range samples() {
		data, err := pomelomesh.EncodeMessage(sent)
		if err != nil {
			t.Fatalf("%T: %v", sent, err)
		}
		arrived, err := pomelomesh.DecodeMessage(data)
		if err != nil {
			t.Fatalf("%T: %v", sent, err)
		}
		if !reflect.DeepEqual(sent, arrived) {
			t.Errorf("sent %+v, decoded %+v", sent, arrived)
		}
	}
}

func TestDecodeRejectsOutOfRangeValues(t *testing.T) {
	// A faulty or hostile peer may send values that no router produces; if accepted, they would corrupt ledger totals
	// permanently or exhaust memory.
	entry := func(e *pomelowire.LedgerEntry) *pomelowire.Item {
		return &pomelowire.Item{Kind: &pomelowire.Item_LedgerReport{LedgerReport: &pomelowire.LedgerReport{Names: []string{"p"}, Entries: []*pomelowire.LedgerEntry{e}}}}
	}
	many := make([]*pomelowire.LedgerEntry, 8193)
	for i := range many {
		many[i] = &pomelowire.LedgerEntry{}
	}
	cases := map[string]*pomelowire.Item{
		"infinite cost":     entry(&pomelowire.LedgerEntry{Served: math.Inf(1)}),
		"not a number":      entry(&pomelowire.LedgerEntry{Lift: math.NaN()}),
		"negative cost":     entry(&pomelowire.LedgerEntry{Served: -1}),
		"name index":        entry(&pomelowire.LedgerEntry{Pool: 1}),
		"long name":         entry(&pomelowire.LedgerEntry{Account: strings.Repeat("a", 257)}),
		"short hash":        {Kind: &pomelowire.Item_ClaimAsk{ClaimAsk: &pomelowire.ClaimAsk{Key: []byte{1}, Nonce: make([]byte, 16)}}},
		"unknown state":     {Kind: &pomelowire.Item_Digest{Digest: &pomelowire.Digest{Members: []*pomelowire.MemberState{{Node: "r", Status: 9}}}}},
		"negative duration": {Kind: &pomelowire.Item_Grant{Grant: &pomelowire.Grant{Ttl: -1}}},
		"too many entries":  {Kind: &pomelowire.Item_LedgerReport{LedgerReport: &pomelowire.LedgerReport{Names: []string{"p"}, Entries: many}}},
		"large value":       {Kind: &pomelowire.Item_ConfigPush{ConfigPush: &pomelowire.ConfigPush{Root: make([]byte, 2<<20+1)}}},
	}
	for name, item := range cases {
		data, err := proto.Marshal(item)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := pomelomesh.DecodeMessage(data); !pomelorelay.IsErrCode(err, pomelorelay.CodeMeshMalformed) {
			t.Errorf("%s: got %v, want CodeMeshMalformed", name, err)
		}
	}
}

func TestManyEmptyEntriesAreRejectedBeforeDecoding(t *testing.T) {
	// Two million empty entries take four megabytes on the wire and several hundred megabytes when decoded; the router
	// would be killed for its memory use.
	entries := bytes.Repeat([]byte{5<<3 | 2, 0}, 2_000_000)
	data := protowire.AppendBytes(protowire.AppendTag(nil, 6, protowire.BytesType), entries)
	allocated := testing.AllocsPerRun(1, func() {
		if _, err := pomelomesh.DecodeMessage(data); !pomelorelay.IsErrCode(err, pomelorelay.CodeMeshMalformed) {
			t.Errorf("got %v, want CodeMeshMalformed", err)
		}
	})
	if allocated > 100 {
		t.Errorf("%v allocations before the rejection", allocated)
	}
}

func FuzzDecodeMessage(f *testing.F) {
	for _, m := range samples() {
		data, err := pomelomesh.EncodeMessage(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := pomelomesh.DecodeMessage(data)
		if err != nil {
			if code := pomelorelay.CodeOf(err); code != pomelorelay.CodeMeshMalformed && code != pomelorelay.CodeMeshUnknownKind {
				t.Fatalf("unexpected code %d", code)
			}
			return
		}
		again, err := pomelomesh.EncodeMessage(m)
		if err != nil {
			t.Fatalf("cannot encode the decoded message: %v", err)
		}
		second, err := pomelomesh.DecodeMessage(again)
		if err != nil {
			t.Fatal(err)
		}
		third, err := pomelomesh.EncodeMessage(second)
		if err != nil || !bytes.Equal(again, third) {
			t.Fatalf("re-encoding differs: %x %x %v", again, third, err)
		}
	})
}

func TestDigestContainsSenderNameOnce(t *testing.T) {
	digest := func(owner pomelorelay.NodeID) *pomelorelay.Digest {
		return &pomelorelay.Digest{
			Members: []pomelorelay.MemberState{{Node: "a-router-with-a-name", Incarnation: 5, Status: pomelorelay.MemberAlive}},
			Slots:   []pomelorelay.SlotDigest{{Upstream: "u", Pool: "p", Owner: owner, Domain: "a", Limit: 8}, {Upstream: "v", Pool: "p", Domain: "a"}},
			Reached: []pomelorelay.DomainID{},
		}
	}
	lengths := make(map[pomelorelay.NodeID]int)
	for _, owner := range []pomelorelay.NodeID{"a-router-with-a-name", "b-router-with-a-name", ""} {
		data, err := pomelomesh.EncodeMessage(digest(owner))
		if err != nil {
			t.Fatal(err)
		}
		lengths[owner] = len(data)
		if got, err := pomelomesh.DecodeMessage(data); err != nil || !reflect.DeepEqual(got, digest(owner)) {
			t.Errorf("%q: decoded as %+v, %v", owner, got, err)
		}
	}
	if lengths["a-router-with-a-name"] >= lengths["b-router-with-a-name"] {
		t.Errorf("lengths %v: the sender's name was sent twice", lengths)
	}
}

// A faulty router reports figures that no valid load header has. Guards against using them, and against losing the rest of its report.
func TestAnnouncedLoadOutOfRangeIsDropped(t *testing.T) {
	const maxCount = 1 << 20
	for _, c := range []struct {
		figures pomelorelay.UpstreamFigures
		valid   bool
	}{
		{pomelorelay.UpstreamFigures{Running: maxCount, Waiting: maxCount, Slots: maxCount, SlownessPercent: 10_000}, true},
		{pomelorelay.UpstreamFigures{Slots: 1}, true},
		{pomelorelay.UpstreamFigures{Running: maxCount + 1, Slots: 1}, false},
		{pomelorelay.UpstreamFigures{Waiting: maxCount + 1, Slots: 1}, false},
		{pomelorelay.UpstreamFigures{Slots: maxCount + 1}, false},
		{pomelorelay.UpstreamFigures{Slots: 1, SlownessPercent: 10_001}, false},
	} {
		data, err := pomelomesh.EncodeMessage(&pomelorelay.LoadReport{Upstreams: []pomelorelay.UpstreamLoad{{Upstream: "u", Running: 3, Announced: c.figures}}})
		if err != nil {
			t.Fatal(err)
		}
		m, err := pomelomesh.DecodeMessage(data)
		if err != nil {
			t.Fatalf("%+v: %v", c.figures, err)
		}
		want := pomelorelay.UpstreamFigures{}
		if c.valid {
			want = c.figures
		}
		if l := m.(*pomelorelay.LoadReport).Upstreams[0]; l.Announced != want || l.Running != 3 {
			t.Errorf("decoded %+v with %d running, want %+v with 3", l.Announced, l.Running, want)
		}
	}
}
