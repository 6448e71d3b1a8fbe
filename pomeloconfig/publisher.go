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

// changeIDBytes makes two equal change ids as good as impossible.
const changeIDBytes = 16

// Change is what an operator says of a new configuration.
type Change struct {
	// ID is made when it is empty. Giving the same one again finds a change that was accepted although its answer was lost.
	ID     ChangeID
	Author string
	Why    string
	// BaseGeneration is the generation that the operator started from; another one in the store is a conflict. Zero takes what is there.
	BaseGeneration pomelorelay.Generation
	// FleetGeneration is the highest generation that any router has in force. The new one is above it, also when the store was restored
	// from an old copy; without that, routers would never take the change, for they never go to a lower generation.
	FleetGeneration pomelorelay.Generation
}

// PublisherConfig is what a Publisher is made of.
type PublisherConfig struct {
	Store pomelorelay.Store
	// Clock dates the roots; nil takes the machine's.
	Clock pomelorelay.Clock
	// Random is where change ids come from; nil takes the machine's.
	Random io.Reader
}

// Publisher brings a configuration into the store.
type Publisher struct {
	cfg     PublisherConfig
	library library
}

// NewPublisher returns a Publisher.
func NewPublisher(cfg PublisherConfig) *Publisher {
	if cfg.Clock == nil {
		cfg.Clock = pomelorelay.SystemClock{}
	}
	if cfg.Random == nil {
		cfg.Random = rand.Reader
	}
	return &Publisher{cfg: cfg, library: library{store: cfg.Store}}
}

// Publish checks the whole configuration, writes its parts and swaps the root. It returns the root that holds the change, which
// is the present one when nothing differs. It fails with CodeConfigInvalid, with CodeConfigConflict naming the winner of a race,
// with CodeConfigUnsettled when the change may have been accepted or yet be, and as the store does when it surely was not.
func (p *Publisher) Publish(ctx context.Context, c Configuration, change Change) (Root, error) {
	c = c.normalised()
	if err := problemsError(pomelorelay.CodeConfigInvalid, Check(c)); err != nil {
		return Root{}, err
	}
	parts, err := Parts(c)
	if err != nil {
		return Root{}, err
	}
	current, record, err := p.library.root(ctx)
	if err != nil {
		return Root{}, err
	}
	if found, err := p.earlier(ctx, change.ID, current, record); err != nil || found.Generation > 0 {
		return found, err
	}
	if change.BaseGeneration != 0 && change.BaseGeneration != current.Generation {
		return Root{}, conflict(current)
	}
	hashes := hashesOf(parts)
	if record.Revision != 0 && slices.Equal(hashes, current.Parts) && current.Generation >= change.FleetGeneration {
		return current, nil
	}
	next, err := p.next(ctx, current, record, parts, change)
	if err != nil {
		return Root{}, err
	}
	if err := p.keepBefore(ctx, current, record, parts); err != nil {
		return Root{}, err
	}
	return p.swap(ctx, next, record)
}

func hashesOf(parts []Part) []pomelorelay.Hash {
	hashes := make([]pomelorelay.Hash, len(parts))
	for i, part := range parts {
		hashes[i] = part.Hash
	}
	return hashes
}

// earlier looks for a change that was given again; no more than the whole chain is read, and only when an id was given.
func (p *Publisher) earlier(ctx context.Context, id ChangeID, current Root, record pomelorelay.Record) (Root, error) {
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
		previous, err := p.library.previous(ctx, root)
		if err != nil {
			return Root{}, err
		}
		root = previous
	}
}

// next makes the root that is to follow the current one.
func (p *Publisher) next(ctx context.Context, current Root, record pomelorelay.Record, parts []Part, change Change) (Root, error) {
	id, err := p.changeID(change.ID)
	if err != nil {
		return Root{}, err
	}
	difference, err := p.difference(ctx, current, parts)
	if err != nil {
		return Root{}, err
	}
	next := Root{
		Format: Format, Generation: max(current.Generation, change.FleetGeneration) + 1, ChangeID: id,
		Author: change.Author, Time: p.cfg.Clock.Now(), Why: change.Why,
		Parts: hashesOf(parts), Difference: difference,
	}
	if record.Revision != 0 {
		next.Previous = HashOf(record.Value)
		next.PreviousGeneration = current.Generation
	}
	return next, nil
}

