package pomeloconfig

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pomelorelay/pomelorelay"

	"github.com/go-faster/errors"
)

// FormatVersion numbers the layout of roots and parts; a program refuses a higher one than it knows.
const FormatVersion = 1

const maxRootParts = 4096

// ChangeID marks one operator's attempt to change the configuration, so that it is recognised when read back.
type ChangeID string

// Root names everything of one generation of the configuration.
type Root struct {
	Format     int
	Generation pomelorelay.Generation
	ChangeID   ChangeID
	// Author, Time and Why are for the audit trail.
	Author string
	Time   time.Time
	Why    string
	// Parts are the hashes of the parts.
	Parts []pomelorelay.Hash
	// Previous and PreviousGeneration name the root that this one replaced; zero for the first.
	Previous           pomelorelay.Hash
	PreviousGeneration pomelorelay.Generation
	// Difference sums up what changed.
	Difference DifferenceSummary
}

// rootDocument is a Root with its hashes in hexadecimal.
type rootDocument struct {
	Format             int
	Generation         pomelorelay.Generation
	ChangeID           ChangeID
	Author             string
	Time               time.Time
	Why                string
	Parts              []string
	Previous           string                 `json:",omitempty"`
	PreviousGeneration pomelorelay.Generation `json:",omitempty"`
	Difference         DifferenceSummary
}

// MarshalJSON returns the root as it is stored, with its hashes in hexadecimal.
func (r Root) MarshalJSON() ([]byte, error) {
	doc := rootDocument{
		Format: r.Format, Generation: r.Generation, ChangeID: r.ChangeID, Author: r.Author, Time: r.Time.UTC(), Why: r.Why,
		PreviousGeneration: r.PreviousGeneration, Difference: r.Difference,
	}
	for _, hash := range r.Parts {
		doc.Parts = append(doc.Parts, hashHex(hash))
	}
	if r.Previous != (pomelorelay.Hash{}) {
		doc.Previous = hashHex(r.Previous)
	}
	return json.Marshal(doc)
}

// EncodeRoot returns the root's bytes; it fails with CodeConfigTooLarge when they are over MaxPart.
func EncodeRoot(r Root) ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, pomelorelay.NewError(pomelorelay.CodeConfigMalformed, "encode the root", err)
	}
	if pomelorelay.Bytes(len(data)) > MaxPartBytes {
		return nil, pomelorelay.NewError(pomelorelay.CodeConfigTooLarge, fmt.Sprintf("the root has %d bytes", len(data)), nil)
	}
	return data, nil
}

// DecodeRoot reads a root; it fails with CodeConfigMalformed.
func DecodeRoot(data []byte) (Root, error) {
	if pomelorelay.Bytes(len(data)) > MaxPartBytes {
		return Root{}, malformedRoot(errors.Errorf("it has %d bytes", len(data)))
	}
	var doc rootDocument
	if err := json.Unmarshal(data, &doc); err != nil {
		return Root{}, malformedRoot(err)
	}
	root, err := doc.root()
	if err != nil {
		return Root{}, malformedRoot(err)
	}
	return root, nil
}

func malformedRoot(cause error) error {
	return pomelorelay.NewError(pomelorelay.CodeConfigMalformed, "the root cannot be read", cause)
}

func (d rootDocument) root() (Root, error) {
	r := Root{
		Format: d.Format, Generation: d.Generation, ChangeID: d.ChangeID, Author: d.Author, Time: d.Time, Why: d.Why,
		PreviousGeneration: d.PreviousGeneration, Difference: d.Difference,
	}
	if d.Generation == 0 || d.PreviousGeneration >= d.Generation {
		return Root{}, errors.Errorf("generation %d follows %d", d.Generation, d.PreviousGeneration)
	}
	if len(d.Parts) == 0 || len(d.Parts) > maxRootParts {
		return Root{}, errors.Errorf("it names %d parts", len(d.Parts))
	}
	for _, text := range d.Parts {
		hash, err := parseHash(text)
		if err != nil {
			return Root{}, err
		}
		r.Parts = append(r.Parts, hash)
	}
	if d.Previous == "" {
		return r, nil
	}
	previous, err := parseHash(d.Previous)
	r.Previous = previous
	return r, err
}

func hashHex(hash pomelorelay.Hash) string { return hex.EncodeToString(hash[:]) }

func parseHash(text string) (pomelorelay.Hash, error) {
	hash, err := parseTokenHash(text)
	if err != nil {
		return pomelorelay.Hash{}, errors.Wrap(err, "a hash")
	}
	return pomelorelay.Hash(hash), nil
}
