package pomelomesh

import (
	"fmt"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelomesh/pomelowire"

	"google.golang.org/protobuf/proto"
)

// EncodeMessage returns the wire encoding of a message; it fails with CodeMeshMalformed if receivers would reject it.
func EncodeMessage(m pomelorelay.Message) ([]byte, error) {
	item := encodeItem(m)
	if item == nil {
		return nil, malformed(fmt.Sprintf("no encoding for message type %T", m))
	}
	if err := checkItem(item); err != nil {
		return nil, err
	}
	data, err := proto.Marshal(item)
	if err != nil {
		return nil, pomelorelay.NewError(pomelorelay.CodeMeshMalformed, "cannot encode message", err)
	}
	if len(data) > maxItemBytes {
		return nil, malformed("message is too large")
	}
	return data, nil
}

func checkItem(item *pomelowire.Item) error {
	_, err := decodeItem(item)
	return err
}

func encodeItem(m pomelorelay.Message) *pomelowire.Item {
	switch m := m.(type) {
	case *pomelorelay.Demand, *pomelorelay.Grant, *pomelorelay.GrantReply, *pomelorelay.RunningQuery, *pomelorelay.RunningReport, *pomelorelay.LeavingNotice:
		return encodeSlots(m)
	case *pomelorelay.LedgerReport, *pomelorelay.LedgerTotals, *pomelorelay.LedgerQuery, *pomelorelay.LedgerComponent, *pomelorelay.LedgerComponentQuery:
		return encodeLedger(m)
	case *pomelorelay.Digest, *pomelorelay.Probe, *pomelorelay.ProbeAck, *pomelorelay.Farewell:
		return encodeMember(m)
	case *pomelorelay.ConfigPull, *pomelorelay.ConfigPush, *pomelorelay.ConfigApplied:
		return encodeConfig(m)
	case *pomelorelay.LoadReport, *pomelorelay.LoadSummary, *pomelorelay.FleetUpdate, *pomelorelay.StateAsk, *pomelorelay.FleetState, *pomelorelay.StreamState, *pomelorelay.CrashNotice:
		return encodeFleet(m)
	case *pomelorelay.ClaimAsk, *pomelorelay.ClaimAnswer, *pomelorelay.ClaimSettle, *pomelorelay.ClaimSettled:
		return encodeClaim(m)
	default:
		return encodeSuspect(m)
	}
}

func encodeSlots(m pomelorelay.Message) *pomelowire.Item {
	switch m := m.(type) {
	case *pomelorelay.Demand:
		return &pomelowire.Item{Kind: &pomelowire.Item_Demand{Demand: &pomelowire.Demand{
			Upstream: string(m.Upstream), Pool: string(m.Pool), Seq: m.Seq, Head: float64(m.HeadTag), Waiting: m.Waiting, Prefixes: m.Prefixes,
		}}}
	case *pomelorelay.Grant:
		return &pomelowire.Item{Kind: &pomelowire.Item_Grant{Grant: &pomelowire.Grant{
			Id: uint64(m.ID), Upstream: string(m.Upstream), Pool: string(m.Pool), Ttl: int64(m.TTL), LastTag: float64(m.LastGrantedTag),
		}}}
	case *pomelorelay.GrantReply:
		return &pomelowire.Item{Kind: &pomelowire.Item_GrantReply{GrantReply: &pomelowire.GrantReply{
			Id: uint64(m.ID), Upstream: string(m.Upstream), State: int32(m.State), Seq: m.Seq, Head: float64(m.Head), Waiting: m.Waiting,
			FirstToken: int64(m.FirstToken), TokenGap: int64(m.TokenGap),
		}}}
	case *pomelorelay.RunningQuery:
		return &pomelowire.Item{Kind: &pomelowire.Item_RunningQuery{RunningQuery: &pomelowire.RunningQuery{Upstream: string(m.Upstream)}}}
	case *pomelorelay.RunningReport:
		grants := make([]uint64, len(m.Grants))
		for i, id := range m.Grants {
			grants[i] = uint64(id)
		}
		return &pomelowire.Item{Kind: &pomelowire.Item_RunningReport{RunningReport: &pomelowire.RunningReport{
			Upstream: string(m.Upstream), Grants: grants, Running: m.Running,
		}}}
	case *pomelorelay.LeavingNotice:
		return &pomelowire.Item{Kind: &pomelowire.Item_LeavingNotice{LeavingNotice: &pomelowire.LeavingNotice{Upstream: string(m.Upstream)}}}
	}
	return nil
}

