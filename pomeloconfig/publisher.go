package pomeloconfig

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"slices"

	"github.com/pomelorelay/pomelorelay"
)

// changeIDBytes is long enough that random change IDs do not collide.
const changeIDBytes = 16

// Change describes a new configuration that an operator publishes.
type Change struct {
	// ID identifies the change; a random one is generated if it is empty. Publishing again with the same ID finds a change that
	// was accepted although the answer was lost.
	ID     ChangeID
	Author string
	Why    string
	// BaseGeneration is the generation that the operator started from; any other generation in the store is a conflict. Zero accepts any.
	BaseGeneration pomelorelay.Generation
	// FleetGeneration is the highest generation that any router has in force. The new generation is above it even if the store was
	// restored from an old copy; otherwise routers would ignore the change, since they never go to a lower generation.
	FleetGeneration pomelorelay.Generation
}

// PublisherConfig configures a Publisher.
type PublisherConfig struct {
	Store pomelorelay.Store
	// Clock sets the time in roots; nil uses the system clock.
	Clock pomelorelay.Clock
	// Random is the source of change IDs; nil uses crypto/rand.
	Random io.Reader
}

// Publisher writes configurations to the store.
type Publisher struct {
	cfg   PublisherConfig
	store configStore
}

// NewPublisher returns a Publisher, with defaults for the nil fields of cfg.
func NewPublisher(cfg PublisherConfig) *Publisher {
	if cfg.Clock == nil {
		cfg.Clock = pomelorelay.SystemClock{}
	}
	if cfg.Random == nil {
		cfg.Random = rand.Reader
	}
	return &Publisher{cfg: cfg, store: configStore{store: cfg.Store}}
}

// Publish validates the configuration, writes its parts and replaces the root. It returns the root that contains the change, or the current
// root when nothing differs. It fails with CodeConfigInvalid, CodeConfigConflict naming the change accepted first, CodeConfigUnsettled when
// the change may have been or may still be accepted, or another code when it was not accepted.
func (p *Publisher) Publish(ctx context.Context, c Configuration, change Change) (Root, error) {
	c = c.normalised()
	if err := problemsError(pomelorelay.CodeConfigInvalid, Check(c)); err != nil {
		return Root{}, err
	}
	parts, err := Split(c)
	if err != nil {
		return Root{}, err
	}
	current, record, err := p.store.root(ctx)
	if err != nil {
		return Root{}, err
	}
	if found, err := p.findChange(ctx, change.ID, current, record); err != nil || found.Generation > 0 {
		return found, err
	}
	if change.BaseGeneration != 0 && change.BaseGeneration != current.Generation {
		return Root{}, conflictError(current)
	}
	hashes := hashesOf(parts)
	if record.Revision != 0 && slices.Equal(hashes, current.Parts) && current.Generation >= change.FleetGeneration {
		return current, nil
	}
	next, err := p.nextRoot(ctx, current, record, parts, change)
	if err != nil {
		return Root{}, err
	}
	if err := p.writePartsAndHistory(ctx, current, record, parts); err != nil {
		return Root{}, err
	}
	return p.swapRoot(ctx, next, record)
}

func hashesOf(parts []Part) []pomelorelay.Hash {
	hashes := make([]pomelorelay.Hash, len(parts))
	for i, part := range parts {
		hashes[i] = part.Hash
	}
	return hashes
}

// findChange searches the history for a change that was already accepted under the ID; without an ID nothing is read.
func (p *Publisher) findChange(ctx context.Context, id ChangeID, current Root, record pomelorelay.Record) (Root, error) {
	if id == "" || record.Revision == 0 {
		return Root{}, nil
	}
	for root := current; ; {
		if root.ChangeID == id {
			return root, nil
		}
		if root.PreviousGeneration == 0 {
			return Root{}, nil
		}
		previous, err := p.store.previous(ctx, root)
		if err != nil {
			return Root{}, err
		}
		root = previous
	}
}

// nextRoot returns the root that follows the current one.
func (p *Publisher) nextRoot(ctx context.Context, current Root, record pomelorelay.Record, parts []Part, change Change) (Root, error) {
	id, err := p.changeID(change.ID)
	if err != nil {
		return Root{}, err
	}
	difference, err := p.summariseDifference(ctx, current, parts)
	if err != nil {
		return Root{}, err
	}
	next := Root{
		Format: FormatVersion, Generation: max(current.Generation, change.FleetGeneration) + 1, ChangeID: id,
		Author: change.Author, Time: p.cfg.Clock.Now(), Why: change.Why,
		Parts: hashesOf(parts), Difference: difference,
	}
	if record.Revision != 0 {
		next.Previous = HashOf(record.Value)
		next.PreviousGeneration = current.Generation
	}
	return next, nil
}

