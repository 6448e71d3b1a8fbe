package pomeloforward_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelofake"
	"github.com/pomelorelay/pomelorelay/pomeloplace"
)

func write(conn net.Conn, text string) { _, _ = conn.Write([]byte(text)) }

func TestPassesARequestAndItsAnswer(t *testing.T) {
	u := newUpstream(t, func(conn net.Conn, r *http.Request) { write(conn, plainAnswer(r, 201, "made")) })
	w := newWorld(t, u.entry("u1"))
	got := w.call("POST", "/book/a%2Fb?x=1", "hello", "Custom", "kept")
	if got.status != 201 || got.body != "made" || got.head.Get(pomelofake.FieldSigned) != "me" || got.cut != nil {
		t.Fatalf("%+v", got)
	}
	if want := "POST /book/a%2Fb?x=1 Client-Account=acct body=hello"; u.heads[0] != want {
		t.Errorf("the upstream got %q, want %q", u.heads[0], want)
	}
	if w.works[0].Account != "acct" || w.results[0] != pomeloplace.ResultCompleted {
		t.Errorf("%+v %v", w.works, w.results)
	}
}

func TestRefusalsBeforeAnything(t *testing.T) {
	w := newWorld(t)
	for _, c := range []struct {
		path, key, body string
		want            int
	}{
		{"/unknown/", "key", "", 404},
		{"/book/", "wrong", "", 401},
		{"/book/", "", "", 401},
		{"/book/", "key", strings.Repeat("x", 2000), 413},
		{"/book/", "key", "", 503},
		{"/open/", "", "", 503},
	} {
		got := w.call("POST", c.path, c.body, pomelofake.FieldKey, c.key)
		if got.status != c.want {
			t.Errorf("%s with key %q: %d, want %d", c.path, c.key, got.status, c.want)
		}
		if got.status == 503 && got.head.Get("Retry-After") != "0.250" {
			t.Errorf("told to come back after %q", got.head.Get("Retry-After"))
		}
	}
	w.mu.Lock()
	w.table = nil
	w.mu.Unlock()
	if got := w.call("GET", "/unknown/", ""); got.status != 503 {
		t.Errorf("a router without a configuration answers %d, want 503", got.status)
	}
}

// An upstream takes a booking and its connection breaks before any answer. The booking may have run: sent again it would be charged
// twice, and a status that promises that it did not run would make the caller send it again.
func TestABookingThatMayHaveRunIsNotSentAgain(t *testing.T) {
	u := newUpstream(t, func(conn net.Conn, _ *http.Request) { reset(conn) })
	w := newWorld(t, u.entry("u1"), u.entry("u2"))
	got := w.call("POST", "/book/", "x")
	if got.status != 502 || u.requests() != 1 || got.head.Get("Retry-After") != "" {
		t.Fatalf("%d after %d sends", got.status, u.requests())
	}
}

// The same for a read: it may run twice, and its caller wants the answer.
func TestAReadIsSentAgain(t *testing.T) {
	for name, answer := range map[string]func(net.Conn, *http.Request){
		"reset":  func(conn net.Conn, _ *http.Request) { reset(conn) },
		"failed": func(conn net.Conn, r *http.Request) { write(conn, plainAnswer(r, 500, "no")) },
		"cut": func(conn net.Conn, r *http.Request) {
			write(conn, head(r, 200, "Content-Length: 10\r\n\r\nabc"))
			reset(conn)
		},
		"unsigned": func(conn net.Conn, _ *http.Request) {
			write(conn, "HTTP/1.1 200 OK\r\nRequest-Id: req-1\r\nContent-Length: 1\r\n\r\nx")
		},
		"crossed": func(conn net.Conn, _ *http.Request) {
			write(conn, "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nSigned-By: me\r\nContent-Length: 1\r\n\r\nx")
		},
		"encoded": func(conn net.Conn, r *http.Request) {
			write(conn, head(r, 200, "Content-Encoding: gzip\r\nContent-Length: 1\r\n\r\nx"))
		},
		"no http": func(conn net.Conn, _ *http.Request) { write(conn, "garbage\r\n\r\n"); reset(conn) },
	} {
		t.Run(name, func(t *testing.T) {
			bad := newUpstream(t, answer)
			good := newUpstream(t, func(conn net.Conn, r *http.Request) { write(conn, plainAnswer(r, 200, "read")) })
			w := newWorld(t, bad.entry("bad"), good.entry("good"))
			if got := w.call("GET", "/read/", ""); got.status != 200 || got.body != "read" {
				t.Fatalf("%+v", got)
			}
			if w.results[0] != pomeloplace.ResultFailed || len(w.works[1].Place.Avoid) != 1 || !w.works[1].Again {
				t.Errorf("results %v, second try %+v", w.results, w.works[1])
			}
		})
	}
}

// A server that is full says that it did not run the request; another has the address of one that is gone. Both are safe to send
// elsewhere, also when the request may run only once.
func TestWhatSurelyDidNotRunGoesElsewhere(t *testing.T) {
	for _, status := range []int{503, 421} {
		full := newUpstream(t, func(conn net.Conn, r *http.Request) {
			write(conn, head(r, status, "Not-Run: 1\r\nContent-Length: 0\r\n\r\n"))
		})
		good := newUpstream(t, func(conn net.Conn, r *http.Request) { write(conn, plainAnswer(r, 200, "booked")) })
		w := newWorld(t, full.entry("full"), good.entry("good"))
		if got := w.call("POST", "/book/", "x"); got.status != 200 || got.body != "booked" {
			t.Fatalf("%d: %+v", status, got)
		}
		w = newWorld(t, full.entry("full"), full.entry("full"), full.entry("full"))
		if got := w.call("POST", "/book/", "x"); got.status != 503 || got.head.Get("Retry-After") == "" {
			t.Errorf("%d from every server: %+v", status, got)
		}
	}
}

// A server that ran a request answers with a status that would promise that it did not.
func TestPromisesOfServersAreNotPassedOn(t *testing.T) {
	for _, status := range []int{408, 429, 503} {
		u := newUpstream(t, func(conn net.Conn, r *http.Request) { write(conn, plainAnswer(r, status, "busy")) })
		w := newWorld(t, u.entry("u1"))
		if got := w.call("POST", "/book/", "x"); got.status != 502 || got.head.Get(pomelofake.FieldSigned) != "" {
			t.Errorf("%d became %d", status, got.status)
		}
	}
}

func TestAnswersWithoutALengthEndWithTheirConnection(t *testing.T) {
	whole := newUpstream(t, func(conn net.Conn, r *http.Request) { write(conn, head(r, 200, "\r\nall of it")); conn.Close() })
	if got := newWorld(t, whole.entry("u")).call("POST", "/book/", "x"); got.status != 200 || got.body != "all of it" {
		t.Fatalf("%+v", got)
	}
	broken := newUpstream(t, func(conn net.Conn, r *http.Request) {
		write(conn, head(r, 200, "\r\nhalf of it"))
		time.Sleep(20 * time.Millisecond)
		reset(conn)
	})
	if got := newWorld(t, broken.entry("u")).call("POST", "/book/", "x"); got.status != 502 {
		t.Errorf("an answer that was reset came as %+v", got)
	}
}

// A server sends bytes after its answer, or the answer to an earlier request once more. Taken for the next answer on the connection,
// they would reach another caller.
func TestExtraBytesReachNobody(t *testing.T) {
	u := newUpstream(t, func(conn net.Conn, r *http.Request) {
		write(conn, plainAnswer(r, 200, "mine")+plainAnswer(r, 200, "extra"))
	})
	w := newWorld(t, u.entry("u"), u.entry("u"), u.entry("u"))
	for i := range 3 {
		id := "req-" + strconv.Itoa(i)
		if got := w.call("GET", "/read/", "", pomelofake.FieldRequest, id); got.body != "mine" || got.head.Get(pomelofake.FieldRequest) != id {
			t.Fatalf("%+v", got)
		}
	}
}

