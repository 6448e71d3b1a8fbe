package pomeloconfig

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"math/bits"

	"github.com/pomelorelay/pomelorelay"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
)

// MaxPartBytes is the maximum size of a compressed part or an encoded root, well below the store's value limit.
const MaxPartBytes = pomelorelay.Bytes(512 << 10)

// An account's entry takes about 40 bytes compressed (a token hash does not compress), so a part of 512 accounts is about
// 20 KB: a change of one account rewrites that much, and 37,000 accounts need 128 hashes in the root.
const (
	accountsPerPart          = 512
	upstreamsPerPart         = 512
	maxDecompressedPartBytes = 16 << 20
)

// partContent is the decoded content of a part. The first part holds teams, regions, services and evacuations; every other
// part holds upstreams or accounts.
type partContent struct {
	Bucket    int
	Teams     []Team                 `json:",omitempty"`
	Regions   []Region               `json:",omitempty"`
	Services  []Service              `json:",omitempty"`
	Upstreams []Upstream             `json:",omitempty"`
	Accounts  []Account              `json:",omitempty"`
	Evacuated []pomelorelay.DomainID `json:",omitempty"`
}

// Part is one compressed piece of a configuration, identified by the SHA-256 of the compressed bytes.
type Part struct {
	Hash pomelorelay.Hash
	Data []byte
}

// HashOf returns the SHA-256 of an encoded part or root.
func HashOf(data []byte) pomelorelay.Hash { return sha256.Sum256(data) }

// Split splits a configuration into parts such that a small change alters few of them. The parts do not depend on the order of
// the entries. It returns CodeConfigTooLarge when a part exceeds MaxPartBytes.
func Split(c Configuration) ([]Part, error) {
	c = c.normalised()
	contents := []partContent{{Teams: c.Teams, Regions: c.Regions, Services: c.Services, Evacuated: c.Evacuated}}
	contents = append(contents, upstreamContents(c.Upstreams)...)
	contents = append(contents, accountContents(c.Accounts)...)
	compressor, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, pomelorelay.NewError(pomelorelay.CodeInternal, "start the compressor", err)
	}
	defer compressor.Close()
	parts := make([]Part, 0, len(contents))
	for _, content := range contents {
		part, err := encodePart(compressor, content)
		if err != nil {
			return nil, err
		}
		parts = append(parts, part)
	}
	return parts, nil
}

func encodePart(compressor *zstd.Encoder, content partContent) (Part, error) {
	encoded, err := json.Marshal(content)
	if err != nil {
		return Part{}, pomelorelay.NewError(pomelorelay.CodeConfigMalformed, "encode a part", err)
	}
	data := compressor.EncodeAll(encoded, nil)
	if pomelorelay.Bytes(len(data)) > MaxPartBytes || len(encoded) > maxDecompressedPartBytes {
		return Part{}, pomelorelay.NewError(pomelorelay.CodeConfigTooLarge, fmt.Sprintf("a part has %d bytes, %d compressed, which is over the limit", len(encoded), len(data)), nil)
	}
	return Part{Hash: HashOf(data), Data: data}, nil
}

// bucketCount returns a power of two, so that the count changes only when the number of entries about doubles or halves.
func bucketCount(entries, perPart int) int {
	if entries == 0 {
		return 0
	}
	return 1 << bits.Len(uint((entries-1)/perPart))
}

func bucketOf(name string, count int) int { return int(xxhash.Sum64String(name) & uint64(count-1)) }

func accountContents(accounts []Account) []partContent {
	contents := make([]partContent, bucketCount(len(accounts), accountsPerPart))
	for _, a := range accounts {
		i := bucketOf(string(a.Name), len(contents))
		contents[i].Accounts = append(contents[i].Accounts, a)
	}
	return numberBuckets(contents)
}

func upstreamContents(upstreams []Upstream) []partContent {
	contents := make([]partContent, bucketCount(len(upstreams), upstreamsPerPart))
	for _, u := range upstreams {
		i := bucketOf(string(u.Name), len(contents))
		contents[i].Upstreams = append(contents[i].Upstreams, u)
	}
	return numberBuckets(contents)
}

// numberBuckets sets bucket numbers so that empty parts have different hashes and a hash identifies one part of a root.
func numberBuckets(contents []partContent) []partContent {
	for i := range contents {
		contents[i].Bucket = i
	}
	return contents
}

// Assemble builds the configuration from a root's parts; it returns CodeConfigPartMissing, CodeConfigHashMismatch or
// CodeConfigMalformed. It does not validate the configuration; NewSnapshot does.
func Assemble(root Root, parts map[pomelorelay.Hash][]byte) (Configuration, error) {
	if root.Format > FormatVersion {
		return Configuration{}, pomelorelay.NewError(pomelorelay.CodeConfigMalformed, fmt.Sprintf("the root has format %d, this program supports formats up to %d", root.Format, FormatVersion), nil)
	}
	decompressor, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDecompressedPartBytes))
	if err != nil {
		return Configuration{}, pomelorelay.NewError(pomelorelay.CodeInternal, "start the decompressor", err)
	}
	defer decompressor.Close()
	var c Configuration
	for _, hash := range root.Parts {
		if err := c.addPart(decompressor, hash, parts[hash]); err != nil {
			return Configuration{}, err
		}
	}
	c.FillDefaults()
	c.normalise()
	return c, nil
}

func (c *Configuration) addPart(decompressor *zstd.Decoder, hash pomelorelay.Hash, data []byte) error {
	if data == nil {
		return pomelorelay.NewError(pomelorelay.CodeConfigPartMissing, hashHex(hash), nil)
	}
	// Without this check a part that was corrupted in transit or stored under another hash would come into force on some routers only.
	if HashOf(data) != hash {
		return pomelorelay.NewError(pomelorelay.CodeConfigHashMismatch, hashHex(hash), nil)
	}
	content, err := decodePart(decompressor, data)
	if err != nil {
		return pomelorelay.NewError(pomelorelay.CodeConfigMalformed, "part "+hashHex(hash), err)
	}
	c.Teams = append(c.Teams, content.Teams...)
	c.Regions = append(c.Regions, content.Regions...)
	c.Services = append(c.Services, content.Services...)
	c.Upstreams = append(c.Upstreams, content.Upstreams...)
	c.Accounts = append(c.Accounts, content.Accounts...)
	c.Evacuated = append(c.Evacuated, content.Evacuated...)
	return nil
}

func decodePart(decompressor *zstd.Decoder, data []byte) (partContent, error) {
	var content partContent
	encoded, err := decompressor.DecodeAll(data, nil)
	if err != nil {
		return content, err
	}
	err = json.Unmarshal(encoded, &content)
	return content, err
}
