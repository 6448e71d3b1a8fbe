package pomeloroute_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloroute"
)

// Guards against delivering an answer to the wrong caller: an upstream sends an answer twice, immediately or while the
// connection is idle, or answers with another request's id, and the next request reuses the connection.
func TestAnswerNeverReachesAnotherCaller(t *testing.T) {
	repeated := make(chan struct{}, 1)
	scripts := map[string]func(w *scriptedUpstream, n int64, conn net.Conn, r *bufio.Reader){
		"repeated at once": func(w *scriptedUpstream, n int64, conn net.Conn, r *bufio.Reader) {
			for id, ok := w.read(r); ok; id, ok = w.read(r) {
				conn.Write(append(plainAnswer(id, id), plainAnswer(id, id)...))
			}
		},
		"repeated while idle": func(w *scriptedUpstream, n int64, conn net.Conn, r *bufio.Reader) {
			for id, ok := w.read(r); ok; id, ok = w.read(r) {
				conn.Write(plainAnswer(id, id))
				time.Sleep(2 * time.Millisecond)
				conn.Write(plainAnswer(id, id))
				repeated <- struct{}{}
			}
		},
		"shifted by one": func(w *scriptedUpstream, n int64, conn net.Conn, r *bufio.Reader) {
			last := ""
			for id, ok := w.read(r); ok; id, ok = w.read(r) {
				if last == "" {
					conn.Write(plainAnswer(id, id))
				} else {
					conn.Write(plainAnswer(last, last))
				}
				last = id
			}
		},
	}
	for name, script := range scripts {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, pomeloroute.Options{})
			b.addUpstream(newScriptedUpstream(t, script).addr())
			b.addUpstream(b.upstreams[0].Address.String())
			for n := range 6 {
				a := b.call("GET", "/status/ring", "")
				if want := fmt.Sprintf("router-1-7-%x", n+1); a.body != want {
					t.Errorf("request %s: got %d %q", want, a.status, a.body)
				}
				if name == "repeated while idle" {
					<-repeated
				}
			}
		})
	}
}

// If a service does not echo ids, answers can be matched to requests only by connection, so connections must not be reused.
func TestConnectionWithoutEchoedIDIsNotReused(t *testing.T) {
	b := newHarness(t, pomeloroute.Options{})
	upstream := newScriptedUpstream(t, func(w *scriptedUpstream, n int64, conn net.Conn, r *bufio.Reader) {
		for _, ok := w.read(r); ok; _, ok = w.read(r) {
			conn.Write(plainAnswer("", "x"))
		}
	})
	b.addUpstream(upstream.addr())
	for range 5 {
		b.call("GET", "/status/ring", "")
	}
	if got := upstream.conns.Load(); got != 5 {
		t.Errorf("5 requests used %d connections, want 5", got)
	}
}

func TestRequestAndAnswerAreForwardedUnchanged(t *testing.T) {
	b := newHarness(t, pomeloroute.Options{})
	var mu sync.Mutex
	var seen *http.Request
	var body string
	b.serveUpstream(func(w http.ResponseWriter, r *http.Request) {
		text, _ := io.ReadAll(r.Body)
		mu.Lock()
		seen, body = r, string(text)
		mu.Unlock()
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("Trailer", "X-Sum")
		w.Header().Set("X-Own", "kept")
		w.Header().Set("Keep-Alive", "timeout=9")
		w.WriteHeader(http.StatusTeapot)
		io.WriteString(w, "body")
		w.Header().Set("X-Sum", "42")
	})
	for _, method := range []string{"GET", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "HEAD", "PURGE"} {
		req, err := http.NewRequest(method, b.url+"/status/a%2Fb/c?q=1&q=2", io.NopCloser(strings.NewReader("pearl")))
		if err != nil {
			t.Fatal(err)
		}
		req.ContentLength = -1
		req.Trailer = http.Header{"X-Check": {"7"}}
		a := b.do(req, "Connection", "X-Hop", "X-Hop", "dropped", "X-Kept", "kept", "Te", "trailers")
		mu.Lock()
		if seen.Method != method || seen.RequestURI != "/a%2Fb/c?q=1&q=2" || body != "pearl" || seen.Trailer.Get("X-Check") != "7" {
			t.Errorf("%s: the upstream received %s %s %q %v", method, seen.Method, seen.RequestURI, body, seen.Trailer)
		}
		for _, name := range []string{"X-Hop", "Connection", "Te", "Authorization"} {
			if seen.Header.Get(name) != "" {
				t.Errorf("%s: header field %s was forwarded", method, name)
			}
		}
		mu.Unlock()
		if a.status != http.StatusTeapot || a.head.Get("X-Own") != "kept" || a.head.Get("Keep-Alive") != "" {
			t.Errorf("%s: got %d %v", method, a.status, a.head)
		}
		if method != "HEAD" && (a.body != "body" || a.trailer.Get("X-Sum") != "42") {
			t.Errorf("%s: got %q, trailer %v", method, a.body, a.trailer)
		}
	}
}

func TestRefusedRequestsGetResultCodes(t *testing.T) {
	b := newHarness(t, pomeloroute.Options{MaxHeaders: 10})
	b.services["status"].MaxBody = 8
	b.serveUpstream(func(w http.ResponseWriter, r *http.Request) {})
	many := []string{}
	for n := range 12 {
		many = append(many, fmt.Sprint("X-N", n), "v")
	}
	cases := []struct {
		name   string
		path   string
		body   string
		fields []string
		code   pomelorelay.ResultCode
	}{
		{"no such service", "/nothing/x", "", nil, pomelorelay.CodeUnknownPath},
		{"no service", "/", "", nil, pomelorelay.CodeUnknownPath},
		{"body over the limit", "/status/x", "123456789", nil, pomelorelay.CodeTooLarge},
		{"too many fields", "/status/x", "", many, pomelorelay.CodeHeaderBounds},
		{"bad timeout", "/status/x", "", []string{"X-Timeout", "soon"}, pomelorelay.CodeBadRequest},
		{"zero timeout", "/status/x", "", []string{"X-Timeout", "0s"}, pomelorelay.CodeBadRequest},
		{"bad hint", "/status/x", "", []string{"X-Cost-Hint", "NaN"}, pomelorelay.CodeBadRequest},
		{"resumes a model's stream", "/drafter/v1/completions", `{"model":"m","stream":true}`, []string{"Last-Event-ID", "3"}, pomelorelay.CodeBadRequest},
		{"no key", "/booking/x", "", nil, pomelorelay.CodeClaimKeyNeeded},
		{"long key", "/booking/x", "", []string{"Idempotency-Key", strings.Repeat("k", 256)}, pomelorelay.CodeClaimKeyBounds},
		{"not JSON", "/drafter/v1/completions", "{", nil, pomelorelay.CodeBadRequest},
		{"no such model", "/drafter/v1/completions", `{"model":"none"}`, nil, pomelorelay.CodeNoUpstream},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := b.call("POST", c.path, c.body, c.fields...)
			p := a.problem(t)
			if p.Code != c.code || p.Ran != pomelorelay.RanNo || a.status != c.code.Info().HTTPStatus || a.head.Get("Ran") != "No" || a.head.Get("Content-Type") != "application/problem+json" {
				t.Errorf("got %d %+v", a.status, p)
			}
		})
	}
	for _, token := range []string{"", "Bearer wrong", "Basic " + workshopToken, "Bearer "} {
		req, _ := http.NewRequest("GET", b.url+"/status/x", nil)
		req.Header.Set("Authorization", token)
		resp, err := http.DefaultTransport.RoundTrip(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusUnauthorized {
			t.Errorf("token %q: got %d", token, resp.StatusCode)
		}
	}
	b.quarantineErr = &pomelorelay.Error{Code: pomelorelay.CodeQuarantined, Ran: pomelorelay.RanNo, RetryAfter: 90 * time.Second}
	if a := b.call("POST", "/status/x", ""); a.problem(t).Code != pomelorelay.CodeQuarantined || a.head.Get("Retry-After") != "90" {
		t.Errorf("quarantined: got %d %v", a.status, a.head)
	}
}

