package pomelonode

import (
	"strconv"

	"github.com/pomelorelay/pomelorelay"

	"github.com/cespare/xxhash/v2"
)

func fingerprintKey(f pomelorelay.Fingerprint) string {
	return "fingerprint/" + strconv.FormatUint(uint64(f), 16)
}

// nodeSeed keeps two routers that start in the same nanosecond from using the same seed.
func nodeSeed(node pomelorelay.NodeID) uint64 { return xxhash.Sum64String(string(node)) }
