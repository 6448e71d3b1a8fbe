package pomeloentry_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloentry"
	"github.com/pomelorelay/pomelorelay/pomelofake"
)

// testTimeout bounds the wait for an expected event; no result depends on how long it took.
const testTimeout = 20 * time.Second

// hostDelay is the delay up to which routers of a fleet that ignores it take nothing for late; it is longer than the delays of a busy host.
const hostDelay = time.Second

// fleet is a number of real routers with a fake store and fake upstreams.
type fleet struct {
	t        testing.TB
	store    *pomelofake.FleetStore
	nodes    []*node
	requests atomic.Uint64
	// network, if set, connects the routers in place of links.
	network *pomelofake.Network
	// ignoresHostDelay keeps the routers from refusing requests as overloaded because the host runs them late.
	ignoresHostDelay bool
}

type node struct {
	router   *pomeloentry.Router
	view     *pomelofake.FleetStoreClient
	settings pomelorelay.FleetSettings
	log      *eventLog
}

// eventLog records the events that a router logged.
type eventLog struct {
	mu     sync.Mutex
	events []loggedEvent
}

type loggedEvent struct {
	at     time.Time
	id     pomelorelay.EventID
	fields []pomelorelay.Field
}

func (l *eventLog) Log(id pomelorelay.EventID, fields ...pomelorelay.Field) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, loggedEvent{time.Now(), id, fields})
}

func (l *eventLog) has(id pomelorelay.EventID) bool {
	return l.hasWith(id, func(pomelorelay.Field) bool { return true })
}

// hasWith reports whether an event was logged with a matching field.
func (l *eventLog) hasWith(id pomelorelay.EventID, matches func(pomelorelay.Field) bool) bool {
	_, ok := l.timeOf(id, matches)
	return ok
}

// timeOf returns when an event was first logged with a matching field.
func (l *eventLog) timeOf(id pomelorelay.EventID, matches func(pomelorelay.Field) bool) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.events {
		if e.id == id && slices.ContainsFunc(e.fields, matches) {
			return e.at, true
		}
	}
	return time.Time{}, false
}

// print writes the router's log to the test output, so that a rare failure can be analysed from the run in which it occurred.
func (l *eventLog) print(t testing.TB, node pomelorelay.NodeID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.events {
		t.Logf("%s %s event %d %v", e.at.Format("05.000"), node, e.id, e.fields)
	}
}

func newFleet(t testing.TB) *fleet {
	t.Helper()
	f := &fleet{t: t, store: pomelofake.NewFleetStore()}
	f.store.DecodeConfig = func(document []byte) (*pomelorelay.FleetConfig, error) {
		var c pomelorelay.FleetConfig
		if err := json.Unmarshal(document, &c); err != nil {
			return nil, pomelorelay.NewError(pomelorelay.CodePlatformConfigUnreadable, "", err)
		}
		c.Document = document
		return &c, nil
	}
	return f
}

// config returns a configuration version with routes of the given path prefixes.
func (f *fleet) config(version pomelorelay.Generation, paths ...string) *pomelorelay.FleetConfig {
	f.t.Helper()
	return f.configWith(version, func(*pomelorelay.FleetConfig) {}, paths...)
}

// configWith returns a modified configuration version.
func (f *fleet) configWith(version pomelorelay.Generation, change func(*pomelorelay.FleetConfig), paths ...string) *pomelorelay.FleetConfig {
	f.t.Helper()
	c := pomelorelay.FleetConfig{
		Version: version, Services: []pomelorelay.ServiceSpec{{Name: "s"}}, Limits: pomelorelay.CallerLimits{BodyBytes: 1 << 20},
		Accounts: []pomelorelay.AccountSpec{{Name: "acct", Keys: []string{"key"}}},
	}
	for _, p := range paths {
		c.Routes = append(c.Routes, pomelorelay.Route{
			Name: pomelorelay.RouteID(p), Host: "h.example", Prefix: p, Kind: pomelorelay.RouteOnce, Timeout: 5 * time.Second, TargetLatency: time.Second, MaxAttempts: 1,
			Shares: []pomelorelay.RouteShare{{Service: "s", Weight: 1}},
		})
	}
	change(&c)
	document, err := json.Marshal(c)
	if err != nil {
		f.t.Fatal(err)
	}
	decoded, err := f.store.DecodeConfig(document)
	if err != nil {
		f.t.Fatal(err)
	}
	return decoded
}

// start starts a router; stopWait is the time from the stop signal until the process is killed.
func (f *fleet) start(stopWait time.Duration) *node {
	f.t.Helper()
	return f.startWith(stopWait, func(*pomelorelay.FleetSettings) {})
}

