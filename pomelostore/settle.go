package pomelostore

import (
	"context"

	"github.com/pomelorelay/pomelorelay"
)

// Settlement tells what became of a write whose answer was lost.
type Settlement int

// The settlements of a write.
const (
	// WriteApplied means that the record holds the writer's own value.
	WriteApplied Settlement = iota + 1
	// WritePending means that the record is still at the revision that the write named; the write may yet arrive, and
	// writing the same value again with the same revision is safe, for at most one of the two can take effect.
	WritePending
	// SettledOther means that another value took the revision; the write took effect before it or never will.
	SettledOther
)

// ResolveWrite reads the record back after a write that failed with CodeStoreUnknown, and looks for the writer's own nonce
// by mine. It fails as Get does; the outcome is then still unknown.
func ResolveWrite(ctx context.Context, store pomelorelay.Store, key pomelorelay.StoreKey, old pomelorelay.Revision, mine func(value []byte) bool) (Settlement, pomelorelay.Record, error) {
	record, err := store.Get(ctx, key)
	if err != nil {
		return 0, pomelorelay.Record{}, err
	}
	if record.Revision == old {
		return WritePending, record, nil
	}
	if mine(record.Value) {
		return WriteApplied, record, nil
	}
	return SettledOther, record, nil
}
