package pomeloclaim

import (
	"encoding/binary"
	"hash/fnv"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// A nonce is 6 bytes of the process's start in Unix milliseconds, 6 bytes of a hash of its router's name and exact
// start, and a counter of 4 bytes. So no two attempts share one, and a keeper sees when a router has started anew.
const (
	startBytes   = 6
	processBytes = 6
	counterAt    = startBytes + processBytes
)

func processNonce(node pomelorelay.NodeID, incarnation pomelorelay.Incarnation) pomelorelay.ClaimNonce {
	var n pomelorelay.ClaimNonce
	var word [8]byte
	binary.BigEndian.PutUint64(word[:], uint64(incarnation)/uint64(time.Millisecond))
	copy(n[:startBytes], word[2:])
	h := fnv.New64a()
	binary.BigEndian.PutUint64(word[:], uint64(incarnation))
	// A hash never fails.
	_, _ = h.Write(word[:])
	_, _ = h.Write([]byte(node))
	binary.BigEndian.PutUint64(word[:], h.Sum64())
	copy(n[startBytes:counterAt], word[:])
	return n
}

func numbered(process pomelorelay.ClaimNonce, n uint32) pomelorelay.ClaimNonce {
	binary.BigEndian.PutUint32(process[counterAt:], n)
	return process
}

// startOf returns the start of the process that made the nonce, in Unix milliseconds.
func startOf(nonce []byte) uint64 {
	if len(nonce) < startBytes {
		return 0
	}
	var word [8]byte
	copy(word[2:], nonce[:startBytes])
	return binary.BigEndian.Uint64(word[:])
}
