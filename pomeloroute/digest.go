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
	writePart(d, []byte(account))
	writePart(d, []byte(service))
	writePart(d, body)
	return pomelorelay.Fingerprint(d.Sum64())
}

// claimContent identifies the whole call under a key, so that the key is not taken for another call's.
func claimContent(method, path, query string, body []byte) pomelorelay.Fingerprint {
	d := xxhash.New()
	writePart(d, []byte(method))
	writePart(d, []byte(path))
	writePart(d, []byte(query))
	writePart(d, body)
	return pomelorelay.Fingerprint(d.Sum64())
}

// claimKey binds the key to its account and service: another account's equal key is another claim.
func claimKey(account pomelorelay.AccountID, service pomelorelay.ServiceID, key string) pomelorelay.ClaimKey {
	d := sha256.New()
	writePart(d, []byte(account))
	writePart(d, []byte(service))
	writePart(d, []byte(key))
	var k pomelorelay.ClaimKey
	d.Sum(k[:0])
	return k
}

// writePart writes the length first, so that two lists of parts never run together.
func writePart(d interface{ Write([]byte) (int, error) }, part []byte) {
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(part)))
	// A digest never fails.
	_, _ = d.Write(size[:])
	_, _ = d.Write(part)
}
