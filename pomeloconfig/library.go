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
	return pomelorelay.StoreKey("config/part/" + hashText(hash))
}

// HistoryKey returns the store's key of a root that was replaced. The hash belongs to it: after the store was restored from an
// old copy a generation may have two roots, and neither may hide the other.
func HistoryKey(generation pomelorelay.Generation, hash pomelorelay.Hash) pomelorelay.StoreKey {
	return pomelorelay.StoreKey(fmt.Sprintf("config/history/%d/%s", generation, hashText(hash)))
}

const (
	storeAttempts   = 8
	storeFirstPause = 50 * time.Millisecond
	storeMaxPause   = 2 * time.Second
)

// library reads and writes the configuration's records, again where that is safe.
type library struct {
	store pomelorelay.Store
}

// get reads a record, again after a failure: reading has no effect.
func (l library) get(ctx context.Context, key pomelorelay.StoreKey) (pomelorelay.Record, error) {
	pause := storeFirstPause
	for attempt := 1; ; attempt++ {
		record, err := l.store.Get(ctx, key)
		if err == nil || attempt == storeAttempts {
			return record, err
		}
		if waitErr := wait(ctx, pause); waitErr != nil {
			return pomelorelay.Record{}, err
		}
		pause = min(2*pause, storeMaxPause)
	}
}

func wait(ctx context.Context, d time.Duration) error {
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
	writeDone writeOutcome = iota + 1
	writeLost              // another value took the revision
	writeOpen              // it may have taken effect, or may yet
	writeNone              // it surely had no effect
)

// write writes a value that is only ever written at revision old. After a lost answer it reads back and looks for its own bytes.
// Without that a write that took effect would be reported as a conflict with itself, and an operator would apply the change twice.
// Sending the same bytes for the same revision again is safe: at most one of the sends can take effect.
func (l library) write(ctx context.Context, key pomelorelay.StoreKey, value []byte, old pomelorelay.Revision) (writeOutcome, pomelorelay.Record, error) {
	var last error
	mayHaveLeft := false
	pause := storeFirstPause
	for range storeAttempts {
		revision, err := l.store.CompareAndSwap(ctx, key, value, old, 0)
		if err == nil {
			return writeDone, pomelorelay.Record{Key: key, Value: value, Revision: revision}, nil
		}
		last = err
		switch {
		case pomelostore.IsErrConflict(err), pomelostore.IsErrUnknown(err):
			mayHaveLeft = mayHaveLeft || pomelostore.IsErrUnknown(err)
			outcome, record := l.settle(ctx, key, value, old)
			if outcome == writeDone || outcome == writeLost {
				return outcome, record, nil
			}
		case pomelostore.IsErrUnavailable(err):
		default:
			return openOr(mayHaveLeft), pomelorelay.Record{}, err
		}
		if wait(ctx, pause) != nil {
			break
		}
		pause = min(2*pause, storeMaxPause)
	}
	return openOr(mayHaveLeft), pomelorelay.Record{}, last
}

func openOr(mayHaveLeft bool) writeOutcome {
	if mayHaveLeft {
		return writeOpen
	}
	return writeNone
}

// settle reads the record back; writeOpen means that this did not tell.
func (l library) settle(ctx context.Context, key pomelorelay.StoreKey, value []byte, old pomelorelay.Revision) (writeOutcome, pomelorelay.Record) {
	mine := func(found []byte) bool { return bytes.Equal(found, value) }
	settlement, record, err := pomelostore.ResolveWrite(ctx, l.store, key, old, mine)
	switch {
	case err != nil || settlement == pomelostore.WritePending:
		return writeOpen, record
	case settlement == pomelostore.WriteApplied:
		return writeDone, record
	}
	return writeLost, record
}

// keep writes an immutable record; one that is there already with the same bytes is as good.
func (l library) keep(ctx context.Context, key pomelorelay.StoreKey, value []byte) error {
	outcome, _, err := l.write(ctx, key, value, 0)
	switch outcome {
	case writeDone:
		return nil
	case writeLost:
		return pomelorelay.NewError(pomelorelay.CodeConfigHashMismatch, "the store holds something else under "+string(key), nil)
	case writeOpen:
		// Whether an immutable record came to be does not matter to anybody: the root was not swapped.
		return pomelorelay.NewError(pomelorelay.CodeStoreUnavailable, string(key)+" could not be written; nothing was accepted", err)
	}
	return err
}

// root reads the root in force; its revision is zero when there is none.
func (l library) root(ctx context.Context) (Root, pomelorelay.Record, error) {
	record, err := l.get(ctx, RootKey)
	if err != nil || record.Revision == 0 {
		return Root{}, record, err
	}
	root, err := DecodeRoot(record.Value)
	return root, record, err
}

// previous reads the root that another replaced, and proves it by its hash.
func (l library) previous(ctx context.Context, of Root) (Root, error) {
	key := HistoryKey(of.PreviousGeneration, of.Previous)
	record, err := l.get(ctx, key)
	if err != nil {
		return Root{}, err
	}
	if record.Revision == 0 {
		return Root{}, pomelorelay.NewError(pomelorelay.CodeConfigHistoryBroken, string(key)+" is missing", nil)
	}
	if HashOf(record.Value) != of.Previous {
		return Root{}, pomelorelay.NewError(pomelorelay.CodeConfigHistoryBroken, string(key)+" does not match its hash", nil)
	}
	return DecodeRoot(record.Value)
}

// parts reads the parts named, leaving out those in known.
func (l library) parts(ctx context.Context, hashes []pomelorelay.Hash, known map[pomelorelay.Hash]bool) (map[pomelorelay.Hash][]byte, error) {
	parts := make(map[pomelorelay.Hash][]byte, len(hashes))
	for _, hash := range hashes {
		if known[hash] {
			continue
		}
		record, err := l.get(ctx, PartKey(hash))
		if err != nil {
			return nil, err
		}
		if record.Revision == 0 {
			return nil, pomelorelay.NewError(pomelorelay.CodeConfigPartMissing, hashText(hash), nil)
		}
		parts[hash] = record.Value
	}
	return parts, nil
}

// Load reads the configuration that the store holds; it fails with CodeConfigNone when there is none, and as Assemble does.
func Load(ctx context.Context, store pomelorelay.Store) (Root, Configuration, error) {
	l := library{store: store}
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
