package pomelomesh

import (
	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelomesh/pomelowire"
)

func (d *decoder) configPull(m *pomelowire.ConfigPull) pomelorelay.Message {
	parts := make([]pomelorelay.Hash, d.listLength(len(m.GetParts()), maxListLength))
	for i := range parts {
		d.copyFixed(parts[i][:], m.GetParts()[i])
	}
	return &pomelorelay.ConfigPull{AboveGeneration: pomelorelay.Generation(m.GetAbove()), Parts: parts}
}

func (d *decoder) configPush(m *pomelowire.ConfigPush) pomelorelay.Message {
	d.listLength(len(m.GetParts()), maxListLength)
	for _, part := range m.GetParts() {
		d.bytes(part, maxValueBytes)
	}
	return &pomelorelay.ConfigPush{Root: d.bytes(m.GetRoot(), maxValueBytes), Parts: m.GetParts()}
}

func (d *decoder) claimAsk(m *pomelowire.ClaimAsk) pomelorelay.Message {
	ask := &pomelorelay.ClaimAsk{Shard: pomelorelay.ShardID(m.GetShard()), Content: pomelorelay.Fingerprint(m.GetContent())}
	d.copyFixed(ask.Key[:], m.GetKey())
	d.copyFixed(ask.Nonce[:], m.GetNonce())
	return ask
}

func (d *decoder) claimAnswer(m *pomelowire.ClaimAnswer) pomelorelay.Message {
	answer := &pomelorelay.ClaimAnswer{Shard: pomelorelay.ShardID(m.GetShard()), State: d.claimState(m.GetState()), Outcome: d.outcome(m.GetOutcome())}
	d.copyFixed(answer.Key[:], m.GetKey())
	d.copyFixed(answer.Nonce[:], m.GetNonce())
	return answer
}

func (d *decoder) claimSettle(m *pomelowire.ClaimSettle) pomelorelay.Message {
	settle := &pomelorelay.ClaimSettle{
		Shard: pomelorelay.ShardID(m.GetShard()), Released: m.GetReleased(), State: d.claimState(m.GetState()), Outcome: d.outcome(m.GetOutcome()),
	}
	d.copyFixed(settle.Key[:], m.GetKey())
	d.copyFixed(settle.Nonce[:], m.GetNonce())
	return settle
}

func (d *decoder) claimSettled(m *pomelowire.ClaimSettled) pomelorelay.Message {
	settled := &pomelorelay.ClaimSettled{Shard: pomelorelay.ShardID(m.GetShard())}
	d.copyFixed(settled.Key[:], m.GetKey())
	d.copyFixed(settled.Nonce[:], m.GetNonce())
	return settled
}

func (d *decoder) claimState(state int32) pomelorelay.ClaimState {
	return pomelorelay.ClaimState(d.enumValue(state, 0, int32(pomelorelay.ClaimConflict)))
}

func (d *decoder) outcome(m *pomelowire.ClaimOutcome) pomelorelay.ClaimOutcome {
	return pomelorelay.ClaimOutcome{
		Status: int(m.GetStatus()), ContentType: d.name(m.GetContentType()), Body: d.bytes(m.GetBody(), maxValueBytes), Truncated: m.GetTruncated(),
	}
}