func stream(events ...int) func(net.Conn, *http.Request) {
	return func(conn net.Conn, r *http.Request) {
		write(conn, streamHead(r))
		for _, id := range events {
			write(conn, eventChunk(id))
		}
		write(conn, lastChunk)
	}
}

func TestStreamsPassEachEventOnce(t *testing.T) {
	u := newUpstream(t, stream(1, 2, 2, 3))
	got := newWorld(t, u.entry("u")).call("POST", "/draft/", "x")
	if want := "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\n"; got.body != want || got.cut != nil {
		t.Fatalf("%+v", got)
	}
}

// A stream loses a piece, or stops within one. Ended as if it were whole, the caller would take a part of a draft for all of it.
func TestBrokenStreamsLookBroken(t *testing.T) {
	for name, answer := range map[string]func(net.Conn, *http.Request){
		"gap": stream(1, 3),
		"reset": func(conn net.Conn, r *http.Request) {
			write(conn, streamHead(r)+eventChunk(1))
			time.Sleep(20 * time.Millisecond)
			reset(conn)
		},
		"closed": func(conn net.Conn, r *http.Request) {
			write(conn, streamHead(r)+eventChunk(1)+chunkOf("id: 2\nda"))
			conn.Close()
		},
		"half an event": func(conn net.Conn, r *http.Request) {
			write(conn, streamHead(r)+eventChunk(1)+chunkOf("id: 2\nda")+lastChunk)
		},
	} {
		u := newUpstream(t, answer)
		got := newWorld(t, u.entry("u"), u.entry("u")).call("POST", "/draft/", "x")
		if got.cut == nil || strings.Contains(got.body, "id: 2") || strings.Contains(got.body, "id: 3") || u.requests() != 1 {
			t.Errorf("%s: %+v after %d sends", name, got, u.requests())
		}
	}
}

// A server stops in the middle of a chat that may be taken up again. Its caller should see one stream without a seam.
func TestAResumableStreamGoesOnElsewhere(t *testing.T) {
	first := newUpstream(t, func(conn net.Conn, r *http.Request) {
		write(conn, streamHead(r)+eventChunk(1)+eventChunk(2)+chunkOf("id: 3\nda"))
		time.Sleep(20 * time.Millisecond)
		reset(conn)
	})
	second := newUpstream(t, func(conn net.Conn, r *http.Request) {
		if r.Header.Get(pomelofake.FieldLast) != "2" {
			write(conn, plainAnswer(r, 400, "no"))
			return
		}
		stream(3, 4)(conn, r)
	})
	got := newWorld(t, first.entry("a"), second.entry("b")).call("POST", "/chat/", "x")
	if want := "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n"; got.body != want || got.cut != nil {
		t.Fatalf("%+v", got)
	}
}

// A caller leaves in the middle of its stream. The server would go on generating for nobody while others wait for it.
func TestACallerThatLeavesStopsTheServersWork(t *testing.T) {
	ended := make(chan struct{})
	u := newUpstream(t, func(conn net.Conn, r *http.Request) {
		write(conn, streamHead(r)+eventChunk(1))
		_, _ = conn.Read(make([]byte, 1))
		close(ended)
	})
	w := newWorld(t, u.entry("u"))
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, "POST", w.server.URL+"/draft/", strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set(pomelofake.FieldKey, "key")
	req.Header.Set(pomelofake.FieldRequest, "r")
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	resp.Body.Close()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the server still works")
	}
}

// A server takes a request and says nothing. Its caller gets a final answer at the end of its time, and one that promises nothing.
func TestSilentServersEndWithTheDeadline(t *testing.T) {
	hold := make(chan struct{})
	defer close(hold)
	u := newUpstream(t, func(net.Conn, *http.Request) { <-hold })
	got := newWorld(t, u.entry("u")).call("POST", "/book/", "x", pomelofake.FieldWait, "200")
	if got.status != 504 {
		t.Fatalf("%+v", got)
	}
}

