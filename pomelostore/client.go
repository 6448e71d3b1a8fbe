package pomelostore

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelodialer"

	"github.com/go-faster/errors"
)

const (
	maxIdleConnections = 16
	idleTimeout        = 90 * time.Second
	maxHeaderBytes     = 16 << 10
)

// Client implements pomelorelay.Store and pomelorelay.HostList over HTTP and JSON; it is safe for concurrent use.
type Client struct {
	cfg          Config
	http         *http.Client
	budget       *budget
	breaker      *breaker
	addressIndex atomic.Uint32
	stats        Stats
}

var (
	_ pomelorelay.Store    = (*Client)(nil)
	_ pomelorelay.HostList = (*Client)(nil)
)

// New returns a Client; it fails when cfg has no address.
func New(cfg Config) (*Client, error) {
	if len(cfg.Addresses) == 0 {
		return nil, errors.New("no store address configured")
	}
	cfg = cfg.withDefaults()
	return &Client{
		cfg:     cfg,
		http:    newHTTPClient(cfg),
		budget:  newBudget(cfg.CallsPerSecond, cfg.Clock.Now()),
		breaker: &breaker{failureThreshold: cfg.BreakerFailures, openFor: cfg.BreakerCooldown},
	}, nil
}

func newHTTPClient(cfg Config) *http.Client {
	dialer := pomelodialer.New(pomelodialer.Config{Timeout: cfg.Timeout, AckTimeout: cfg.AckTimeout})
	return &http.Client{
		Transport: &http.Transport{
			DialContext:            dialer.DialContext,
			MaxIdleConnsPerHost:    maxIdleConnections,
			IdleConnTimeout:        idleTimeout,
			MaxResponseHeaderBytes: maxHeaderBytes,
			DisableCompression:     true,
		},
		CheckRedirect: refuseRedirect,
	}
}

// refuseRedirect returns redirects to the caller as they are: when net/http follows a 307, it sends the write a second time, and the
// store receives two writes for one Call.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Stats returns the counters of the client's calls.
func (c *Client) Stats() *Stats { return &c.stats }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }
