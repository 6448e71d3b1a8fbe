package pomeloroute

import (
	"net/http"
	"strings"

	"github.com/pomelorelay/pomelorelay"
)

const bearerPrefix = "bearer "

// authenticate finds the account of a request's bearer token.
func authenticate(s Snapshot, head http.Header) (pomelorelay.AccountID, error) {
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
