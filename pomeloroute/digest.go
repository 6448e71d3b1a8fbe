package pomeloroute

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/pomelorelay/pomelorelay"

	"github.com/cespare/xxhash/v2"
)

// fingerprint hashes a request's account, service and body; the result is the same for all callers of the account and on all routers.
func fingerprint(account pomelorelay.AccountID, service pomelorelay.ServiceID, body []byte) pomelorelay.Fingerprint {
	d := xxhash.New()
	writeLengthPrefixed(d, []byte(account))
	writeLengthPrefixed(d, []byte(service))
	writeLengthPrefixed(d, body)
	return pomelorelay.Fingerprint(d.Sum64())
}

// claimFingerprint hashes a request's method, path, query and body, so that reuse of a key for a different request is detected.
func claimFingerprint(method, path, query string, body []byte) pomelorelay.Fingerprint {
	d := xxhash.New()
	writeLengthPrefixed(d, []byte(method))
	writeLengthPrefixed(d, []byte(path))
	writeLengthPrefixed(d, []byte(query))
	writeLengthPrefixed(d, body)
	return pomelorelay.Fingerprint(d.Sum64())
}

// claimKey hashes an idempotency key with its account and service, so that equal keys of different accounts are different claims.
func claimKey(account pomelorelay.AccountID, service pomelorelay.ServiceID, key string) pomelorelay.ClaimKey {
	d := sha256.New()
	writeLengthPrefixed(d, []byte(account))
	writeLengthPrefixed(d, []byte(service))
	writeLengthPrefixed(d, []byte(key))
	var k pomelorelay.ClaimKey
	d.Sum(k[:0])
	return k
}

// writeLengthPrefixed writes the length before the data, so that different lists of parts never encode to the same bytes.
func writeLengthPrefixed(d interface{ Write([]byte) (int, error) }, part []byte) {
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(part)))
	// Writing to a hash never fails.
	_, _ = d.Write(size[:])
	_, _ = d.Write(part)
}
