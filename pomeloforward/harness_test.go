package pomeloforward_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelofake"
	"github.com/pomelorelay/pomelorelay/pomeloforward"
	"github.com/pomelorelay/pomelorelay/pomeloplace"
	"github.com/pomelorelay/pomelorelay/pomelotable"
)

// upstream is a server on raw connections that answers with a test's function.
type upstream struct {
	t      *testing.T
	l      net.Listener
	mu     sync.Mutex
	heads  []string
	ended  chan struct{}
	answer func(conn net.Conn, r *http.Request)
	// full makes the server reset new connections.
	full atomic.Bool
	// accepted counts the connections accepted.
	accepted atomic.Int64
}

func newUpstream(t *testing.T, answer func(conn net.Conn, r *http.Request)) *upstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &upstream{t: t, l: l, answer: answer, ended: make(chan struct{}, 16)}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			u.accepted.Add(1)
			if u.full.Load() {
				reset(conn)
				continue
			}
			go u.serve(conn)
		}
	}()
	return u
}

func (u *upstream) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		u.mu.Lock()
		u.heads = append(u.heads, fmt.Sprintf("%s %s %s=%s body=%s", r.Method, r.RequestURI, pomelofake.TestHeaderAccount, r.Header.Get(pomelofake.TestHeaderAccount), body))
		u.mu.Unlock()
		u.answer(conn, r)
	}
}

func (u *upstream) requests() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.heads)
}

func (u *upstream) entry(id pomelorelay.UpstreamID) pomelorelay.FleetUpstream {
	return pomelorelay.FleetUpstream{ID: id, Service: "s", Addr: netip.MustParseAddrPort(u.l.Addr().String())}
}

// head returns the head of an answer to the request; the caller adds fields and body.
func head(r *http.Request, status int, fields string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%s: %s\r\n%s: me\r\n%s", status, pomelofake.TestHeaderRequestID, r.Header.Get(pomelofake.TestHeaderRequestID), pomelofake.TestHeaderSignedBy, fields)
}

func plainAnswer(r *http.Request, status int, body string) string {
	return head(r, status, fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body))
}

func streamHead(r *http.Request) string {
	return head(r, 200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
}

func chunkOf(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

func eventChunk(id int) string { return chunkOf(fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id)) }

const lastChunk = "0\r\n\r\n"

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}

// harness is a handler with a placement that returns the given upstreams in order.
type harness struct {
	t          *testing.T
	table      *pomelotable.Table
	placements []pomeloplace.Decision
	requests   []pomeloforward.PlacementRequest
	results    []pomeloplace.Result
	// loads holds the announced loads in the order in which they were recorded.
	loads   []pomeloforward.AnnouncedLoad
	stopsIn time.Duration
	// stoppedFor is the time since the stop began.
	stoppedFor time.Duration
	stopping   bool
	// finalAnswers ends requests without an answer once endAnswers was called.
	finalAnswers context.Context
	endAnswers   context.CancelFunc
	// beforePlace, if set, is called while a request waits for its placement.
	beforePlace func()
	// callerGone reports whether a caller has disconnected; nil means never.
	callerGone func() bool
	mu         sync.Mutex
	server     *httptest.Server
	handler    *pomeloforward.Handler
	// suspected states that every request is suspected of crashing upstreams; quarantine is the remaining quarantine of every request.
	suspected  bool
	quarantine time.Duration
	// broken are the runs reported whose connection broke, crashReports those whose upstream crashed, undelimited those whose answer may be cut.
	broken, crashReports, undelimited []pomeloforward.BrokenRun
	// answered counts the runs that ended with an answer, lasting those whose answer lasted.
	answered, lasting int
	// events holds the number of events of each run.
	events []int
}