// The process is about to end. A stream that begins now would be cut by it, and a request that is let in at the last moment too.
func TestAStoppingRouterTakesOnlyWhatItCanEnd(t *testing.T) {
	u := newUpstream(t, func(conn net.Conn, r *http.Request) { write(conn, plainAnswer(r, 200, "booked")) })
	w := newWorld(t, u.entry("u"), u.entry("u"))
	w.stopping, w.stopsIn = true, 2*time.Second
	if got := w.call("POST", "/draft/", "x"); got.status != 503 || got.head.Get("Retry-After") == "" {
		t.Errorf("a stream: %+v", got)
	}
	if got := w.call("POST", "/book/", "x"); got.status != 200 {
		t.Errorf("a booking: %+v", got)
	}
	w.stopsIn = 100 * time.Millisecond
	if got := w.call("POST", "/book/", "x"); got.status != 503 {
		t.Errorf("a booking at the last moment: %+v", got)
	}
}

// A service's upstreams all refuse. Each router sending each request again would bring the load that they cannot take twice.
func TestRetriesAreWithinTheBudget(t *testing.T) {
	u := newUpstream(t, func(conn net.Conn, r *http.Request) { write(conn, plainAnswer(r, 500, "no")) })
	const requests = 60
	w := newWorld(t)
	for range 2 * requests {
		w.places = append(w.places, pomeloplace.Decision{Upstream: u.entry("u")})
	}
	for range requests {
		w.call("GET", "/read/", "")
	}
	// The fleet's slack of 100 gives a router of eight 0.6 x 12.5, and 60 requests 0.6 x 0.2 each.
	if again := u.requests() - requests; again < 7 || again > 15 {
		t.Errorf("%d of %d requests were sent again", again, requests)
	}
}

// Several upstreams are down at once and the request's first places are all among them. It has not run anywhere, and the next one lives;
// refused after three, its caller would have to come back for nothing. Its account is charged for one run and asks once.
func TestARequestOutlivesSeveralUpstreamsThatAreDown(t *testing.T) {
	live := newUpstream(t, func(conn net.Conn, r *http.Request) {
		fmt.Fprint(conn, head(r, 200, "Content-Length: 2\r\n\r\nok"))
	})
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := netip.MustParseAddrPort(closed.Addr().String())
	closed.Close()
	var places []pomelorelay.FleetUpstream
	for i := range 5 {
		places = append(places, pomelorelay.FleetUpstream{ID: pomelorelay.UpstreamID(fmt.Sprint("down-", i)), Service: "s", Addr: addr})
	}
	w := newWorld(t, append(places, live.entry("live"))...)
	if got := w.call("POST", "/book/1", "x"); got.status != http.StatusOK || got.body != "ok" {
		t.Fatalf("%+v", got)
	}
	for i, work := range w.works {
		if work.Again != (i > 0) || work.Charged {
			t.Errorf("place %d was asked for with %+v", i, work)
		}
		if last := i == len(w.works)-1; w.results[i].NotRun() == last {
			t.Errorf("attempt %d ended as %v", i, w.results[i])
		}
	}
}

// The processor stands still for a second while the connection to the upstream opens, and the caller gives up meanwhile. Written once the
// connection is there, its request would run for nobody; the place it holds is given back, and its account is not charged.
func TestARequestWhoseCallerLeftWhileItsConnectionOpenedIsNotSent(t *testing.T) {
	var runs atomic.Int64
	up := newUpstream(t, func(conn net.Conn, r *http.Request) {
		runs.Add(1)
		fmt.Fprint(conn, head(r, 200, "Content-Length: 2\r\n\r\nok"))
	})
	w := newWorld(t, up.entry("up"))
	var looks atomic.Int64
	// The first two looks come before the request has its place and before the connection is opened.
	w.mu.Lock()
	w.left = func() bool { return looks.Add(1) > 2 }
	w.mu.Unlock()
	if got := w.call("POST", "/book/1", "x"); got.cut == nil {
		t.Errorf("%+v, though the caller left", got)
	}
	if n := runs.Load(); n != 0 {
		t.Errorf("the upstream got %d requests", n)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.results) != 1 || w.results[0] != pomeloplace.ResultNotSent {
		t.Errorf("the place ended with %v", w.results)
	}
}

