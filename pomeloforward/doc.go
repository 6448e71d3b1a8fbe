// Package pomeloforward handles the requests of a router's callers: it looks up
// a request's route and account, requests an upstream that can answer in time,
// forwards the request there and passes the answer on. An answer that breaks
// off closes the caller's connection, so that it cannot pass for a complete
// one. Requests that are safe to repeat are retried within a budget. An answer
// states that a request did not run only when this is certain.
package pomeloforward
