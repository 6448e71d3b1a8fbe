package pomeloroute

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloconfig"
)

const bearerPrefix = "bearer "

// authenticate finds the account by the digest of its token and compares the digest in constant time, so that the
// time of a refusal tells nothing about stored hashes.
func authenticate(s Snapshot, head http.Header) (*pomeloconfig.Account, error) {
	value := head.Get("Authorization")
	if len(value) <= len(bearerPrefix) || !strings.EqualFold(value[:len(bearerPrefix)], bearerPrefix) {
		return nil, pomelorelay.NewError(pomelorelay.CodeUnauthorised, "", nil)
	}
	digest := sha256.Sum256([]byte(value[len(bearerPrefix):]))
	account, ok := s.Account(digest)
	if !ok || !holdsToken(account, digest) {
		return nil, pomelorelay.NewError(pomelorelay.CodeUnauthorised, "", nil)
	}
	return account, nil
}

func holdsToken(account *pomeloconfig.Account, digest [sha256.Size]byte) bool {
	given := []byte(hex.EncodeToString(digest[:]))
	found := 0
	for _, stored := range account.TokenHashes {
		found |= subtle.ConstantTimeCompare([]byte(strings.ToLower(stored)), given)
	}
	return found == 1
}