// Guards against running a retried booking twice, and against mixing up keys: another account uses the same key, and the key is
// reused with a different body.
func TestRetryWithSameKeyGetsStoredAnswer(t *testing.T) {
	b := newHarness(t, pomeloroute.Options{})
	runs := 0
	b.serveUpstream(func(w http.ResponseWriter, r *http.Request) {
		runs++
		w.Header().Set("Content-Type", "text/x-booking")
		w.WriteHeader(http.StatusCreated)
		fmt.Fprint(w, "booked ", runs)
	})
	first := b.call("POST", "/booking/jobs", "ring", "Idempotency-Key", "k")
	again := b.call("POST", "/booking/jobs", "ring", "Idempotency-Key", "k")
	if runs != 1 || again.body != first.body || again.status != http.StatusCreated || again.head.Get("Content-Type") != "text/x-booking" || again.head.Get("Idempotency-Replayed") != "true" {
		t.Errorf("the booking ran %d times and the retry got %d %q", runs, again.status, again.body)
	}
	if p := b.call("POST", "/booking/jobs", "necklace", "Idempotency-Key", "k").problem(t); p.Code != pomelorelay.CodeClaimConflict {
		t.Errorf("another body under the same key: got %+v, want CodeClaimConflict", p)
	}
	req, _ := http.NewRequest("POST", b.url+"/booking/jobs", strings.NewReader("ring"))
	req.Header.Set("Authorization", "Bearer "+rivalToken)
	req.Header.Set("Idempotency-Key", "k")
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	text, _ := io.ReadAll(resp.Body)
	resp.Body.Close()
	if string(text) != "booked 2" {
		t.Errorf("another account with the same key got %q", text)
	}
}

// A caller's connection breaks while its booking runs. The booking must continue and its outcome must be stored for the retry.
func TestClaimedRequestContinuesAfterCallerDisconnects(t *testing.T) {
	b := newHarness(t, pomeloroute.Options{})
	arrived, finish := make(chan struct{}), make(chan struct{})
	b.serveUpstream(func(w http.ResponseWriter, r *http.Request) {
		close(arrived)
		select {
		case <-finish:
		case <-r.Context().Done():
			t.Error("the booking was cancelled")
		}
		fmt.Fprint(w, "booked")
	})
	ctx, cancel := context.WithCancel(context.Background())
	req, _ := http.NewRequestWithContext(ctx, "POST", b.url+"/booking/jobs", strings.NewReader("ring"))
	go b.do(req, "Idempotency-Key", "k")
	<-arrived
	cancel()
	time.Sleep(5 * time.Millisecond)
	close(finish)
	waitFor(t, "the outcome was stored", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return len(b.settled) == 1
	})
	if a := b.call("POST", "/booking/jobs", "ring", "Idempotency-Key", "k"); a.body != "booked" {
		t.Errorf("the retry got %d %q", a.status, a.body)
	}
}

// A caller cancels a repeatable request. The request must be cancelled at the upstream too; otherwise it would keep its slot there for an
// answer that is not read.
func TestCallerCancelReachesUpstream(t *testing.T) {
	b := newHarness(t, pomeloroute.Options{})
	arrived, cancelled := make(chan struct{}), make(chan struct{})
	b.serveUpstream(func(w http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
		close(cancelled)
	})
	ctx, cancel := context.WithCancel(context.Background())
	req, _ := http.NewRequestWithContext(ctx, "GET", b.url+"/status/ring", nil)
	go b.do(req)
	<-arrived
	cancel()
	<-cancelled
	waitFor(t, "the slot was released", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return len(b.results) == 1
	})
	if r := b.lastResult(); r.Code != pomelorelay.CodeCallerGone {
		t.Errorf("result %+v, want CodeCallerGone", r)
	}
}

// An upstream crashes while it runs a repeatable request. The request must be marked as suspected of the crash before it is retried. If the
// connection broke but the upstream still accepts new connections, the request must not be marked.
func TestOnlyCrashMarksSuspect(t *testing.T) {
	b := newHarness(t, pomeloroute.Options{})
	var dying *scriptedUpstream
	dying = newScriptedUpstream(t, func(w *scriptedUpstream, n int64, conn net.Conn, r *bufio.Reader) {
		if _, ok := w.read(r); ok {
			dying.ln.Close()
		}
	})
	crashing := b.addUpstream(dying.addr())
	cutting := newScriptedUpstream(t, func(w *scriptedUpstream, n int64, conn net.Conn, r *bufio.Reader) { w.read(r) })
	b.addUpstream(cutting.addr())
	b.serveUpstream(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, "cleaned") })
	if a := b.call("GET", "/status/ring", ""); a.body != "cleaned" {
		t.Fatalf("got %d %q", a.status, a.body)
	}
	if len(b.crashed) != 1 || b.crashed[0].Upstream != crashing.Name || b.ended != 2 {
		t.Errorf("crashed %+v, %d ended", b.crashed, b.ended)
	}
	known := slices.IndexFunc(b.checked, func(r pomeloroute.SuspectRun) bool { return r.KnownSuspect })
	if known != 1 {
		t.Errorf("the attempt after the crash was not marked as a suspect: %+v", b.checked)
	}
}

