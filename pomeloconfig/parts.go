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

// MaxPart bounds a compressed part and an encoded root, well under what the platform's store takes.
const MaxPart = pomelorelay.Bytes(512 << 10)

// An account's entry is about 40 bytes compressed (a token hash cannot be compressed), so a part of 512 accounts is some 20 KB:
// a change of one account rewrites that much, and 37,000 accounts need 128 hashes in the root.
const (
	accountsPerPart  = 512
	upstreamsPerPart = 512
	maxPartUnpacked  = 16 << 20
)

// partContent is what a part holds; a part has one kind of entry, but for the first, which has the few.
type partContent struct {
	Bucket    int
	Teams     []Team                 `json:",omitempty"`
	Regions   []Region               `json:",omitempty"`
	Services  []Service              `json:",omitempty"`
	Upstreams []Upstream             `json:",omitempty"`
	Accounts  []Account              `json:",omitempty"`
	Evacuated []pomelorelay.DomainID `json:",omitempty"`
}

// Part is one piece of a configuration, compressed and named by the SHA-256 of its compressed bytes.
type Part struct {
	Hash pomelorelay.Hash
	Data []byte
}

// HashOf returns the SHA-256 of a part's or root's bytes.
func HashOf(data []byte) pomelorelay.Hash { return sha256.Sum256(data) }

// Parts splits a configuration, so that a small change alters few parts; it fails with CodeConfigTooLarge when one is over MaxPart.
// The same content gives the same parts, whatever the order of its entries.
func Parts(c Configuration) ([]Part, error) {
	c = c.normalised()
	contents := []partContent{{Teams: c.Teams, Regions: c.Regions, Services: c.Services, Evacuated: c.Evacuated}}
	contents = append(contents, upstreamContents(c.Upstreams)...)
	contents = append(contents, accountContents(c.Accounts)...)
	packer, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, pomelorelay.NewError(pomelorelay.CodeInternal, "start the compressor", err)
	}
	defer packer.Close()
	parts := make([]Part, 0, len(contents))
	for _, content := range contents {
		part, err := pack(packer, content)
		if err != nil {
			return nil, err
		}
		parts = append(parts, part)
	}
	return parts, nil
}

func pack(packer *zstd.Encoder, content partContent) (Part, error) {
	plain, err := json.Marshal(content)
	if err != nil {
		return Part{}, pomelorelay.NewError(pomelorelay.CodeConfigMalformed, "encode a part", err)
	}
	data := packer.EncodeAll(plain, nil)
	if pomelorelay.Bytes(len(data)) > MaxPart || len(plain) > maxPartUnpacked {
		return Part{}, pomelorelay.NewError(pomelorelay.CodeConfigTooLarge, fmt.Sprintf("a part has %d bytes, %d compressed", len(plain), len(data)), nil)
	}
	return Part{Hash: HashOf(data), Data: data}, nil
}

// buckets is a power of two, so that it stays the same while the number of entries does not double.
func buckets(entries, perPart int) int {
	if entries == 0 {
		return 0
	}
	return 1 << bits.Len(uint((entries-1)/perPart))
}

func bucketOf(name string, count int) int { return int(xxhash.Sum64String(name) & uint64(count-1)) }

func accountContents(accounts []Account) []partContent {
	contents := make([]partContent, buckets(len(accounts), accountsPerPart))
	for _, a := range accounts {
		at := bucketOf(string(a.Name), len(contents))
		contents[at].Accounts = append(contents[at].Accounts, a)
	}
	return numbered(contents)
}

func upstreamContents(upstreams []Upstream) []partContent {
	contents := make([]partContent, buckets(len(upstreams), upstreamsPerPart))
	for _, u := range upstreams {
		at := bucketOf(string(u.Name), len(contents))
		contents[at].Upstreams = append(contents[at].Upstreams, u)
	}
	return numbered(contents)
}

// numbered makes empty parts differ from each other, so that a hash names one part of a root.
func numbered(contents []partContent) []partContent {
	for i := range contents {
		contents[i].Bucket = i
	}
	return contents
}

// Assemble puts a configuration together from a root's parts; it fails with CodeConfigPartMissing, CodeConfigHashMismatch or
// CodeConfigMalformed. It does not check the configuration; NewSnapshot does.
func Assemble(root Root, parts map[pomelorelay.Hash][]byte) (Configuration, error) {
	if root.Format > Format {
		return Configuration{}, pomelorelay.NewError(pomelorelay.CodeConfigMalformed, fmt.Sprintf("the root has format %d, this program knows %d", root.Format, Format), nil)
	}
	unpacker, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxPartUnpacked))
	if err != nil {
		return Configuration{}, pomelorelay.NewError(pomelorelay.CodeInternal, "start the decompressor", err)
	}
	defer unpacker.Close()
	var c Configuration
	for _, hash := range root.Parts {
		if err := c.addPart(unpacker, hash, parts[hash]); err != nil {
			return Configuration{}, err
		}
	}
	c.FillDefaults()
	c.normalise()
	return c, nil
}

func (c *Configuration) addPart(unpacker *zstd.Decoder, hash pomelorelay.Hash, data []byte) error {
	if data == nil {
		return pomelorelay.NewError(pomelorelay.CodeConfigPartMissing, hashText(hash), nil)
	}
	// A part that was damaged on its way, or given for another, would else come into force on some routers only.
	if HashOf(data) != hash {
		return pomelorelay.NewError(pomelorelay.CodeConfigHashMismatch, hashText(hash), nil)
	}
	content, err := unpack(unpacker, data)
	if err != nil {
		return pomelorelay.NewError(pomelorelay.CodeConfigMalformed, "part "+hashText(hash), err)
	}
	c.Teams = append(c.Teams, content.Teams...)
	c.Regions = append(c.Regions, content.Regions...)
	c.Services = append(c.Services, content.Services...)
	c.Upstreams = append(c.Upstreams, content.Upstreams...)
	c.Accounts = append(c.Accounts, content.Accounts...)
	c.Evacuated = append(c.Evacuated, content.Evacuated...)
	return nil
}

func unpack(unpacker *zstd.Decoder, data []byte) (partContent, error) {
	var content partContent
	plain, err := unpacker.DecodeAll(data, nil)
	if err != nil {
		return content, err
	}
	err = json.Unmarshal(plain, &content)
	return content, err
}
