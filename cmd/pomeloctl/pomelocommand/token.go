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

// tokenBytes are as many as the hash has, so that a token cannot be guessed.
const tokenBytes = 32

// generatedToken is a bearer token and the hash under which it is kept.
type generatedToken struct {
	Token string
	Hash  string
}

func (a *app) tokenCommand(cli *kingpin.Application) (*kingpin.CmdClause, action) {
	clause := cli.Command("token", "Makes a new bearer token and prints it with its hash.")
	return clause, func(context.Context) error {
		var random [tokenBytes]byte
		if _, err := rand.Read(random[:]); err != nil {
			return pomelorelay.NewError(pomelorelay.CodeInternal, "make a token", err)
		}
		token := base64.RawURLEncoding.EncodeToString(random[:])
		generated := generatedToken{Token: token, Hash: pomeloconfig.HashToken(token)}
		return a.print(generated, fmt.Sprintf("Token (give it to the caller, it is kept nowhere): %s\nHash (for TokenHashes):                           %s\n", generated.Token, generated.Hash))
	}
}
