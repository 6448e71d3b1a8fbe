package pomeloclaim

import "github.com/pomelorelay/pomelorelay"

// OpID identifies a store operation of one Keeper.
type OpID uint64

// StoreOp is a store operation requested by a Keeper: a Get when Value is nil, otherwise a CompareAndSwap.
type StoreOp struct {
	ID               OpID
	Key              pomelorelay.StoreKey
	Value            []byte
	ExpectedRevision pomelorelay.Revision
}

// StoreResult is the result of a StoreOp: the record of a Get, the revision of a CompareAndSwap, or an error with
// CodeStoreConflict, CodeStoreUnavailable or CodeStoreUnknown. After any other error, a CompareAndSwap may have taken
// effect. Every operation needs a result, so the caller must apply a timeout.
type StoreResult struct {
	ID       OpID
	Record   pomelorelay.Record
	Revision pomelorelay.Revision
	Err      error
}

// Verdict is the decision on a requested claim.
type Verdict struct {
	Key     pomelorelay.ClaimKey
	Nonce   pomelorelay.ClaimNonce
	State   pomelorelay.ClaimState
	Outcome pomelorelay.ClaimOutcome
}

// Output collects the messages, store operations and verdicts of a call; the caller handles and clears them.
type Output struct {
	Messages []pomelorelay.Outgoing
	StoreOps []StoreOp
	Verdicts []Verdict
}

func (o *Output) send(to pomelorelay.NodeID, m pomelorelay.Message) {
	o.Messages = append(o.Messages, pomelorelay.Outgoing{To: to, Message: m})
}