// An upstream reads somebody's long prompt, and the streams that it runs beside it pause for longer than their callers accept. Taken for good
// answers, they would teach nobody that long prompts had better go elsewhere.
func TestAStreamThatPausesTooLongIsToldApart(t *testing.T) {
	for _, c := range []struct {
		pause time.Duration
		want  pomeloplace.Result
	}{
		{0, pomeloplace.ResultCompleted},
		{300 * time.Millisecond, pomeloplace.ResultLongPause},
	} {
		u := newUpstream(t, func(conn net.Conn, r *http.Request) {
			write(conn, streamHead(r)+eventChunk(1))
			time.Sleep(c.pause)
			write(conn, eventChunk(2)+lastChunk)
		})
		w := newWorld(t, u.entry("u1"))
		if got := w.call("POST", "/talk/", "x"); got.status != 200 || got.cut != nil {
			t.Fatalf("%+v", got)
		}
		if got := w.result(0); got != c.want {
			t.Errorf("after a pause of %v: %v, want %v", c.pause, got, c.want)
		}
	}
}

func TestWhatARefusedRequestAsks(t *testing.T) {
	w := newWorld(t)
	r := httptest.NewRequest("POST", "http://h.example/talk/", nil)
	r.Header.Set(pomelofake.FieldTokens, "1000,50")
	if account, cost := w.handler.Asks(r); account != "" || cost != 0 {
		t.Errorf("without a key: %q asks %.0f", account, cost)
	}
	r.Header.Set(pomelofake.FieldKey, "key")
	if account, cost := w.handler.Asks(r); account != "acct" || cost != 1100 {
		t.Errorf("%q asks %.0f, want acct and 1100", account, cost)
	}
}

// Guards against a refused placement that does not name its reason, or that leaves open whether the request ran.
func TestRefusedPlacementsNameTheirReason(t *testing.T) {
	for _, c := range []struct {
		decision pomeloplace.Decision
		code     pomelorelay.ResultCode
		detail   string
	}{
		{pomeloplace.Decision{Reason: pomeloplace.ReasonNoAllowedRegion, RetryAfter: 30 * time.Second}, pomelorelay.CodeNoCommonRegion, ""},
		{pomeloplace.Decision{Reason: pomeloplace.ReasonNoUpstreamInRegion, Cause: pomeloplace.ReasonNoUpstream, RetryAfter: 700 * time.Millisecond}, pomelorelay.CodeRegionUnavailable, "NoUpstream"},
		{pomeloplace.Decision{Reason: pomeloplace.ReasonCold, RetryAfter: time.Second}, pomelorelay.CodeUpstreamsCold, ""},
		{pomeloplace.Decision{Reason: pomeloplace.ReasonEvacuated, RetryAfter: time.Second}, pomelorelay.CodeEvacuated, ""},
		{pomeloplace.Decision{Reason: pomeloplace.ReasonNoUpstream, RetryAfter: time.Second}, pomelorelay.CodeNoUpstream, ""},
		{pomeloplace.Decision{Reason: pomeloplace.ReasonOverShare, RetryAfter: time.Second}, pomelorelay.CodeShareSpent, ""},
		{pomeloplace.Decision{Reason: pomeloplace.ReasonTooLate, RetryAfter: time.Second}, pomelorelay.CodeUpstreamsBusy, ""},
	} {
		w := newWorld(t)
		w.places = []pomeloplace.Decision{c.decision}
		got := w.call("POST", "/book/", "x")
		if got.status != 503 || got.head.Get("Retry-After") != fmt.Sprintf("%.3f", c.decision.RetryAfter.Seconds()) {
			t.Errorf("status %d, Retry-After %q", got.status, got.head.Get("Retry-After"))
		}
		for _, want := range []string{fmt.Sprint(int(c.code)), `"Ran":"No"`, c.detail} {
			if !strings.Contains(got.body, want) {
				t.Errorf("%s lacks %s", got.body, want)
			}
		}
	}
}