var routes = []pomelorelay.Route{
	{Name: "read", Host: "h.example", Prefix: "/read/", Kind: pomelorelay.RouteIdempotent, Timeout: 2 * time.Second, MaxAttempts: 2},
	{Name: "book", Host: "h.example", Prefix: "/book/", Kind: pomelorelay.RouteOnce, Timeout: 2 * time.Second, MaxAttempts: 1},
	{Name: "draft", Host: "h.example", Prefix: "/draft/", Kind: pomelorelay.RouteStream, Timeout: 5 * time.Second, MaxAttempts: 1},
	{Name: "chat", Host: "h.example", Prefix: "/chat/", Kind: pomelorelay.RouteStream, Timeout: 5 * time.Second, MaxAttempts: 2, Resumable: true},
	{Name: "long-chat", Host: "h.example", Prefix: "/long-chat/", Kind: pomelorelay.RouteStream, Timeout: 5 * time.Second, MaxAttempts: 3, Resumable: true},
	{Name: "talk", Host: "h.example", Prefix: "/talk/", Kind: pomelorelay.RouteStream, Timeout: 5 * time.Second, MaxEventGap: 100 * time.Millisecond, MaxAttempts: 1},
	{Name: "open", Host: "h.example", Prefix: "/open/", Kind: pomelorelay.RouteIdempotent, Timeout: 2 * time.Second, MaxAttempts: 1, Public: true},
}

func newHarness(t *testing.T, upstreams ...pomelorelay.FleetUpstream) *harness {
	t.Helper()
	return newHarnessWith(t, 1000, func(*pomeloforward.Config) {}, upstreams...)
}

// newHarnessWithBodies returns a harness with a limit on each body and on the memory of all of them.
func newHarnessWithBodies(t *testing.T, bodyLimit, bodyMemory pomelorelay.Bytes, upstreams ...pomelorelay.FleetUpstream) *harness {
	t.Helper()
	return newHarnessWith(t, bodyLimit, func(cfg *pomeloforward.Config) { cfg.BodyMemory = bodyMemory }, upstreams...)
}

// newHarnessWith returns a harness with a limit on each body and a changed configuration of its handler.
func newHarnessWith(t *testing.T, bodyLimit pomelorelay.Bytes, change func(*pomeloforward.Config), upstreams ...pomelorelay.FleetUpstream) *harness {
	t.Helper()
	h := &harness{t: t}
	h.finalAnswers, h.endAnswers = context.WithCancel(context.Background())
	t.Cleanup(h.endAnswers)
	for _, u := range upstreams {
		h.placements = append(h.placements, pomeloplace.Decision{Upstream: u})
	}
	shared := append([]pomelorelay.Route(nil), routes...)
	for i := range shared {
		shared[i].Shares = []pomelorelay.RouteShare{{Service: "s", Weight: 1}}
	}
	h.table = pomelotable.New(&pomelorelay.FleetConfig{
		Version: 3, Routes: shared, Accounts: []pomelorelay.AccountSpec{{Name: "acct", Keys: []string{"key"}}},
		Limits: pomelorelay.CallerLimits{BodyBytes: bodyLimit},
	})
	cfg := pomeloforward.Config{
		Clock: pomelorelay.SystemClock{}, Logger: pomelorelay.NopLogger{}, Wire: pomelofake.TestWireFormat{}, Tables: h, Placement: h, Crashes: h, Shutdown: h, Meter: h,
		CallerGone: h.isCallerGone,
		Fleet:      h, RetryRatio: 0.2, RetrySlack: 100,
	}
	change(&cfg)
	handler := pomeloforward.New(cfg)
	h.handler = handler
	h.server = httptest.NewServer(handler)
	t.Cleanup(func() {
		h.server.Close()
		handler.Close()
	})
	return h
}

func (h *harness) isCallerGone(*http.Request) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.callerGone != nil && h.callerGone()
}

func (h *harness) Current() *pomelotable.Table {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table
}

func (h *harness) Place(_ context.Context, request pomeloforward.PlacementRequest) (pomeloforward.Reservation, pomeloplace.Decision, error) {
	if h.beforePlace != nil {
		h.beforePlace()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests = append(h.requests, request)
	if len(h.placements) == 0 {
		return nil, pomeloplace.Decision{Reason: pomeloplace.ReasonTooLate, RetryAfter: 250 * time.Millisecond}, nil
	}
	d := h.placements[0]
	h.placements = h.placements[1:]
	return h, d, nil
}

func (h *harness) AnswerBegan(load pomeloforward.AnnouncedLoad) { h.addLoad(load) }

func (h *harness) StreamBegan(bool) {}

func (h *harness) addLoad(load pomeloforward.AnnouncedLoad) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if load.Invalid || load.Figures.Known() {
		h.loads = append(h.loads, load)
	}
}

func (h *harness) AnswerLasts() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lasting++
}

func (h *harness) Done(end pomeloforward.RunEnd) {
	h.addLoad(end.Load)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.results = append(h.results, end.Result)
	h.events = append(h.events, end.Events)
	if end.Answered {
		h.answered++
	}
}

func (h *harness) eventsOf(i int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.events[i]
}

func (h *harness) result(i int) pomeloplace.Result {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.results[i]
}

func (h *harness) Routers() int { return 1 }

func (h *harness) TimeLeft() (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stopsIn, h.stopping
}

func (h *harness) Elapsed() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stoppedFor
}

func (h *harness) ObserveAnswer(pomelorelay.RouteKind, string, time.Duration, time.Duration) {}

func (h *harness) CountRetry(pomelorelay.ServiceID, pomelorelay.ResultCode) {}

func (h *harness) CountRetryDenied(pomelorelay.ServiceID) {}

func (h *harness) CountBrokenRun() {}

func (h *harness) CountCrash(pomelorelay.CrashEvidence) {}

func (h *harness) QuarantineRemaining([]pomelorelay.Fingerprint) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.quarantine
}

func (h *harness) MayHaveCrashed(f pomelorelay.Fingerprint) bool { return h.IsSuspect(f) }

func (h *harness) IsSuspect(pomelorelay.Fingerprint) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.suspected
}

func (h *harness) ConnectionBroke(run pomeloforward.BrokenRun) { h.addRun(&h.broken, run) }

func (h *harness) UpstreamCrashed(run pomeloforward.BrokenRun) { h.addRun(&h.crashReports, run) }

func (h *harness) AnswerMayBeCut(run pomeloforward.BrokenRun) { h.addRun(&h.undelimited, run) }

func (h *harness) addRun(list *[]pomeloforward.BrokenRun, run pomeloforward.BrokenRun) {
	h.mu.Lock()
	defer h.mu.Unlock()
	*list = append(*list, run)
}

// decisionFor returns the decision to send a request to the upstream.
func decisionFor(u *upstream) pomeloplace.Decision {
	return pomeloplace.Decision{Upstream: u.entry("u")}
}

// readAnswer reads an answer from a caller's connection.
func readAnswer(t *testing.T, conn net.Conn) answer {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return answer{bodyErr: err}
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, head: resp.Header, body: string(got), bodyErr: err}
}

// answer is what a caller received.
type answer struct {
	status int
	head   http.Header
	body   string
	// bodyErr is set when the connection broke or the body ended early.
	bodyErr error
}

// call sends a caller's request on a connection of its own.
func (h *harness) call(method, path, body string, fields ...string) answer {
	h.t.Helper()
	req, err := http.NewRequest(method, h.server.URL+path, strings.NewReader(body))
	if err != nil {
		h.t.Fatal(err)
	}
	req.Host = "h.example"
	req.Close = true
	req.Header.Set(pomelofake.TestHeaderRequestID, "req-1")
	req.Header.Set(pomelofake.TestHeaderWait, "3000")
	req.Header.Set(pomelofake.TestHeaderCallerKey, "key")
	for i := 0; i+1 < len(fields); i += 2 {
		req.Header.Set(fields[i], fields[i+1])
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return answer{bodyErr: err}
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, head: resp.Header, body: string(got), bodyErr: err}
}

func (h *harness) reportedCrashes() []pomeloforward.BrokenRun {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.crashReports
}
