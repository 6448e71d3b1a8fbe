package pomelofake

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
)

// proofTokenLength is how much of a proof each token of an engine's answer repeats.
const proofTokenLength = 8

// BodyDigest identifies a request's body; a stand-in's answer carries it, so that a caller can tell that the answer is its own.
type BodyDigest string

// DigestBody returns the proof of a request's body.
func DigestBody(body []byte) BodyDigest {
	sum := sha256.Sum256(body)
	return BodyDigest(hex.EncodeToString(sum[:]))
}

// AnswerToken returns the text of the n-th token, counted from zero, that an engine answers to the request.
func (p BodyDigest) AnswerToken(n int) string {
	return string(p[:proofTokenLength]) + "." + strconv.Itoa(n) + " "
}