func encodeMember(m pomelorelay.Message) *pomelowire.Item {
	switch m := m.(type) {
	case *pomelorelay.Digest:
		return &pomelowire.Item{Kind: &pomelowire.Item_Digest{Digest: encodeDigest(m)}}
	case *pomelorelay.Probe:
		return &pomelowire.Item{Kind: &pomelowire.Item_Probe{Probe: &pomelowire.Probe{Seq: m.Seq, Target: string(m.Target)}}}
	case *pomelorelay.ProbeAck:
		return &pomelowire.Item{Kind: &pomelowire.Item_ProbeAck{ProbeAck: &pomelowire.ProbeAck{Seq: m.Seq, Target: string(m.Target)}}}
	case *pomelorelay.Farewell:
		return &pomelowire.Item{Kind: &pomelowire.Item_Farewell{Farewell: &pomelowire.Farewell{Incarnation: uint64(m.Incarnation)}}}
	}
	return nil
}

func encodeDigest(m *pomelorelay.Digest) *pomelowire.Digest {
	// The first member is the sender, which is also the Owner of most slot digests. Its name is implied as index 0 of the table of
	// names and not sent again.
	var names nameTable
	if len(m.Members) > 0 {
		names.index(string(m.Members[0].Node))
	}
	implied := len(names.list)
	d := &pomelowire.Digest{Seq: m.Seq}
	for _, state := range m.Members {
		d.Members = append(d.Members, &pomelowire.MemberState{Node: string(state.Node), Incarnation: uint64(state.Incarnation), Status: int32(state.Status)})
	}
	for _, slot := range m.Slots {
		d.Slots = append(d.Slots, &pomelowire.SlotDigest{
			Upstream: string(slot.Upstream), Pool: names.index(string(slot.Pool)), Owner: names.index(string(slot.Owner)), Domain: names.index(string(slot.Domain)),
			LastTag: float64(slot.LastTag), Idle: int32(slot.Idle), Limit: int32(slot.Limit), Leaving: slot.Leaving,
		})
	}
	for _, domain := range m.Reached {
		d.Reached = append(d.Reached, string(domain))
	}
	d.Names = names.list[implied:]
	return d
}

func encodeConfig(m pomelorelay.Message) *pomelowire.Item {
	switch m := m.(type) {
	case *pomelorelay.ConfigPull:
		parts := make([][]byte, len(m.Parts))
		for i := range m.Parts {
			parts[i] = m.Parts[i][:]
		}
		return &pomelowire.Item{Kind: &pomelowire.Item_ConfigPull{ConfigPull: &pomelowire.ConfigPull{Above: uint64(m.AboveGeneration), Parts: parts}}}
	case *pomelorelay.ConfigPush:
		return &pomelowire.Item{Kind: &pomelowire.Item_ConfigPush{ConfigPush: &pomelowire.ConfigPush{Root: m.Root, Parts: m.Parts}}}
	case *pomelorelay.ConfigApplied:
		return &pomelowire.Item{Kind: &pomelowire.Item_ConfigApplied{ConfigApplied: &pomelowire.ConfigApplied{
			Generation: uint64(m.Generation), Refused: uint64(m.RefusedGeneration), Code: int32(m.RefusalCode),
		}}}
	}
	return nil
}

