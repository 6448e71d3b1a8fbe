package pomelolink

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/pomelorelay/pomelorelay"

	"golang.org/x/sys/unix"
)

// Protocol names what the upstreams of a deployment say in their answers.
type Protocol struct {
	// IDHeader is the header field of the request's id, which an upstream repeats in its answer.
	IDHeader string
	// NotRun reports whether an answer says that the upstream did not run the request.
	NotRun func(*http.Response) bool
	// AllowCloseDelimited accepts an answer that has neither length nor chunks and ends with its connection.
	AllowCloseDelimited bool
}

// Config holds what Links need; the times and counts are required.
type Config struct {
	Protocol Protocol
	// MaxHeaderBytes bounds the header of an answer.
	MaxHeaderBytes pomelorelay.Bytes
	// DialTimeout bounds a connection attempt.
	DialTimeout time.Duration
	// IdleConns bounds the idle connections kept per upstream.
	IdleConns int
	// IdleTimeout closes a connection that was not used, unless its upstream names a shorter time.
	IdleTimeout time.Duration
	// AckTimeout breaks a connection whose peer acknowledges nothing for as long; zero leaves it to the system.
	AckTimeout time.Duration
	Logger     pomelorelay.Logger
}

// Client opens exchanges with upstreams; it is safe for concurrent use.
type Client struct {
	cfg     Config
	conns   *pool
	buffers *Buffers
}

// New returns Links; Close ends their goroutine and their idle connections.
func New(cfg Config) *Client {
	if cfg.Logger == nil {
		cfg.Logger = pomelorelay.NopLogger{}
	}
	return &Client{cfg: cfg, conns: newPool(cfg), buffers: NewBuffers()}
}

// Buffers returns the buffers that exchanges share.
func (l *Client) Buffers() *Buffers { return l.buffers }

// Close ends the idle connections.
func (l *Client) Close() { l.conns.close() }

// ConnectionsOpened returns the number of connections that were opened since the start.
func (l *Client) ConnectionsOpened() uint64 { return l.conns.opened.Load() }

// Outcome tells what is known of an attempt at an upstream.
type Outcome int

// The outcomes of an attempt.
const (
	OutcomeNotSent       Outcome = iota + 1 // no byte was handed to a connection
	OutcomeRefusedNotRun                    // the upstream said that it did not run the request
	OutcomeComplete                            // the answer is whole
	OutcomeTruncated                         // the answer began and ended early
	OutcomeUnknown                          // bytes left and no answer began
)

// newDialer returns a dialer whose connections notice a peer that has gone silent without a reset.
func newDialer(cfg Config) net.Dialer {
	d := net.Dialer{Timeout: cfg.DialTimeout}
	if cfg.AckTimeout <= 0 {
		return d
	}
	d.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: cfg.AckTimeout / 2, Interval: cfg.AckTimeout / 2, Count: 1}
	// Bytes that nobody acknowledges are sent again for minutes by default. A request to a host behind a partition would
	// wait until its deadline, which its caller notices; with the bound it fails as soon as the peer is known to be silent.
	d.Control = func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(cfg.AckTimeout/time.Millisecond))
		})
		if err != nil {
			return err
		}
		return failed
	}
	return d
}
