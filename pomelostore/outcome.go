package pomelostore

import (
	"context"

	"github.com/pomelorelay/pomelorelay"
)

// WriteOutcome is the outcome of a write whose response was lost.
type WriteOutcome int

// The outcomes that reading the record back can show.
const (
	// WriteApplied means that the write took effect: the record holds the writer's value.
	WriteApplied WriteOutcome = iota + 1
	// WritePending means that the record is still at the old revision. The write may still arrive; resending it with the same
	// value and old revision is safe, since at most one of the two can take effect.
	WritePending
	// WriteSuperseded means that the record holds another writer's value; the write took effect before that value was written, or never
	// will.
	WriteSuperseded
)

// ResolveWrite reads the record back after a write that failed with CodeStoreUnknown, and returns the outcome of the write. isOwn reports
// whether a value carries the writer's nonce. ResolveWrite fails with the errors of Store.Get; the outcome of the write is then still
// unknown.
func ResolveWrite(ctx context.Context, store pomelorelay.Store, key pomelorelay.StoreKey, old pomelorelay.Revision, isOwn func(value []byte) bool) (WriteOutcome, pomelorelay.Record, error) {
	record, err := store.Get(ctx, key)
	if err != nil {
		return 0, pomelorelay.Record{}, err
	}
	if record.Revision == old {
		return WritePending, record, nil
	}
	if isOwn(record.Value) {
		return WriteApplied, record, nil
	}
	return WriteSuperseded, record, nil
}