// startWith starts a router with modified settings.
func (f *fleet) startWith(stopWait time.Duration, change func(*pomelorelay.FleetSettings)) *node {
	f.t.Helper()
	n := &node{view: f.store.NewClient(), log: &eventLog{}}
	n.settings = pomelorelay.FleetSettings{
		Self:       pomelorelay.Peer{Node: pomelorelay.NodeID(fmt.Sprintf("r%d", len(f.nodes))), Addr: pomelofake.FreeAddr(), Domain: "a", Region: "ra"},
		Regions:    map[pomelorelay.DomainID]pomelorelay.RegionID{"a": "ra"},
		CallerAddr: pomelofake.FreeAddr(), ReadinessAddr: pomelofake.FreeAddr(), MetricsAddr: pomelofake.FreeAddr(),
		StopTimeout: stopWait, RetryRatio: 0.2, RetrySlack: 50, ShareWindow: 4 * time.Second,
	}
	change(&n.settings)
	cfg := pomeloentry.Config{Settings: n.settings, Platform: n.view, Wire: pomelofake.TestWireFormat{}, Logger: n.log}
	if f.network != nil {
		cfg.Incarnation = 1
		cfg.Mesh = f.network.Join(n.settings.Self, cfg.Incarnation)
	}
	router, err := pomeloentry.New(cfg)
	if err != nil {
		f.t.Fatal(err)
	}
	n.router = router
	if f.ignoresHostDelay {
		router.IgnoreDelay(hostDelay)
	}
	f.t.Cleanup(func() {
		if f.t.Failed() {
			n.log.print(f.t, n.settings.Self.Node)
		}
	})
	f.t.Cleanup(router.Close)
	if err := router.Listen(); err != nil {
		f.t.Fatal(err)
	}
	f.nodes = append(f.nodes, n)
	return n
}

// upstream starts and registers an upstream that answers after a pause.
func (f *fleet) upstream(id pomelorelay.UpstreamID, pause time.Duration) pomelorelay.FleetUpstream {
	f.t.Helper()
	return f.upstreamWith(id, pause, func(*pomelorelay.FleetUpstream) {})
}

// upstreamWith starts an upstream and registers it with a modified entry.
func (f *fleet) upstreamWith(id pomelorelay.UpstreamID, pause time.Duration, change func(*pomelorelay.FleetUpstream)) pomelorelay.FleetUpstream {
	f.t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(pause)
		w.Header().Set(pomelofake.TestHeaderRequestID, r.Header.Get(pomelofake.TestHeaderRequestID))
		w.Header().Set(pomelofake.TestHeaderSignedBy, string(id))
		fmt.Fprint(w, "done")
	}))
	f.t.Cleanup(server.Close)
	u := pomelorelay.FleetUpstream{ID: id, Service: "s", Addr: netip.MustParseAddrPort(server.Listener.Addr().String()), Domain: "a", Slots: 8}
	change(&u)
	f.store.PutUpstream(u)
	return u
}

// call sends a request and returns the status and the id of the upstream that answered; the status is 0 when the connection broke.
func (f *fleet) call(n *node, path string) (int, string) { return f.callWithParts(n, path, "") }

// callWithParts is call for a request with prompt parts.
func (f *fleet) callWithParts(n *node, path, parts string) (int, string) {
	f.t.Helper()
	req, err := http.NewRequest("POST", "http://"+n.settings.CallerAddr.String()+path, strings.NewReader("x"))
	if err != nil {
		f.t.Fatal(err)
	}
	req.Host, req.Close = "h.example", true
	req.Header.Set(pomelofake.TestHeaderRequestID, fmt.Sprint("req-", f.requests.Add(1)))
	req.Header.Set(pomelofake.TestHeaderCallerKey, "key")
	req.Header.Set(pomelofake.TestHeaderWait, "4000")
	req.Header.Set(pomelofake.TestHeaderPromptParts, parts)
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	if _, err := io.ReadAll(resp.Body); err != nil {
		return 0, ""
	}
	return resp.StatusCode, resp.Header.Get(pomelofake.TestHeaderSignedBy)
}

func (f *fleet) get(addr netip.AddrPort, path string) (int, string) {
	f.t.Helper()
	resp, err := http.Get("http://" + addr.String() + path)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(body)
}

func (f *fleet) ready(n *node) bool {
	status, _ := f.get(n.settings.ReadinessAddr, "/ready")
	return status == http.StatusOK
}

func (f *fleet) await(what string, done func() bool) {
	f.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if done() {
			return
		}
	}
	f.t.Fatalf("timed out waiting until %s", what)
}

func (f *fleet) awaitStatus(n *node, path string, want int) {
	f.t.Helper()
	f.await(fmt.Sprintf("%s is answered with %d", path, want), func() bool {
		status, _ := f.call(n, path)
		return status == want
	})
}

// awaitPeers waits until every router has count peers.
func (f *fleet) awaitPeers(count int) {
	f.t.Helper()
	f.await("every router has the others as peers", func() bool {
		for _, n := range f.nodes {
			if _, text := f.get(n.settings.MetricsAddr, "/metrics"); !strings.Contains(text, fmt.Sprintf("pomelorelay_state{name=\"peers\"} %d\n", count)) {
				return false
			}
		}
		return true
	})
}