func encodeClaim(m pomelorelay.Message) *pomelowire.Item {
	switch m := m.(type) {
	case *pomelorelay.ClaimAsk:
		return &pomelowire.Item{Kind: &pomelowire.Item_ClaimAsk{ClaimAsk: &pomelowire.ClaimAsk{
			Shard: uint32(m.Shard), Key: m.Key[:], Nonce: m.Nonce[:], Content: uint64(m.Content),
		}}}
	case *pomelorelay.ClaimAnswer:
		return &pomelowire.Item{Kind: &pomelowire.Item_ClaimAnswer{ClaimAnswer: &pomelowire.ClaimAnswer{
			Shard: uint32(m.Shard), Key: m.Key[:], Nonce: m.Nonce[:], State: int32(m.State), Outcome: encodeOutcome(&m.Outcome),
		}}}
	case *pomelorelay.ClaimSettle:
		return &pomelowire.Item{Kind: &pomelowire.Item_ClaimSettle{ClaimSettle: &pomelowire.ClaimSettle{
			Shard: uint32(m.Shard), Key: m.Key[:], Nonce: m.Nonce[:], Released: m.Released, State: int32(m.State), Outcome: encodeOutcome(&m.Outcome),
		}}}
	case *pomelorelay.ClaimSettled:
		return &pomelowire.Item{Kind: &pomelowire.Item_ClaimSettled{ClaimSettled: &pomelowire.ClaimSettled{
			Shard: uint32(m.Shard), Key: m.Key[:], Nonce: m.Nonce[:],
		}}}
	}
	return nil
}

func encodeOutcome(o *pomelorelay.ClaimOutcome) *pomelowire.ClaimOutcome {
	if o.Status == 0 && o.ContentType == "" && o.Body == nil && !o.Truncated {
		return nil
	}
	return &pomelowire.ClaimOutcome{Status: int32(o.Status), ContentType: o.ContentType, Body: o.Body, Truncated: o.Truncated}
}

func encodeSuspect(m pomelorelay.Message) *pomelowire.Item {
	switch m := m.(type) {
	case *pomelorelay.SuspectNotice:
		fingerprints := make([]uint64, len(m.Fingerprints))
		for i, fingerprint := range m.Fingerprints {
			fingerprints[i] = uint64(fingerprint)
		}
		return &pomelowire.Item{Kind: &pomelowire.Item_SuspectNotice{SuspectNotice: &pomelowire.SuspectNotice{
			Upstream: string(m.Upstream), Crash: m.CrashSeq, Fingerprints: fingerprints,
		}}}
	case *pomelorelay.SuspectAsk:
		return &pomelowire.Item{Kind: &pomelowire.Item_SuspectAsk{SuspectAsk: &pomelowire.SuspectAsk{
			Request: uint64(m.Request), Fingerprint: uint64(m.Fingerprint), Upstream: string(m.Upstream), Running: m.Running,
		}}}
	case *pomelorelay.SuspectAnswer:
		return &pomelowire.Item{Kind: &pomelowire.Item_SuspectAnswer{SuspectAnswer: &pomelowire.SuspectAnswer{
			Request: uint64(m.Request), Fingerprint: uint64(m.Fingerprint), Allowed: m.Allowed, Quarantined: m.Quarantined, Wait: int64(m.Wait),
			Upstream: string(m.Upstream),
		}}}
	case *pomelorelay.SuspectCleared:
		return &pomelowire.Item{Kind: &pomelowire.Item_SuspectCleared{SuspectCleared: &pomelowire.SuspectCleared{
			Fingerprint: uint64(m.Fingerprint), Upstream: string(m.Upstream), Clean: m.Clean,
		}}}
	case *pomelorelay.QuarantineNotice:
		return &pomelowire.Item{Kind: &pomelowire.Item_QuarantineNotice{QuarantineNotice: &pomelowire.QuarantineNotice{
			Fingerprint: uint64(m.Fingerprint), Seq: m.Seq, For: int64(m.Duration), Upstream: string(m.Upstream),
		}}}
	}
	return nil
}
