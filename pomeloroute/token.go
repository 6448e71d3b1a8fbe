package pomeloroute

import (
	"net/http"
	"strings"

	"github.com/pomelorelay/pomelorelay"
)

const bearerPrefix = "bearer "

// authenticate returns the account of a request's bearer token. A request with two tokens is refused: a proxy in front of the router may
// have checked one token and the router the other, and an account that the sender has no access to would be charged.
func authenticate(s Snapshot, head http.Header) (pomelorelay.AccountID, error) {
	if len(head["Authorization"]) > 1 {
		return "", pomelorelay.NewError(pomelorelay.CodeUnauthorised, "more than one Authorization field", nil)
	}
	value := head.Get("Authorization")
	if len(value) <= len(bearerPrefix) || !strings.EqualFold(value[:len(bearerPrefix)], bearerPrefix) {
		return "", pomelorelay.NewError(pomelorelay.CodeUnauthorised, "", nil)
	}
	account, ok := s.Authenticate(value[len(bearerPrefix):])
	if !ok {
		return "", pomelorelay.NewError(pomelorelay.CodeUnauthorised, "", nil)
	}
	return account, nil
}