// Guards against overlooking the crash of an upstream behind a proxy, which goes on taking connections.
func TestUpstreamThatDropsConnectionsHasCrashed(t *testing.T) {
	b := newHarness(t, pomeloroute.Options{})
	crashing := b.addUpstream(newScriptedUpstream(t, func(w *scriptedUpstream, n int64, conn net.Conn, r *bufio.Reader) {
		if n == 1 {
			w.read(r)
		}
	}).addr())
	b.serveUpstream(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, "cleaned") })
	if a := b.call("GET", "/status/ring", ""); a.body != "cleaned" {
		t.Fatalf("got %d %q", a.status, a.body)
	}
	if len(b.crashed) != 1 || b.crashed[0].Upstream != crashing.Name {
		t.Errorf("crashed %+v, want %s", b.crashed, crashing.Name)
	}
}

// Guards against an upstream's error answer that clears a request of the suspicion to crash upstreams.
func TestErrorAnswerDoesNotClearSuspect(t *testing.T) {
	for status, want := range map[int]int{http.StatusOK: 1, http.StatusNotFound: 1, http.StatusInternalServerError: 0, http.StatusGatewayTimeout: 0} {
		b := newHarness(t, pomeloroute.Options{})
		b.serveUpstream(func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(status) })
		if a := b.call("GET", "/status/ring", ""); a.status != status {
			t.Fatalf("got %d, want %d", a.status, status)
		}
		if b.served != want {
			t.Errorf("an answer with %d ended %d runs as served, want %d", status, b.served, want)
		}
	}
}

// An answer without Content-Length or chunked encoding looks complete when the upstream dies while sending it, so it must be refused.
func TestAnswerWithoutFramingIsRefused(t *testing.T) {
	b := newHarness(t, pomeloroute.Options{})
	b.addUpstream(newScriptedUpstream(t, func(w *scriptedUpstream, n int64, conn net.Conn, r *bufio.Reader) {
		w.read(r)
		io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nhalf of it")
	}).addr())
	if p := b.call("GET", "/status/ring", "").problem(t); p.Ran != pomelorelay.RanUnknown {
		t.Errorf("answer without framing: got %+v, want RanUnknown", p)
	}
	b.upstreams = nil
	b.addUpstream(newScriptedUpstream(t, func(w *scriptedUpstream, n int64, conn net.Conn, r *bufio.Reader) {
		w.read(r)
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Fill: "+strings.Repeat("x", 1<<20)+"\r\n\r\n")
	}).addr())
	if p := b.call("POST", "/booking/jobs", "r", "Idempotency-Key", "k").problem(t); p.Code != pomelorelay.CodeAnswerMalformed {
		t.Errorf("oversized header: got %+v", p)
	}
}

// A large answer is truncated after its status was forwarded; the caller must be able to detect that it is incomplete.
func TestTruncatedLargeAnswerIsDetected(t *testing.T) {
	b := newHarness(t, pomeloroute.Options{MaxBufferedAnswer: 1 << 10})
	large := strings.Repeat("pearl ", 100<<10)
	for _, complete := range []bool{true, false} {
		b.upstreams = nil
		b.addUpstream(newScriptedUpstream(t, func(w *scriptedUpstream, n int64, conn net.Conn, r *bufio.Reader) {
			id, _ := w.read(r)
			text := plainAnswer(id, large)
			if !complete {
				text = text[:len(text)-1]
			}
			conn.Write(text)
		}).addr())
		a := b.call("GET", "/status/ring", "")
		if (a.err == nil && a.body == large) != complete || (a.err == nil) != complete {
			t.Errorf("complete %v: got %d bytes, %v", complete, len(a.body), a.err)
		}
	}
}

// The router panics just before it sends a booking. The caller must be told that the booking may have run (RanUnknown), the slot must be
// released, and the claim on the idempotency key must be settled as unknown.
func TestPanicSettlesClaimAsUnknown(t *testing.T) {
	b := newHarness(t, pomeloroute.Options{})
	b.serveUpstream(func(w http.ResponseWriter, r *http.Request) {})
	b.panicOnStart = true
	a := b.call("POST", "/booking/jobs", "ring", "Idempotency-Key", "k")
	if p := a.problem(t); p.Code != pomelorelay.CodeInternal || p.Ran != pomelorelay.RanUnknown {
		t.Errorf("got %+v, want CodeInternal and RanUnknown", p)
	}
	if len(b.results) != 1 || len(b.settled) != 1 || b.settled[0].State != pomelorelay.ClaimUnknown {
		t.Errorf("results %+v, settled %+v", b.results, b.settled)
	}
}
