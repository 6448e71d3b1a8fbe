package pomelorelay

import (
	"encoding/binary"
	"io"

	"github.com/cespare/xxhash/v2"
)

// FingerprintOf hashes a list of parts; all routers compute the same fingerprint for the same list.
func FingerprintOf(parts ...[]byte) Fingerprint {
	d := xxhash.New()
	for _, part := range parts {
		WriteLengthPrefixed(d, part)
	}
	return Fingerprint(d.Sum64())
}

// MaxSharedParts is the number of prompt parts of a request that are told apart; further ones are ignored.
const MaxSharedParts = 32

// PartFingerprintOf hashes what identifies a prompt part.
func PartFingerprintOf(id []byte) Fingerprint { return FingerprintOf([]byte("prompt part"), id) }

// WriteLengthPrefixed writes the length before the data to a hash, so that different lists of parts never encode to the same bytes.
func WriteLengthPrefixed(hash io.Writer, part []byte) {
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(part)))
	// Writing to a hash never fails.
	_, _ = hash.Write(size[:])
	_, _ = hash.Write(part)
}
