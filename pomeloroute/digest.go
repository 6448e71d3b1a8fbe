package pomeloroute

import (
	"crypto/sha256"
	"encoding/json"

	"github.com/pomelorelay/pomelorelay"
)

// fingerprint hashes a request's account, service and body; the result is the same for all callers of the account and on all routers.
func fingerprint(account pomelorelay.AccountID, service pomelorelay.ServiceID, body []byte) pomelorelay.Fingerprint {
	return pomelorelay.FingerprintOf([]byte(account), []byte(service), body)
}

// sharedParts returns the fingerprints of all messages of a prompt but the last one, which belongs to the request.
func sharedParts(messages []json.RawMessage) []pomelorelay.Fingerprint {
	var list []pomelorelay.Fingerprint
	for _, message := range messages[:min(max(len(messages)-1, 0), pomelorelay.MaxSharedParts)] {
		list = append(list, pomelorelay.PartFingerprintOf(message))
	}
	return list
}

// claimFingerprint hashes a request's method, path, query and body, so that reuse of a key for a different request is detected.
func claimFingerprint(method, path, query string, body []byte) pomelorelay.Fingerprint {
	return pomelorelay.FingerprintOf([]byte(method), []byte(path), []byte(query), body)
}

// claimKey hashes an idempotency key with its account and service, so that equal keys of different accounts are different claims.
func claimKey(account pomelorelay.AccountID, service pomelorelay.ServiceID, key string) pomelorelay.ClaimKey {
	d := sha256.New()
	pomelorelay.WriteLengthPrefixed(d, []byte(account))
	pomelorelay.WriteLengthPrefixed(d, []byte(service))
	pomelorelay.WriteLengthPrefixed(d, []byte(key))
	var k pomelorelay.ClaimKey
	d.Sum(k[:0])
	return k
}
