package pomeloconfig

import (
	"context"
	"encoding/json"

	"github.com/pomelorelay/pomelorelay"
)

// AuditOptions bound an audit.
type AuditOptions struct {
	// Limit is how many generations are read, newest first; zero reads all.
	Limit int
}

// AuditEntry is one accepted change.
type AuditEntry struct {
	Hash pomelorelay.Hash
	Root Root
}

// auditDocument is an AuditEntry with its hash in hexadecimal.
type auditDocument struct {
	Hash string
	Root Root
}

// MarshalJSON returns the entry with its hash in hexadecimal.
func (e AuditEntry) MarshalJSON() ([]byte, error) {
	return json.Marshal(auditDocument{Hash: hashHex(e.Hash), Root: e.Root})
}

// Audit returns the accepted changes, newest first, each proved by the hash that its successor holds. When the chain is broken
// it returns what it could prove and CodeConfigHistoryBroken; an empty store gives none.
func Audit(ctx context.Context, store pomelorelay.Store, options AuditOptions) ([]AuditEntry, error) {
	l := configStore{store: store}
	root, record, err := l.root(ctx)
	if err != nil || record.Revision == 0 {
		return nil, err
	}
	entries := []AuditEntry{{Hash: HashOf(record.Value), Root: root}}
	for root.PreviousGeneration != 0 && (options.Limit == 0 || len(entries) < options.Limit) {
		previous, err := l.previous(ctx, root)
		if err != nil {
			return entries, err
		}
		entries = append(entries, AuditEntry{Hash: root.Previous, Root: previous})
		root = previous
	}
	return entries, nil
}
