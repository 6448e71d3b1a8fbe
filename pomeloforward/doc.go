// Package pomeloforward is the traffic path of a router on the users' platform:
// it finds a request's route and account, asks for an upstream that can begin
// in time, sends the request there once, and passes a whole answer on. What may
// be sent again is, within a budget; a refusal that says "not run" is true.
package pomeloforward
