package pomeloroute_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
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
	"github.com/pomelorelay/pomelorelay/pomeloconfig"
	"github.com/pomelorelay/pomelorelay/pomeloproblem"
	"github.com/pomelorelay/pomelorelay/pomeloroute"
)

const (
	workshopToken = "workshop-token"
	rivalToken    = "rival-token"
)

// harness runs a Handler and implements the interfaces of its Config.
type harness struct {
	t             testing.TB
	url           string
	services      map[pomelorelay.ServiceID]*pomeloconfig.Service
	upstreams     []*pomeloconfig.Upstream
	quarantineErr error
	panicOnStart  bool

	mu      sync.Mutex
	next    int
	results []pomeloroute.Result
	claims  map[pomelorelay.ClaimKey]*storedClaim
	settled []pomeloroute.Settlement
	crashed []pomeloroute.SuspectRun
	// ended counts the runs that ended without a crash, served those of them with a complete answer and no server error.
	ended, served int
	checked       []pomeloroute.SuspectRun
}

type storedClaim struct {
	content pomelorelay.Fingerprint
	claim   pomeloroute.Claim
}

func newHarness(t testing.TB, options pomeloroute.Options) *harness {
	b := &harness{t: t, claims: make(map[pomelorelay.ClaimKey]*storedClaim), services: map[pomelorelay.ServiceID]*pomeloconfig.Service{
		"status":  {Name: "status", Kind: pomeloconfig.ServicePlain, RetryBudget: 1, MaxBody: 256 << 10},
		"booking": {Name: "booking", Kind: pomeloconfig.ServicePlain, NonIdempotent: true, RetryBudget: 1},
		"drafter": {Name: "drafter", Kind: pomeloconfig.ServiceModel, InputCost: 1, OutputCost: 2, RetryBudget: 1},
	}}
	h := pomeloroute.New(pomeloroute.Config{Node: "router-1", Incarnation: 7, ConfigSource: b, Admission: b, Claims: b, Suspects: b, Options: options})
	server := httptest.NewServer(h)
	b.url = server.URL
	t.Cleanup(func() {
		server.Close()
		h.Close()
	})
	return b
}

func (b *harness) Current() pomeloroute.Snapshot { return b }

func (b *harness) Authenticate(token string) (pomelorelay.AccountID, bool) {
	for name, plain := range map[pomelorelay.AccountID]string{"workshop": workshopToken, "rival": rivalToken} {
		if token == plain {
			return name, true
		}
	}
	return "", false
}

func (b *harness) MayCall(pomelorelay.AccountID, pomelorelay.ServiceID) bool { return true }

func (b *harness) Service(name pomelorelay.ServiceID) (*pomeloconfig.Service, bool) {
	s, ok := b.services[name]
	return s, ok
}

func (b *harness) HasPool(pool pomelorelay.PoolID) bool { return pool != "drafter/none" }

func (b *harness) Admit(_ context.Context, r pomeloroute.AdmitRequest) (pomeloroute.Ticket, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range b.upstreams {
		u := b.upstreams[b.next%len(b.upstreams)]
		b.next++
		if !slices.Contains(r.FailedUpstreams, u.Name) {
			return &ticket{b: b, up: u}, nil
		}
	}
	return nil, pomelorelay.NewError(pomelorelay.CodeNoUpstream, "", nil)
}

type ticket struct {
	b  *harness
	up *pomeloconfig.Upstream
}

func (t *ticket) Upstream() *pomeloconfig.Upstream { return t.up }
func (t *ticket) Usable() bool                     { return true }
func (t *ticket) Progress(pomelorelay.Cost)        {}
func (t *ticket) Done(r pomeloroute.Result) {
	t.b.mu.Lock()
	defer t.b.mu.Unlock()
	t.b.results = append(t.b.results, r)
}

func (b *harness) Claim(_ context.Context, key pomelorelay.ClaimKey, content pomelorelay.Fingerprint) (pomeloroute.Claim, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if k, ok := b.claims[key]; ok {
		c := k.claim
		if k.content != content {
			c.State = pomelorelay.ClaimConflict
		}
		return c, nil
	}
	b.claims[key] = &storedClaim{content: content, claim: pomeloroute.Claim{Key: key, State: pomelorelay.ClaimRunning}}
	return pomeloroute.Claim{Key: key, State: pomelorelay.ClaimGranted}, nil
}

