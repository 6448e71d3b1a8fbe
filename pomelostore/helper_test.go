package pomelostore_test

import (
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelostore"
)

// manualClock is a clock that only moves by advance.
type manualClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *manualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *manualClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

func newClock() *manualClock { return &manualClock{now: time.Unix(1_700_000_000, 0)} }

func addressOf(t *testing.T, server *httptest.Server) netip.AddrPort {
	t.Helper()
	address, err := netip.ParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	return address
}

func newClient(t *testing.T, cfg pomelostore.Config) *pomelostore.Client {
	t.Helper()
	// Long, so that a busy host does not cause timeouts that fail the test.
	cfg.Timeout = time.Minute
	client, err := pomelostore.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return client
}

func wantCode(t *testing.T, err error, code pomelorelay.ResultCode) {
	t.Helper()
	if !pomelorelay.IsErrCode(err, code) {
		t.Fatalf("got %v, want code %d", err, code)
	}
}
