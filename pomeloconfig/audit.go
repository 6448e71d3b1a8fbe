package pomeloconfig

import (
	"context"
	"encoding/json"

	"github.com/pomelorelay/pomelorelay"
)

// AuditOptions limits an audit.
type AuditOptions struct {
	// Limit is the maximum number of generations read, newest first; zero reads all.
	Limit int
}

// AuditEntry is one accepted configuration change.
type AuditEntry struct {
	Hash pomelorelay.Hash
	Root Root
}

// auditDocument is the JSON form of AuditEntry, with the hash in hexadecimal.
type auditDocument struct {
	Hash string
	Root Root
}

// MarshalJSON encodes the entry with its hash in hexadecimal.
func (e AuditEntry) MarshalJSON() ([]byte, error) {
	return json.Marshal(auditDocument{Hash: hashHex(e.Hash), Root: e.Root})
}

// Audit returns the accepted changes, newest first, each verified by the hash stored in its successor. If the hash chain is
// broken it returns the verified entries and CodeConfigHistoryBroken; an empty store has no entries.
func Audit(ctx context.Context, store pomelorelay.Store, options AuditOptions) ([]AuditEntry, error) {
	s := configStore{store: store}
	root, record, err := s.root(ctx)
	if err != nil || record.Revision == 0 {
		return nil, err
	}
	entries := []AuditEntry{{Hash: HashOf(record.Value), Root: root}}
	for root.PreviousGeneration != 0 && (options.Limit == 0 || len(entries) < options.Limit) {
		previous, err := s.previous(ctx, root)
		if err != nil {
			return entries, err
		}
		entries = append(entries, AuditEntry{Hash: root.Previous, Root: previous})
		root = previous
	}
	return entries, nil
}
