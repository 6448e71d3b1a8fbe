package pomeloclaim

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/gob"
	"fmt"
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// headRecord is the one record through which every write of a shard goes. gob passes over fields that it does not
// know and leaves out those that are missing, so that routers of two versions may keep a shard in turn.
type headRecord struct {
	NextSlot uint32
	Free     []slotRef
	// Reserve names the slot that its writer may write a segment to; a slot is never written without having been reserved.
	Reserve  *slotRef
	Segments []segmentRef
	Claims   []claimRecord
}

// slotRef is a place for a segment and the revision from which it may be written.
type slotRef struct {
	Slot     uint32
	Revision uint64
}

// segmentRef is a sealed segment; its settled claims date from From to To, in Unix milliseconds.
type segmentRef struct {
	Slot     uint32
	Revision uint64
	From     int64
	To       int64
}

type segmentRecord struct {
	Claims []claimRecord
}

// claimRecord is one claim. At is when it was made or last changed, in Unix milliseconds.
type claimRecord struct {
	Key         []byte
	Nonce       []byte
	Content     uint64
	Asker       string
	At          int64
	State       int
	Settled     bool
	Status      int
	ContentType string
	Body        []byte
	Truncated   bool
}

func headKey(shard pomelorelay.ShardID) pomelorelay.StoreKey {
	return pomelorelay.StoreKey(fmt.Sprintf("claims/%d", shard))
}

func slotKey(shard pomelorelay.ShardID, slot uint32) pomelorelay.StoreKey {
	return pomelorelay.StoreKey(fmt.Sprintf("claims/%d/%d", shard, slot))
}

func encode(record any) []byte {
	var text bytes.Buffer
	if err := gob.NewEncoder(&text).Encode(record); err != nil {
		// The records hold nothing that gob cannot encode.
		panic(err)
	}
	return text.Bytes()
}

func decode(text []byte, record any) error {
	if len(text) == 0 {
		return nil
	}
	return gob.NewDecoder(bytes.NewReader(text)).Decode(record)
}

func sumOf(text []byte) []byte {
	sum := sha256.Sum256(text)
	return sum[:]
}

// prefixOf shortens a key for the index of a sealed segment; a full compare follows each hit.
func prefixOf(key []byte) uint64 {
	if len(key) < 8 {
		return 0
	}
	return binary.BigEndian.Uint64(key)
}

func (c *claimRecord) key() pomelorelay.ClaimKey {
	var key pomelorelay.ClaimKey
	copy(key[:], c.Key)
	return key
}

func (c *claimRecord) holds(nonce pomelorelay.ClaimNonce) bool { return bytes.Equal(c.Nonce, nonce[:]) }

func (c *claimRecord) outcome() pomelorelay.ClaimOutcome {
	return pomelorelay.ClaimOutcome{Status: c.Status, ContentType: c.ContentType, Body: c.Body, Truncated: c.Truncated}
}

func (c *claimRecord) setOutcome(o pomelorelay.ClaimOutcome, limit pomelorelay.Bytes) {
	c.Status, c.ContentType, c.Body, c.Truncated = o.Status, o.ContentType, o.Body, o.Truncated
	if pomelorelay.Bytes(len(o.Body)+len(o.ContentType)) > limit {
		c.ContentType, c.Body, c.Truncated = "", nil, true
	}
}

func (c *claimRecord) at() time.Time { return time.UnixMilli(c.At) }

func byKey(a, b claimRecord) int { return cmp.Compare(string(a.Key), string(b.Key)) }

func sortClaims(claims []claimRecord) { slices.SortFunc(claims, byKey) }
