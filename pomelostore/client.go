package pomelostore

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pomelorelay/pomelorelay"

	"github.com/go-faster/errors"
)

const (
	idleConnections = 16
	idleTimeout     = 90 * time.Second
	headerBound     = 16 << 10
)

// Client is a Store and a HostList over HTTP and JSON; it is safe for concurrent use.
type Client struct {
	cfg     Config
	http    *http.Client
	budget  *budget
	breaker *breaker
	next    atomic.Uint32
	stats   Stats
}

var (
	_ pomelorelay.Store    = (*Client)(nil)
	_ pomelorelay.HostList = (*Client)(nil)
)

// New returns a Client; it fails when no address is given.
func New(cfg Config) (*Client, error) {
	if len(cfg.Addresses) == 0 {
		return nil, errors.New("no address of the store is given")
	}
	cfg = cfg.withDefaults()
	return &Client{
		cfg:     cfg,
		http:    newHTTPClient(cfg),
		budget:  newBudget(cfg.CallsPerSecond, cfg.Clock.Now()),
		breaker: &breaker{threshold: cfg.BreakerFailures, openFor: cfg.BreakerCooldown},
	}, nil
}

func newHTTPClient(cfg Config) *http.Client {
	dialer := &net.Dialer{Timeout: cfg.Timeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:            dialer.DialContext,
			MaxIdleConnsPerHost:    idleConnections,
			IdleConnTimeout:        idleTimeout,
			MaxResponseHeaderBytes: headerBound,
			DisableCompression:     true,
		},
		CheckRedirect: refuseRedirect,
	}
}

// refuseRedirect hands a redirect back as it is. Followed, a 307 would make net/http send the write a second time by itself,
// which a counter at the store would show as two writes for one Call.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Stats returns the counts of the client's calls.
func (c *Client) Stats() *Stats { return &c.stats }

// Close ends the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }
