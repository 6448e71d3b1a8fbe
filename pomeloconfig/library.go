package pomeloconfig

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelostore"
)

// RootKey is the store's key of the root in force.
const RootKey = pomelorelay.StoreKey("config/root")

// PartKey returns the store's key of a part.
func PartKey(hash pomelorelay.Hash) pomelorelay.StoreKey {
	return pomelorelay.StoreKey("config/part/" + hashHex(hash))
}

// HistoryKey returns the store's key of a root that was replaced. The hash belongs to it: after the store was restored from an
// old copy a generation may have two roots, and neither may hide the other.
func HistoryKey(generation pomelorelay.Generation, hash pomelorelay.Hash) pomelorelay.StoreKey {
	return pomelorelay.StoreKey(fmt.Sprintf("config/history/%d/%s", generation, hashHex(hash)))
}

const (
	maxStoreAttempts    = 8
	initialStoreBackoff = 50 * time.Millisecond
	maxStoreBackoff     = 2 * time.Second
)

// configStore reads and writes the configuration's records, again where that is safe.
type configStore struct {
	store pomelorelay.Store
}

// get reads a record, again after a failure: reading has no effect.
func (l configStore) get(ctx context.Context, key pomelorelay.StoreKey) (pomelorelay.Record, error) {
	backoff := initialStoreBackoff
	for attempt := 1; ; attempt++ {
		record, err := l.store.Get(ctx, key)
		if err == nil || attempt == maxStoreAttempts {
			return record, err
		}
		if waitErr := sleep(ctx, backoff); waitErr != nil {
			return pomelorelay.Record{}, err
		}
		backoff = min(2*backoff, maxStoreBackoff)
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// writeOutcome is what became of a write after every lost answer was settled.
type writeOutcome int

const (
	writeApplied    writeOutcome = iota + 1
	writeConflict                // another value took the revision
	writeUnknown                 // it may have taken effect, or may yet
	writeNotApplied              // it surely had no effect
)

// write writes a value that is only ever written at revision old. After a lost answer it reads back and looks for its own bytes.
// Without that a write that took effect would be reported as a conflict with itself, and an operator would apply the change twice.
// Sending the same bytes for the same revision again is safe: at most one of the sends can take effect.
func (l configStore) write(ctx context.Context, key pomelorelay.StoreKey, value []byte, old pomelorelay.Revision) (writeOutcome, pomelorelay.Record, error) {
	var last error
	maybeApplied := false
	backoff := initialStoreBackoff
	for range maxStoreAttempts {
		revision, err := l.store.CompareAndSwap(ctx, key, value, old, 0)
		if err == nil {
			return writeApplied, pomelorelay.Record{Key: key, Value: value, Revision: revision}, nil
		}
		last = err
		switch {
		case pomelostore.IsErrConflict(err), pomelostore.IsErrUnknown(err):
			maybeApplied = maybeApplied || pomelostore.IsErrUnknown(err)
			outcome, record := l.readBack(ctx, key, value, old)
			if outcome == writeApplied || outcome == writeConflict {
				return outcome, record, nil
			}
		case pomelostore.IsErrUnavailable(err):
		default:
			return failedWriteOutcome(maybeApplied), pomelorelay.Record{}, err
		}
		if sleep(ctx, backoff) != nil {
			break
		}
		backoff = min(2*backoff, maxStoreBackoff)
	}
	return failedWriteOutcome(maybeApplied), pomelorelay.Record{}, last
}

func failedWriteOutcome(maybeApplied bool) writeOutcome {
	if maybeApplied {
		return writeUnknown
	}
	return writeNotApplied
}

// readBack reads the record back; writeOpen means that this did not tell.
func (l configStore) readBack(ctx context.Context, key pomelorelay.StoreKey, value []byte, old pomelorelay.Revision) (writeOutcome, pomelorelay.Record) {
	isOwn := func(found []byte) bool { return bytes.Equal(found, value) }
	settlement, record, err := pomelostore.SettleWrite(ctx, l.store, key, old, isOwn)
	switch {
	case err != nil || settlement == pomelostore.SettledUnchanged:
		return writeUnknown, record
	case settlement == pomelostore.SettledWritten:
		return writeApplied, record
	}
	return writeConflict, record
}

// writeImmutable writes an immutable record; one that is there already with the same bytes is as good.
func (l configStore) writeImmutable(ctx context.Context, key pomelorelay.StoreKey, value []byte) error {
	outcome, _, err := l.write(ctx, key, value, 0)
	switch outcome {
	case writeApplied:
		return nil
	case writeConflict:
		return pomelorelay.NewError(pomelorelay.CodeConfigHashMismatch, "the store holds something else under "+string(key), nil)
	case writeUnknown:
		// Whether an immutable record came to be does not matter to anybody: the root was not swapped.
		return pomelorelay.NewError(pomelorelay.CodeStoreUnavailable, string(key)+" could not be written; nothing was accepted", err)
	}
	return err
}

// root reads the root in force; its revision is zero when there is none.
func (l configStore) root(ctx context.Context) (Root, pomelorelay.Record, error) {
	record, err := l.get(ctx, RootKey)
	if err != nil || record.Revision == 0 {
		return Root{}, record, err
	}
	root, err := DecodeRoot(record.Value)
	return root, record, err
}

// previous reads the root that another replaced, and proves it by its hash.
func (l configStore) previous(ctx context.Context, successor Root) (Root, error) {
	key := HistoryKey(successor.PreviousGeneration, successor.Previous)
	record, err := l.get(ctx, key)
	if err != nil {
		return Root{}, err
	}
	if record.Revision == 0 {
		return Root{}, pomelorelay.NewError(pomelorelay.CodeConfigHistoryBroken, string(key)+" is missing", nil)
	}
	if HashOf(record.Value) != successor.Previous {
		return Root{}, pomelorelay.NewError(pomelorelay.CodeConfigHistoryBroken, string(key)+" does not match its hash", nil)
	}
	return DecodeRoot(record.Value)
}

// parts reads the parts named, leaving out those in known.
func (l configStore) parts(ctx context.Context, hashes []pomelorelay.Hash, skip map[pomelorelay.Hash]bool) (map[pomelorelay.Hash][]byte, error) {
	parts := make(map[pomelorelay.Hash][]byte, len(hashes))
	for _, hash := range hashes {
		if skip[hash] {
			continue
		}
		record, err := l.get(ctx, PartKey(hash))
		if err != nil {
			return nil, err
		}
		if record.Revision == 0 {
			return nil, pomelorelay.NewError(pomelorelay.CodeConfigPartMissing, hashHex(hash), nil)
		}
		parts[hash] = record.Value
	}
	return parts, nil
}

// Load reads the configuration that the store holds; it fails with CodeConfigNone when there is none, and as Assemble does.
func Load(ctx context.Context, store pomelorelay.Store) (Root, Configuration, error) {
	l := configStore{store: store}
	root, record, err := l.root(ctx)
	if err != nil {
		return Root{}, Configuration{}, err
	}
	if record.Revision == 0 {
		return Root{}, Configuration{}, pomelorelay.NewError(pomelorelay.CodeConfigNone, string(RootKey)+" is missing", nil)
	}
	parts, err := l.parts(ctx, root.Parts, nil)
	if err != nil {
		return Root{}, Configuration{}, err
	}
	c, err := Assemble(root, parts)
	return root, c, err
}
