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
	Tables    TableSource
	Placement Placement
	Shutdown  Shutdown
	Meter     Meter
	// CallerGone reports whether a request's caller has left, where that can be told sooner than by its context; nil when it cannot.
	CallerGone func(*http.Request) bool
	// RetryRatio and RetrySlack bound what the fleet sends again of one service's requests: the ratio of them, and the slack.
	RetryRatio float64
	RetrySlack float64
}

// TableSource gives the configuration in force.
type TableSource interface {
	// Current returns the table in force, nil while there is none; it never blocks.
	Current() *pomelotable.Table
}

// PlacementRequest is a request that wants an upstream.
type PlacementRequest struct {
	ID      string
	Route   pomelorelay.RouteID
	Account pomelorelay.AccountID
	// Cost is what the request counts towards its account's share; zero for plain services.
	Cost    pomelorelay.Cost
	Request pomeloplace.Request
	// Retry tells that the request asked for a place before, Charged that an attempt of it may have run and was charged to its account.
	Retry, Charged bool
}

// Placement decides where requests go.
type Placement interface {
	// Place returns a ticket or a refusal at once; it fails when ctx ends.
	Place(ctx context.Context, w PlacementRequest) (Reservation, pomeloplace.Decision, error)
}

// Reservation is a request's place at an upstream; Ended must be called exactly once.
type Reservation interface {
	// AnswerBegan notes that the answer began.
	AnswerBegan()
	// Done notes how the run ended.
	Done(r pomeloplace.Result)
}

// Shutdown tells of a planned stop.
type Shutdown interface {
	// TimeLeft returns the time until the process ends, false when no stop is planned.
	TimeLeft() (time.Duration, bool)
}

// Meter counts what callers get.
type Meter interface {
	// Answered counts an answer: how the request ended, the time to the answer's beginning and to its end.
	Answered(kind pomelorelay.RouteKind, ending string, first, total time.Duration)
	// Retried counts a request that is sent again.
	Retried(code pomelorelay.ResultCode)
}

const (
	// defaultRetryAfter is what a refusal tells its caller when nothing better is known.
	defaultRetryAfter = 500 * time.Millisecond
	// answerGrace is how long after its deadline an upstream's own last word is awaited; it comes over one way between regions.
	answerGrace = 100 * time.Millisecond
	// dialTimeout bounds a connection attempt: the way to another region and back, and a lost packet, which costs 200 ms.
	dialTimeout = 500 * time.Millisecond
	// ackTimeout is how long an upstream's host may acknowledge nothing: ten times the way between regions, and two lost packets.
	ackTimeout = 2 * time.Second
	// idleTimeout closes connections that nobody uses; upstreams name shorter times themselves.
	idleTimeout = 10 * time.Second
	// maxIdleConns bounds the idle connections to one upstream: what an engine runs at once from one router in a burst.
	maxIdleConns = 64
	// maxAnswerHeaderBytes bounds an answer's head.
	maxAnswerHeaderBytes = 64 << 10
	// maxUnreached bounds the upstreams that are tried for a request without any taking a connection. With a quarter of them down, one
	// request in 64 would find three in a row.
	maxUnreached = 6
	// maxRefused bounds the upstreams that may refuse one request without running it.
	maxRefused = 2
	// maxBufferedAnswer is the size up to which a plain answer is held until it is whole.
	maxBufferedAnswer = 64 << 10
	// writeGrace is how long after a request's deadline its caller may still take the answer.
	writeGrace = 2 * time.Second
)