func (p *Publisher) changeID(given ChangeID) (ChangeID, error) {
	if given != "" {
		return given, nil
	}
	var id [changeIDBytes]byte
	if _, err := io.ReadFull(p.cfg.Random, id[:]); err != nil {
		return "", pomelorelay.NewError(pomelorelay.CodeInternal, "make a change id", err)
	}
	return ChangeID(hex.EncodeToString(id[:])), nil
}

// difference reads only the parts that are not in both.
func (p *Publisher) difference(ctx context.Context, current Root, parts []Part) (DifferenceSummary, error) {
	after := make(map[pomelorelay.Hash]bool, len(parts))
	for _, part := range parts {
		after[part.Hash] = true
	}
	gone, err := p.library.parts(ctx, current.Parts, after)
	if err != nil {
		return DifferenceSummary{}, err
	}
	before := make(map[pomelorelay.Hash]bool, len(current.Parts))
	for _, hash := range current.Parts {
		before[hash] = true
	}
	come := make(map[pomelorelay.Hash][]byte)
	for _, part := range parts {
		if !before[part.Hash] {
			come[part.Hash] = part.Data
		}
	}
	old, err := assembleSome(current.Format, gone)
	if err != nil {
		return DifferenceSummary{}, err
	}
	now, err := assembleSome(Format, come)
	if err != nil {
		return DifferenceSummary{}, err
	}
	return Summarise(Difference(old, now)), nil
}

func assembleSome(format int, parts map[pomelorelay.Hash][]byte) (Configuration, error) {
	some := Root{Format: format}
	for hash := range parts {
		some.Parts = append(some.Parts, hash)
	}
	return Assemble(some, parts)
}

// keepBefore writes what must be in the store before the swap: the parts that the new root names, and the root that it replaces.
// A root that came first would be in force with parts that nobody can read; a replaced root that was written only afterwards
// would be lost from the audit trail whenever the operator's program ends in between.
func (p *Publisher) keepBefore(ctx context.Context, current Root, record pomelorelay.Record, parts []Part) error {
	there := make(map[pomelorelay.Hash]bool, len(current.Parts))
	for _, hash := range current.Parts {
		there[hash] = true
	}
	for _, part := range parts {
		if there[part.Hash] {
			continue
		}
		if err := p.library.keep(ctx, PartKey(part.Hash), part.Data); err != nil {
			return err
		}
	}
	if record.Revision == 0 {
		return nil
	}
	return p.library.keep(ctx, HistoryKey(current.Generation, HashOf(record.Value)), record.Value)
}

func (p *Publisher) swap(ctx context.Context, next Root, record pomelorelay.Record) (Root, error) {
	data, err := EncodeRoot(next)
	if err != nil {
		return Root{}, err
	}
	outcome, found, err := p.library.write(ctx, RootKey, data, record.Revision)
	switch outcome {
	case writeDone:
		return next, nil
	case writeLost:
		return p.lost(ctx, next, HashOf(data), found)
	case writeOpen:
		return Root{}, pomelorelay.NewError(pomelorelay.CodeConfigUnsettled, "change "+string(next.ChangeID), err)
	}
	return Root{}, err
}

// lost tells a change that was accepted and has already been replaced from one that lost the race: the former is in the chain.
func (p *Publisher) lost(ctx context.Context, next Root, hash pomelorelay.Hash, found pomelorelay.Record) (Root, error) {
	winner, err := DecodeRoot(found.Value)
	if err != nil {
		return Root{}, err
	}
	for root := winner; root.PreviousGeneration >= next.Generation; {
		if root.Previous == hash {
			return next, nil
		}
		previous, err := p.library.previous(ctx, root)
		if err != nil {
			return Root{}, pomelorelay.NewError(pomelorelay.CodeConfigUnsettled, "change "+string(next.ChangeID), err)
		}
		root = previous
	}
	return Root{}, conflict(winner)
}

func conflict(winner Root) error {
	detail := fmt.Sprintf("generation %d by %s at %s (%s; change %s) was accepted first",
		winner.Generation, quote(winner.Author), winner.Time.UTC().Format("2006-01-02T15:04:05Z"), quote(winner.Why), winner.ChangeID)
	return pomelorelay.NewError(pomelorelay.CodeConfigConflict, detail, nil)
}
