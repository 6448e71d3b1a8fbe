package pomeloclaim

import (
	"encoding/binary"
	"hash/fnv"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// A nonce consists of the process start in Unix milliseconds (6 bytes), a hash of the router's node ID and its exact
// process start (6 bytes) and a counter (4 bytes). It is unique per attempt, and keepers can detect from it that the
// router has restarted.
const (
	startBytes    = 6
	processBytes  = 6
	counterOffset = startBytes + processBytes
)

func newProcessNonce(node pomelorelay.NodeID, incarnation pomelorelay.Incarnation) pomelorelay.ClaimNonce {
	var n pomelorelay.ClaimNonce
	var word [8]byte
	binary.BigEndian.PutUint64(word[:], uint64(incarnation)/uint64(time.Millisecond))
	copy(n[:startBytes], word[2:])
	h := fnv.New64a()
	binary.BigEndian.PutUint64(word[:], uint64(incarnation))
	// Hash writes never fail.
	_, _ = h.Write(word[:])
	_, _ = h.Write([]byte(node))
	binary.BigEndian.PutUint64(word[:], h.Sum64())
	copy(n[startBytes:counterOffset], word[:])
	return n
}

func withCounter(process pomelorelay.ClaimNonce, n uint32) pomelorelay.ClaimNonce {
	binary.BigEndian.PutUint32(process[counterOffset:], n)
	return process
}

// processStart returns the start of the process that created the nonce, in Unix milliseconds.
func processStart(nonce []byte) uint64 {
	if len(nonce) < startBytes {
		return 0
	}
	var word [8]byte
	copy(word[2:], nonce[:startBytes])
	return binary.BigEndian.Uint64(word[:])
}
