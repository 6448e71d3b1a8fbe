// Package pomeloproblem describes refusals and failures to callers as RFC 9457
// problem details, with the result code and whether the request ran.
package pomeloproblem
