package pomeloroute

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/pomelorelay/pomelorelay"

	"github.com/cespare/xxhash/v2"
)

// fingerprint identifies what was asked, whichever caller of the account sends it through whichever router.
func fingerprint(account pomelorelay.AccountID, service pomelorelay.ServiceID, body []byte) pomelorelay.Fingerprint {
	d := xxhash.New()
	writeLengthPrefixed(d, []byte(account))
	writeLengthPrefixed(d, []byte(service))
	writeLengthPrefixed(d, body)
	return pomelorelay.Fingerprint(d.Sum64())
}

// claimFingerprint identifies the whole call under a key, so that the key is not taken for another call's.
func claimFingerprint(method, path, query string, body []byte) pomelorelay.Fingerprint {
	d := xxhash.New()
	writeLengthPrefixed(d, []byte(method))
	writeLengthPrefixed(d, []byte(path))
	writeLengthPrefixed(d, []byte(query))
	writeLengthPrefixed(d, body)
	return pomelorelay.Fingerprint(d.Sum64())
}

// claimKey binds the key to its account and service: another account's equal key is another claim.
func claimKey(account pomelorelay.AccountID, service pomelorelay.ServiceID, key string) pomelorelay.ClaimKey {
	d := sha256.New()
	writeLengthPrefixed(d, []byte(account))
	writeLengthPrefixed(d, []byte(service))
	writeLengthPrefixed(d, []byte(key))
	var k pomelorelay.ClaimKey
	d.Sum(k[:0])
	return k
}

// writeLengthPrefixed writes the length first, so that two lists of parts never run together.
func writeLengthPrefixed(d interface{ Write([]byte) (int, error) }, part []byte) {
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(part)))
	// A digest never fails.
	_, _ = d.Write(size[:])
	_, _ = d.Write(part)
}
