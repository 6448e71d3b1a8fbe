// Package pomeloproblem describes refusals and failures to callers, as RFC 9457
// has them, with the project's result code and whether the request ran.
package pomeloproblem
