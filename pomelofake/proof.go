package pomelofake

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
)

// digestPrefixLength is how much of a proof each token of an engine's answer repeats.
const digestPrefixLength = 8

// Proof identifies a request's body; a stand-in's answer carries it, so that a caller can tell that the answer is its own.
type Proof string

// ProofOf returns the proof of a request's body.
func ProofOf(body []byte) Proof {
	sum := sha256.Sum256(body)
	return Proof(hex.EncodeToString(sum[:]))
}

// Token returns the text of the n-th token, counted from zero, that an engine answers to the request.
func (p Proof) Token(n int) string {
	return string(p[:digestPrefixLength]) + "." + strconv.Itoa(n) + " "
}
