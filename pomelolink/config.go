package pomelolink

import (
	"net/http"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Protocol describes the parts of a deployment's upstream protocol that an exchange depends on.
type Protocol struct {
	// IDHeader is the header field of the request id, which upstreams echo in their answers.
	IDHeader string
	// NotRun reports whether an answer states that the upstream did not run the request.
	NotRun func(*http.Response) bool
	// AllowCloseDelimited accepts answers without Content-Length or chunked encoding, whose body ends when the connection closes.
	AllowCloseDelimited bool
}

// Config holds the arguments of New. All durations and counts are required except AckTimeout.
type Config struct {
	Protocol Protocol
	// MaxHeaderBytes limits the size of an answer's header.
	MaxHeaderBytes pomelorelay.Bytes
	// MaxAnswerMemory limits the memory that all events of streams together take beyond one chunk each; zero means no limit.
	MaxAnswerMemory pomelorelay.Bytes
	// DialTimeout limits the duration of a connection attempt.
	DialTimeout time.Duration
	// IdleConns limits the number of idle connections kept per upstream.
	IdleConns int
	// IdleTimeout is how long an unused connection is kept, unless the upstream's Keep-Alive field gives a shorter time.
	IdleTimeout time.Duration
	// AckTimeout closes a connection on which sent data stays unacknowledged for this long; zero keeps the system's default.
	AckTimeout time.Duration
	Logger     pomelorelay.Logger
}

// Client opens exchanges with upstreams; it is safe for concurrent use.
type Client struct {
	cfg     Config
	conns   *pool
	buffers *Buffers
}

// New creates an empty connection pool and starts a goroutine that closes expired idle connections; Close stops it.
func New(cfg Config) *Client {
	if cfg.Logger == nil {
		cfg.Logger = pomelorelay.NopLogger{}
	}
	return &Client{cfg: cfg, conns: newPool(cfg), buffers: NewBuffers(cfg.MaxAnswerMemory)}
}

// Buffers returns the buffer pools that all exchanges share.
func (c *Client) Buffers() *Buffers { return c.buffers }

// Close closes the idle connections and stops keeping new ones; exchanges in progress continue.
func (c *Client) Close() { c.conns.close() }

// ConnectionsOpened returns the number of connections opened since the start.
func (c *Client) ConnectionsOpened() uint64 { return c.conns.opened.Load() }

// Outcome classifies how far an attempt at an upstream got.
type Outcome int

// The outcomes of an attempt.
const (
	OutcomeNotSent       Outcome = iota + 1 // no byte was written to a connection
	OutcomeRefusedNotRun                    // the upstream stated that it did not run the request
	OutcomeComplete                         // the complete answer was received
	OutcomeTruncated                        // part of an answer was received
	OutcomeUnknown                          // bytes were written and no valid answer was received
)
