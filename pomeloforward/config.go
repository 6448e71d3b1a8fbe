package pomeloforward

import (
	"context"
	"net/http"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloplace"
	"github.com/pomelorelay/pomelorelay/pomelotable"
)

// Config holds what a Handler needs.
type Config struct {
	Clock     pomelorelay.Clock
	Logger    pomelorelay.Logger
	Wire      pomelorelay.WireFormat
	Tables    Tables
	Placement Placement
	Stopping  Stopping
	Meter     Meter
	// Left reports whether a request's caller has left, where that can be told sooner than by its context; nil when it cannot.
	Left func(*http.Request) bool
	// RetryRatio and RetrySlack bound what the fleet sends again of one service's requests: the ratio of them, and the slack.
	RetryRatio float64
	RetrySlack float64
}

// Tables gives the configuration in force.
type Tables interface {
	// Current returns the table in force, nil while there is none; it never blocks.
	Current() *pomelotable.Table
}

// Work is a request that wants an upstream.
type Work struct {
	ID      string
	Route   pomelorelay.RouteID
	Account pomelorelay.AccountID
	// Cost is what the request counts towards its account's share; zero for plain services.
	Cost  pomelorelay.Cost
	Place pomeloplace.Request
	// Again tells that the request asked for a place before, Charged that an attempt of it may have run and was charged to its account.
	Again, Charged bool
}

// Placement decides where requests go.
type Placement interface {
	// Place returns a ticket or a refusal at once; it fails when ctx ends.
	Place(ctx context.Context, w Work) (Ticket, pomeloplace.Decision, error)
}

// Ticket is a request's place at an upstream; Ended must be called exactly once.
type Ticket interface {
	// Begun notes that the answer began.
	Begun()
	// Ended notes how the run ended.
	Ended(r pomeloplace.Result)
}

// Stopping tells of a planned stop.
type Stopping interface {
	// StopsIn returns the time until the process ends, false when no stop is planned.
	StopsIn() (time.Duration, bool)
}

// Meter counts what callers get.
type Meter interface {
	// ObserveAnswer counts an answer: how the request ended, the time to the answer's beginning and to its end.
	ObserveAnswer(kind pomelorelay.RouteKind, ending string, first, total time.Duration)
	// CountRetry counts a request that is sent again.
	CountRetry(code pomelorelay.ResultCode)
}

const (
	// refusedRetry is what a refusal tells its caller when nothing better is known.
	refusedRetry = 500 * time.Millisecond
	// endSlack is how long after its deadline an upstream's own last word is awaited; it comes over one way between regions.
	endSlack = 100 * time.Millisecond
	// dialTimeout bounds a connection attempt: the way to another region and back, and a lost packet, which costs 200 ms.
	dialTimeout = 500 * time.Millisecond
	// ackTimeout is how long an upstream's host may acknowledge nothing: ten times the way between regions, and two lost packets.
	ackTimeout = 2 * time.Second
	// idleTimeout closes connections that nobody uses; upstreams name shorter times themselves.
	idleTimeout = 10 * time.Second
	// idleConns bounds the idle connections to one upstream: what an engine runs at once from one router in a burst.
	idleConns = 64
	// maxHeader bounds an answer's head.
	maxHeader = 64 << 10
	// maxUnreached bounds the upstreams that are tried for a request without any taking a connection. With a quarter of them down, one
	// request in 64 would find three in a row.
	maxUnreached = 6
	// maxRefused bounds the upstreams that may refuse one request without running it.
	maxRefused = 2
	// bufferAnswer is the size up to which a plain answer is held until it is whole.
	bufferAnswer = 64 << 10
	// writeSlack is how long after a request's deadline its caller may still take the answer.
	writeSlack = 2 * time.Second
)
