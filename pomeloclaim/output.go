package pomeloclaim

import "github.com/pomelorelay/pomelorelay"

// OpID numbers a store operation of one Keeper.
type OpID uint64

// StoreOp is a store operation that a Keeper wants carried out; a nil Value means a Get, otherwise a CompareAndSwap.
type StoreOp struct {
	ID    OpID
	Key   pomelorelay.StoreKey
	Value []byte
	ExpectedRevision   pomelorelay.Revision
}

// StoreResult is what a store operation returned: the record of a Get, the revision of a CompareAndSwap, or an error
// with CodeStoreConflict, CodeStoreUnavailable or CodeStoreUnknown. Another error of a CompareAndSwap counts as
// unknown. Every operation must get a result, by a timeout of the node's if need be.
type StoreResult struct {
	ID       OpID
	Record   pomelorelay.Record
	Revision pomelorelay.Revision
	Err      error
}

// Verdict is an Asker's answer to a claim that was asked for.
type Verdict struct {
	Key     pomelorelay.ClaimKey
	Nonce   pomelorelay.ClaimNonce
	State   pomelorelay.ClaimState
	Outcome pomelorelay.ClaimOutcome
}

// Output collects what a decision part wants done; the caller empties it.
type Output struct {
	Messages []pomelorelay.Outgoing
	StoreOps    []StoreOp
	Verdicts []Verdict
}

func (o *Output) send(to pomelorelay.NodeID, m pomelorelay.Message) {
	o.Messages = append(o.Messages, pomelorelay.Outgoing{To: to, Message: m})
}
