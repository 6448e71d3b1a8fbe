package pomelofake

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
)

// digestPrefixLength is the number of characters of the digest in each token of an engine's answer.
const digestPrefixLength = 8

// BodyDigest is the SHA-256 of a request's body in hex; answers contain it so that a caller can detect the answer to another request.
type BodyDigest string

// DigestBody returns the digest of a request's body.
func DigestBody(body []byte) BodyDigest {
	sum := sha256.Sum256(body)
	return BodyDigest(hex.EncodeToString(sum[:]))
}

// AnswerToken returns the text of token n, counted from zero, of an engine's answer to the request.
func (d BodyDigest) AnswerToken(n int) string {
	return string(d[:digestPrefixLength]) + "." + strconv.Itoa(n) + " "
}
