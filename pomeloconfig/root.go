package pomeloconfig

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pomelorelay/pomelorelay"

	"github.com/go-faster/errors"
)

// FormatVersion is the version of the encoding of roots and parts; a program rejects versions above its own.
const FormatVersion = 1

const maxRootParts = 4096

// ChangeID identifies an operator's change, so that it can be found again in the store.
type ChangeID string

// Root is the manifest of one generation of the configuration: the hashes of its parts and its audit record.
type Root struct {
	Format     int
	Generation pomelorelay.Generation
	ChangeID   ChangeID
	// Author, Time and Why are shown in the audit trail.
	Author string
	Time   time.Time
	Why    string
	// Parts lists the hashes of the configuration's parts.
	Parts []pomelorelay.Hash
	// Previous and PreviousGeneration are the hash and generation of the root that this one replaced; zero for the first root.
	Previous           pomelorelay.Hash
	PreviousGeneration pomelorelay.Generation
	// Difference summarises the change from the previous generation.
	Difference DifferenceSummary
}

// rootDocument is the JSON form of Root, with the hashes in hexadecimal.
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

// MarshalJSON encodes the root as it is stored, with its hashes in hexadecimal.
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

// EncodeRoot encodes a root for the store; it returns CodeConfigTooLarge when the result exceeds MaxPartBytes.
func EncodeRoot(r Root) ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, pomelorelay.NewError(pomelorelay.CodeConfigMalformed, "encode the root", err)
	}
	if pomelorelay.Bytes(len(data)) > MaxPartBytes {
		return nil, pomelorelay.NewError(pomelorelay.CodeConfigTooLarge, fmt.Sprintf("the root has %d bytes, which is over the limit", len(data)), nil)
	}
	return data, nil
}

// DecodeRoot decodes and checks a root from the store; it returns CodeConfigMalformed for invalid data.
func DecodeRoot(data []byte) (Root, error) {
	if pomelorelay.Bytes(len(data)) > MaxPartBytes {
		return Root{}, malformedRoot(errors.Errorf("%d bytes are over the limit", len(data)))
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
	return pomelorelay.NewError(pomelorelay.CodeConfigMalformed, "the root cannot be decoded", cause)
}

func (d rootDocument) root() (Root, error) {
	r := Root{
		Format: d.Format, Generation: d.Generation, ChangeID: d.ChangeID, Author: d.Author, Time: d.Time, Why: d.Why,
		PreviousGeneration: d.PreviousGeneration, Difference: d.Difference,
	}
	if d.Generation == 0 || d.PreviousGeneration >= d.Generation {
		return Root{}, errors.Errorf("generation %d does not follow the previous generation %d", d.Generation, d.PreviousGeneration)
	}
	if len(d.Parts) == 0 || len(d.Parts) > maxRootParts {
		return Root{}, errors.Errorf("a root cannot have %d parts", len(d.Parts))
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
		return pomelorelay.Hash{}, errors.Wrap(err, "parse a hash")
	}
	return pomelorelay.Hash(hash), nil
}
