package pomelocommand

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"fmt"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloconfig"

	"github.com/alecthomas/kingpin/v2"
)

// tokenBytes is the number of random bytes of a token: 256 bits, the length of its SHA-256 hash, so that a token cannot be guessed.
const tokenBytes = 32

// generatedToken is a bearer token and the hash that the configuration stores in its place.
type generatedToken struct {
	Token string
	Hash  string
}

func (a *app) tokenCommand(cli *kingpin.Application) (*kingpin.CmdClause, action) {
	clause := cli.Command("token", "Generates a bearer token and prints it with its hash.")
	return clause, func(context.Context) error {
		var random [tokenBytes]byte
		if _, err := rand.Read(random[:]); err != nil {
			return pomelorelay.NewError(pomelorelay.CodeInternal, "generate a token", err)
		}
		token := base64.RawURLEncoding.EncodeToString(random[:])
		generated := generatedToken{Token: token, Hash: pomeloconfig.HashToken(token)}
		return a.print(generated, fmt.Sprintf("Token (give it to the caller; it is not stored): %s\nHash (for TokenHashes):                         %s\n", generated.Token, generated.Hash))
	}
}
