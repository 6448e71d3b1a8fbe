package pomeloconfig

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelostore"
)

// RootKey is the store key of the root (manifest) of the newest accepted configuration.
const RootKey = pomelorelay.StoreKey("config/root")

// PartKey returns the store key of the configuration part with the hash.
func PartKey(hash pomelorelay.Hash) pomelorelay.StoreKey {
	return pomelorelay.StoreKey("config/part/" + hashHex(hash))
}

// HistoryKey returns the store key of a replaced root. The key includes the hash because after a restore of the store from an
// old copy a generation may have two roots, and neither may overwrite the other.
func HistoryKey(generation pomelorelay.Generation, hash pomelorelay.Hash) pomelorelay.StoreKey {
	return pomelorelay.StoreKey(fmt.Sprintf("config/history/%d/%s", generation, hashHex(hash)))
}

const (
	maxStoreAttempts    = 8
	initialStoreBackoff = 50 * time.Millisecond
	maxStoreBackoff     = 2 * time.Second
)

// configStore reads and writes the configuration's records, and retries failed calls.
type configStore struct {
	store pomelorelay.Store
}

// get reads a record and retries after every failure, since reads have no side effects.
func (s configStore) get(ctx context.Context, key pomelorelay.StoreKey) (pomelorelay.Record, error) {
	backoff := initialStoreBackoff
	for attempt := 1; ; attempt++ {
		record, err := s.store.Get(ctx, key)
		if err == nil || attempt == maxStoreAttempts {
			return record, err
		}
		if sleepErr := sleep(ctx, backoff); sleepErr != nil {
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

// writeOutcome is the outcome of a write; after a lost answer it is determined by reading the record back.
type writeOutcome int

const (
	writeApplied    writeOutcome = iota + 1
	writeConflict                // another value was written at the revision
	writeUnknown                 // the write may have taken effect, or still may
	writeNotApplied              // the write had no effect and will have none
)

// write replaces the value at revision old, and after a lost answer reads the record back and compares the bytes. Otherwise a
// write that took effect would be reported as a conflict with itself, and an operator would apply the change twice.
// Repeating the write with the same bytes and revision is safe: at most one attempt can take effect.
func (s configStore) write(ctx context.Context, key pomelorelay.StoreKey, value []byte, old pomelorelay.Revision) (writeOutcome, pomelorelay.Record, error) {
	var lastErr error
	maybeApplied := false
	backoff := initialStoreBackoff
	for range maxStoreAttempts {
		revision, err := s.store.CompareAndSwap(ctx, key, value, old, 0)
		if err == nil {
			return writeApplied, pomelorelay.Record{Key: key, Value: value, Revision: revision}, nil
		}
		lastErr = err
		switch {
		case pomelostore.IsErrConflict(err), pomelostore.IsErrUnknown(err):
			maybeApplied = maybeApplied || pomelostore.IsErrUnknown(err)
			outcome, record := s.readBack(ctx, key, value, old)
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
	return failedWriteOutcome(maybeApplied), pomelorelay.Record{}, lastErr
}

func failedWriteOutcome(maybeApplied bool) writeOutcome {
	if maybeApplied {
		return writeUnknown
	}
	return writeNotApplied
}

// readBack reads the record after a lost answer or a conflict; it returns writeUnknown if the read does not decide the outcome.
func (s configStore) readBack(ctx context.Context, key pomelorelay.StoreKey, value []byte, old pomelorelay.Revision) (writeOutcome, pomelorelay.Record) {
	isOwn := func(found []byte) bool { return bytes.Equal(found, value) }
	settlement, record, err := pomelostore.ResolveWrite(ctx, s.store, key, old, isOwn)
	switch {
	case err != nil || settlement == pomelostore.WritePending:
		return writeUnknown, record
	case settlement == pomelostore.WriteApplied:
		return writeApplied, record
	}
	return writeConflict, record
}

// writeImmutable writes an immutable record; an existing record with the same bytes is a success.
func (s configStore) writeImmutable(ctx context.Context, key pomelorelay.StoreKey, value []byte) error {
	outcome, _, err := s.write(ctx, key, value, 0)
	switch outcome {
	case writeApplied:
		return nil
	case writeConflict:
		return pomelorelay.NewError(pomelorelay.CodeConfigHashMismatch, "the store holds a different value under "+string(key), nil)
	case writeUnknown:
		// The outcome of this write may stay unknown: the root was not replaced, so nothing refers to the record.
		return pomelorelay.NewError(pomelorelay.CodeStoreUnavailable, string(key)+" could not be written; the change was not accepted", err)
	}
	return err
}

// root reads the root in force; the record's revision is zero when there is none.
func (s configStore) root(ctx context.Context) (Root, pomelorelay.Record, error) {
	record, err := s.get(ctx, RootKey)
	if err != nil || record.Revision == 0 {
		return Root{}, record, err
	}
	root, err := DecodeRoot(record.Value)
	return root, record, err
}

// previous reads the root that successor replaced, and verifies its hash.
func (s configStore) previous(ctx context.Context, successor Root) (Root, error) {
	key := HistoryKey(successor.PreviousGeneration, successor.Previous)
	record, err := s.get(ctx, key)
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

// parts reads the parts with these hashes, except those in skip.
func (s configStore) parts(ctx context.Context, hashes []pomelorelay.Hash, skip map[pomelorelay.Hash]bool) (map[pomelorelay.Hash][]byte, error) {
	parts := make(map[pomelorelay.Hash][]byte, len(hashes))
	for _, hash := range hashes {
		if skip[hash] {
			continue
		}
		record, err := s.get(ctx, PartKey(hash))
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

// Load reads the configuration in force from the store; it returns CodeConfigNone when there is none, or the errors of Assemble.
func Load(ctx context.Context, store pomelorelay.Store) (Root, Configuration, error) {
	s := configStore{store: store}
	root, record, err := s.root(ctx)
	if err != nil {
		return Root{}, Configuration{}, err
	}
	if record.Revision == 0 {
		return Root{}, Configuration{}, pomelorelay.NewError(pomelorelay.CodeConfigNone, string(RootKey)+" is missing", nil)
	}
	parts, err := s.parts(ctx, root.Parts, nil)
	if err != nil {
		return Root{}, Configuration{}, err
	}
	c, err := Assemble(root, parts)
	return root, c, err
}