func (b *harness) Settle(c pomeloroute.Claim, s pomeloroute.Settlement) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settled = append(b.settled, s)
	if s.Released {
		delete(b.claims, c.Key)
		return
	}
	b.claims[c.Key].claim = pomeloroute.Claim{Key: c.Key, State: s.State, Outcome: s.Outcome}
}

func (b *harness) CheckQuarantine(pomelorelay.Fingerprint, []pomelorelay.Fingerprint) error {
	return b.quarantineErr
}

func (b *harness) AwaitPermission(_ context.Context, run pomeloroute.SuspectRun) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.checked = append(b.checked, run)
	return nil
}

func (b *harness) AttemptStarted(pomeloroute.SuspectRun) {
	if b.panicOnStart {
		panic("injected panic")
	}
}

func (b *harness) UpstreamCrashed(run pomeloroute.SuspectRun) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.crashed = append(b.crashed, run)
}

func (b *harness) AttemptEnded(_ pomeloroute.SuspectRun, served bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended++
	if served {
		b.served++
	}
}

func (b *harness) lastResult() pomeloroute.Result {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.results[len(b.results)-1]
}

// addUpstream adds an upstream at the address, which serves every pool.
func (b *harness) addUpstream(addr string) *pomeloconfig.Upstream {
	name := pomelorelay.UpstreamID("upstream-" + string(rune('a'+len(b.upstreams))))
	u := &pomeloconfig.Upstream{Name: name, Address: netip.MustParseAddrPort(addr)}
	b.upstreams = append(b.upstreams, u)
	return u
}

func (b *harness) serveUpstream(h http.HandlerFunc) *httptest.Server {
	s := httptest.NewServer(h)
	b.t.Cleanup(s.Close)
	b.addUpstream(s.Listener.Addr().String())
	return s
}

// answer is a caller's result; err is set if the connection broke.
type answer struct {
	status  int
	head    http.Header
	trailer http.Header
	body    string
	err     error
}

func (a answer) problem(t testing.TB) pomeloproblem.Problem {
	t.Helper()
	var p pomeloproblem.Problem
	if err := json.Unmarshal([]byte(a.body), &p); err != nil {
		t.Fatalf("answer is not a problem document: %d %q", a.status, a.body)
	}
	return p
}

func (b *harness) call(method, path, body string, fields ...string) answer {
	req, err := http.NewRequest(method, b.url+path, strings.NewReader(body))
	if err != nil {
		b.t.Fatal(err)
	}
	return b.do(req, fields...)
}

func (b *harness) do(req *http.Request, fields ...string) answer {
	req.Header.Set("Authorization", "Bearer "+workshopToken)
	for i := 0; i+1 < len(fields); i += 2 {
		req.Header.Set(fields[i], fields[i+1])
	}
	// net/http retries requests only on reused connections, so the test's client, which keeps none, never retries.
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, head: resp.Header, trailer: resp.Trailer, body: string(text), err: err}
}

// scriptedUpstream is an upstream whose connections are served by a test's script; it counts connections and completely received requests.
type scriptedUpstream struct {
	ln       net.Listener
	conns    atomic.Int64
	requests atomic.Int64
	started  atomic.Int64
}

// newScriptedUpstream serves each connection with the script, whose argument n is the number of the connection, starting at 1.
func newScriptedUpstream(t testing.TB, script func(w *scriptedUpstream, n int64, conn net.Conn, r *bufio.Reader)) *scriptedUpstream {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &scriptedUpstream{ln: ln}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			n := w.conns.Add(1)
			go func() {
				defer conn.Close()
				script(w, n, conn, bufio.NewReader(conn))
			}()
		}
	}()
	return w
}

func (w *scriptedUpstream) addr() string { return w.ln.Addr().String() }

// read reads a complete request and returns its id.
func (w *scriptedUpstream) read(r *bufio.Reader) (id string, ok bool) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", false
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return "", false
	}
	w.requests.Add(1)
	return req.Header.Get("X-Request-Id"), true
}

func plainAnswer(id, body string) []byte {
	var text bytes.Buffer
	text.WriteString("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n")
	if id != "" {
		text.WriteString("X-Request-Id: " + id + "\r\n")
	}
	text.WriteString("Content-Length: " + itoa(len(body)) + "\r\n\r\n" + body)
	return text.Bytes()
}

func itoa(n int) string {
	text, _ := json.Marshal(n)
	return string(text)
}

func waitFor(t testing.TB, what string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within 10 s: %s", what)
		}
	}
}
