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

// headRecord is a shard's main record in the store; it is rewritten on every change of the shard's claims. gob ignores
// unknown fields and accepts missing ones, so that routers of two versions can be keepers of a shard one after the
// other.
type headRecord struct {
	NextSlot uint32
	Free     []slotRef
	// Reserve is the store record to which the current keeper may write a segment. A segment record is written only
	// after it was reserved.
	Reserve  *slotRef
	Segments []segmentRef
	Claims   []claimRecord
}

// slotRef identifies a store record for a segment of claims, and the revision that the record must still have when it
// is written (compare-and-swap); revision zero means that it was never written.
type slotRef struct {
	Slot     uint32
	Revision uint64
}

// segmentRef refers to the stored record of a segment, whose claims last changed between From and To, in Unix
// milliseconds.
type segmentRef struct {
	Slot     uint32
	Revision uint64
	From     int64
	To       int64
}

type segmentRecord struct {
	Claims []claimRecord
}

// claimRecord is a stored claim. Content is the fingerprint of the request, Asker the router that holds the claim; At
// is when the claim was created or last changed, in Unix milliseconds.
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
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(record); err != nil {
		// All record types can be encoded by gob.
		panic(err)
	}
	return buf.Bytes()
}

func decode(data []byte, record any) error {
	if len(data) == 0 {
		return nil
	}
	return gob.NewDecoder(bytes.NewReader(data)).Decode(record)
}

func checksum(data []byte) []byte {
	sum := sha256.Sum256(data)
	return sum[:]
}

// keyPrefix returns the first 8 bytes of a claim key for the segment index; a match is verified against the full key.
func keyPrefix(key []byte) uint64 {
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

func (c *claimRecord) heldBy(nonce pomelorelay.ClaimNonce) bool {
	return bytes.Equal(c.Nonce, nonce[:])
}

func (c *claimRecord) outcome() pomelorelay.ClaimOutcome {
	return pomelorelay.ClaimOutcome{Status: c.Status, ContentType: c.ContentType, Body: c.Body, Truncated: c.Truncated}
}

func (c *claimRecord) setOutcome(o pomelorelay.ClaimOutcome, limit pomelorelay.Bytes) {
	c.Status, c.ContentType, c.Body, c.Truncated = o.Status, o.ContentType, o.Body, o.Truncated
	if pomelorelay.Bytes(len(o.Body)+len(o.ContentType)) > limit {
		c.ContentType, c.Body, c.Truncated = "", nil, true
	}
}

func (c *claimRecord) changedAt() time.Time { return time.UnixMilli(c.At) }

func compareKeys(a, b claimRecord) int { return cmp.Compare(string(a.Key), string(b.Key)) }

func sortClaims(claims []claimRecord) { slices.SortFunc(claims, compareKeys) }