func (p *Publisher) changeID(requested ChangeID) (ChangeID, error) {
	if requested != "" {
		return requested, nil
	}
	var id [changeIDBytes]byte
	if _, err := io.ReadFull(p.cfg.Random, id[:]); err != nil {
		return "", pomelorelay.NewError(pomelorelay.CodeInternal, "generate a change id", err)
	}
	return ChangeID(hex.EncodeToString(id[:])), nil
}

// summariseDifference reads only the parts that the new configuration does not share with the current one.
func (p *Publisher) summariseDifference(ctx context.Context, current Root, parts []Part) (DifferenceSummary, error) {
	newHashes := make(map[pomelorelay.Hash]bool, len(parts))
	for _, part := range parts {
		newHashes[part.Hash] = true
	}
	removed, err := p.store.parts(ctx, current.Parts, newHashes)
	if err != nil {
		return DifferenceSummary{}, err
	}
	oldHashes := make(map[pomelorelay.Hash]bool, len(current.Parts))
	for _, hash := range current.Parts {
		oldHashes[hash] = true
	}
	added := make(map[pomelorelay.Hash][]byte)
	for _, part := range parts {
		if !oldHashes[part.Hash] {
			added[part.Hash] = part.Data
		}
	}
	before, err := assembleParts(current.Format, removed)
	if err != nil {
		return DifferenceSummary{}, err
	}
	after, err := assembleParts(FormatVersion, added)
	if err != nil {
		return DifferenceSummary{}, err
	}
	return Summarise(Difference(before, after)), nil
}

func assembleParts(format int, parts map[pomelorelay.Hash][]byte) (Configuration, error) {
	root := Root{Format: format}
	for hash := range parts {
		root.Parts = append(root.Parts, hash)
	}
	return Assemble(root, parts)
}

// writePartsAndHistory writes the records that must exist before the root is replaced: the new parts and the current root. A
// root written before its parts would be in force while no router can read it; a replaced root written only afterwards would
// be missing from the audit trail if the program ended in between.
func (p *Publisher) writePartsAndHistory(ctx context.Context, current Root, record pomelorelay.Record, parts []Part) error {
	stored := make(map[pomelorelay.Hash]bool, len(current.Parts))
	for _, hash := range current.Parts {
		stored[hash] = true
	}
	for _, part := range parts {
		if stored[part.Hash] {
			continue
		}
		if err := p.store.writeImmutable(ctx, PartKey(part.Hash), part.Data); err != nil {
			return err
		}
	}
	if record.Revision == 0 {
		return nil
	}
	return p.store.writeImmutable(ctx, HistoryKey(current.Generation, HashOf(record.Value)), record.Value)
}

func (p *Publisher) swapRoot(ctx context.Context, next Root, record pomelorelay.Record) (Root, error) {
	data, err := EncodeRoot(next)
	if err != nil {
		return Root{}, err
	}
	outcome, found, err := p.store.write(ctx, RootKey, data, record.Revision)
	switch outcome {
	case writeApplied:
		return next, nil
	case writeConflict:
		return p.resolveConflict(ctx, next, HashOf(data), found)
	case writeUnknown:
		return Root{}, pomelorelay.NewError(pomelorelay.CodeConfigUnsettled, "change "+string(next.ChangeID), err)
	}
	return Root{}, err
}

// resolveConflict returns the root next if that root was accepted and has already been replaced, in which case it is in the history chain;
// otherwise resolveConflict returns a conflict error.
func (p *Publisher) resolveConflict(ctx context.Context, next Root, hash pomelorelay.Hash, found pomelorelay.Record) (Root, error) {
	accepted, err := DecodeRoot(found.Value)
	if err != nil {
		return Root{}, err
	}
	for root := accepted; root.PreviousGeneration >= next.Generation; {
		if root.Previous == hash {
			return next, nil
		}
		previous, err := p.store.previous(ctx, root)
		if err != nil {
			return Root{}, pomelorelay.NewError(pomelorelay.CodeConfigUnsettled, "change "+string(next.ChangeID), err)
		}
		root = previous
	}
	return Root{}, conflictError(accepted)
}

func conflictError(accepted Root) error {
	detail := fmt.Sprintf("generation %d by %s at %s (%s; change %s) was accepted first",
		accepted.Generation, quote(accepted.Author), accepted.Time.UTC().Format("2006-01-02T15:04:05Z"), quote(accepted.Why), accepted.ChangeID)
	return pomelorelay.NewError(pomelorelay.CodeConfigConflict, detail, nil)
}
