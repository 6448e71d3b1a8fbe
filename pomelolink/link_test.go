package pomelolink_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelolink"
)

const idField = "Request-Id"

func newClient(t *testing.T) *pomelolink.Client {
	t.Helper()
	l := pomelolink.New(pomelolink.Config{
		Protocol:       pomelolink.Protocol{IDHeader: idField, NotRun: func(*http.Response) bool { return false }, AllowCloseDelimited: true},
		MaxHeaderBytes: 4096, DialTimeout: time.Second, IdleConns: 4, IdleTimeout: 10 * time.Second, AckTimeout: 2 * time.Second,
	})
	t.Cleanup(l.Close)
	return l
}

// serve accepts connections and answers each request with the given header fields.
func serve(t *testing.T, fields string) netip.AddrPort {
	t.Helper()
	return serveWhile(t, fields, func(int, int) bool { return true })
}

// serveWhile accepts connections and answers their requests with the given header fields, for as long as answers allows it for the number of
// the connection and that of the request on it; then the connection stays open in silence.
func serveWhile(t *testing.T, fields string, answers func(connection, request int) bool) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	t.Cleanup(func() {
		l.Close()
		close(ended)
	})
	go func() {
		for connection := 0; ; connection++ {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for request := 0; ; request++ {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if !answers(connection, request) {
						<-ended
						return
					}
					fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n%s\r\nok", idField, r.Header.Get(idField), fields)
				}
			}()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

func exchange(t *testing.T, l *pomelolink.Client, addr netip.AddrPort) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	req := &http.Request{Method: "GET", URL: &url.URL{Scheme: "http", Host: addr.String(), Path: "/"}, Host: "h", Header: http.Header{idField: {"1"}}, Body: http.NoBody}
	x, f := l.Open(ctx, pomelolink.UpstreamRequest{Addr: addr, Request: req})
	if f != nil {
		t.Fatal(f.Err)
	}
	if _, err := io.ReadAll(x.Response.Body); err != nil {
		t.Fatal(err)
	}
	x.BodyComplete = true
	x.Close()
}

func TestIdleConnectionsAreReused(t *testing.T) {
	l, addr := newClient(t), serve(t, "")
	for range 5 {
		exchange(t, l, addr)
	}
	if n := l.ConnectionsOpened(); n != 1 {
		t.Errorf("%d connections opened for five sequential exchanges, want 1", n)
	}
}

// An upstream closes idle connections after the timeout in its Keep-Alive field. If a request is sent while the connection is being closed,
// it is unknown whether the request ran, and a non-idempotent request then fails for its caller.
func TestConnectionsNearIdleTimeoutAreNotReused(t *testing.T) {
	l, addr := newClient(t), serve(t, "Keep-Alive: timeout=0\r\n")
	exchange(t, l, addr)
	exchange(t, l, addr)
	if n := l.ConnectionsOpened(); n != 2 {
		t.Errorf("%d connections opened, want 2 because the first must not be reused", n)
	}
	l, addr = newClient(t), serve(t, "Connection: close\r\n")
	exchange(t, l, addr)
	exchange(t, l, addr)
	if n := l.ConnectionsOpened(); n != 2 {
		t.Errorf("%d connections opened, want 2 because the upstream closes each", n)
	}
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := netip.MustParseAddrPort(l.Addr().String())
	l.Close()
	req := &http.Request{Method: "GET", URL: &url.URL{Scheme: "http", Host: addr.String(), Path: "/"}, Header: http.Header{}, Body: http.NoBody}
	_, f := newClient(t).Open(context.Background(), pomelolink.UpstreamRequest{Addr: addr, Request: req})
	if f == nil || f.Outcome != pomelolink.OutcomeNotSent || f.Err.Code != pomelorelay.CodeUpstreamUnreached {
		t.Errorf("got %+v, want OutcomeNotSent with CodeUpstreamUnreached", f)
	}
}

// Guards against reusing an idle connection whose peer no longer responds, on which one request after the other would time out.
func TestSilentConnectionIsUsedOnce(t *testing.T) {
	l := newClient(t)
	addr := serveWhile(t, "", func(connection, request int) bool { return connection > 0 || request == 0 })
	exchange(t, l, addr)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	req := &http.Request{Method: "GET", URL: &url.URL{Scheme: "http", Host: addr.String(), Path: "/"}, Host: "h", Header: http.Header{idField: {"1"}}, Body: http.NoBody}
	if _, f := l.Open(ctx, pomelolink.UpstreamRequest{Addr: addr, Request: req}); f == nil || f.Err.Code != pomelorelay.CodeUpstreamTimeout || f.ConnectionBroken {
		t.Fatalf("got %+v on a silent connection, want CodeUpstreamTimeout", f)
	}
	for range 3 {
		exchange(t, l, addr)
	}
	if n := l.ConnectionsOpened(); n != 2 {
		t.Errorf("%d connections opened, want 2: the silent one and another", n)
	}
}

// Guards against a further attempt of a request on a connection that still owes a copy of the answer to an earlier one.
func TestAttemptsOfOneRequestUseDifferentConnections(t *testing.T) {
	l, addr := newClient(t), serve(t, "")
	exchange(t, l, addr)
	var carriers pomelolink.Carriers
	seen := make(map[uint64]bool)
	for range 3 {
		req := &http.Request{Method: "GET", URL: &url.URL{Scheme: "http", Host: addr.String(), Path: "/"}, Host: "h", Header: http.Header{idField: {"2"}}, Body: http.NoBody}
		x, f := l.Open(context.Background(), pomelolink.UpstreamRequest{Addr: addr, Request: req, Carriers: &carriers})
		if f != nil {
			t.Fatal(f.Err)
		}
		if _, err := io.ReadAll(x.Response.Body); err != nil {
			t.Fatal(err)
		}
		x.BodyComplete = true
		x.Close()
		if seen[x.Connection.Number] {
			t.Errorf("connection %d carried two attempts of one request", x.Connection.Number)
		}
		seen[x.Connection.Number] = true
	}
	exchange(t, l, addr)
	if n := l.ConnectionsOpened(); n != 3 {
		t.Errorf("%d connections opened, want 3: other requests use the connections further", n)
	}
}

// Guards against events that are each within their limit and exceed the memory of the process together.
func TestEventsOfAllStreamsShareMemory(t *testing.T) {
	const memory, eventBytes = 64 << 10, 40 << 10
	l := pomelolink.New(pomelolink.Config{
		Protocol:       pomelolink.Protocol{IDHeader: idField, NotRun: func(*http.Response) bool { return false }, AllowCloseDelimited: true},
		MaxHeaderBytes: 4096, MaxAnswerMemory: memory, DialTimeout: time.Second, IdleConns: 4, IdleTimeout: 10 * time.Second,
	})
	t.Cleanup(l.Close)
	addr := serveAnswer(t, "Content-Type: text/event-stream\r\n\r\ndata: "+strings.Repeat("x", eventBytes)+"\n\n")
	read := func() (release func(), err error) {
		req := &http.Request{Method: "GET", URL: &url.URL{Scheme: "http", Host: addr.String(), Path: "/"}, Host: "h", Header: http.Header{idField: {"1"}}, Body: http.NoBody}
		x, f := l.Open(context.Background(), pomelolink.UpstreamRequest{Addr: addr, Request: req})
		if f != nil {
			t.Fatal(f.Err)
		}
		var events pomelolink.EventReader
		events.Reset(x)
		_, err = events.Next()
		return func() {
			events.Release()
			x.Close()
		}, err
	}
	releaseFirst, err := read()
	if err != nil {
		t.Fatal(err)
	}
	releaseSecond, err := read()
	if !errors.Is(err, pomelolink.ErrAnswersTooLarge) {
		t.Errorf("a second event of %d bytes within %d: %v, want ErrAnswersTooLarge", eventBytes, memory, err)
	}
	releaseSecond()
	releaseFirst()
	release, err := read()
	if err != nil {
		t.Errorf("after the others were released: %v", err)
	}
	release()
}

// serveAnswer answers the first request of each connection with the given rest of the header and body, and closes the connection.
func serveAnswer(t *testing.T, rest string) netip.AddrPort {
	t.Helper()
	server := httptest.NewUnstartedServer(nil)
	server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s", idField, r.Header.Get(idField), rest)
	})
	server.Start()
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// Guards against an answer that has begun in time and goes on beyond AnswerBy, and against cutting one that begins later.
func TestAnswerThatHasBegunEndsByAnswerBy(t *testing.T) {
	const answerBy, contextTime = 200 * time.Millisecond, 10 * time.Second
	for _, c := range []struct {
		name      string
		beginsIn  time.Duration
		continues bool
		complete  bool
	}{
		{"begun, without end", 0, true, false},
		{"begun later", 2 * answerBy, false, true},
	} {
		addr := serveSlowly(t, c.beginsIn, c.continues)
		ctx, cancel := context.WithTimeout(context.Background(), contextTime)
		req := &http.Request{Method: "GET", URL: &url.URL{Scheme: "http", Host: addr.String(), Path: "/"}, Host: "h", Header: http.Header{idField: {"1"}}, Body: http.NoBody}
		began := time.Now()
		x, f := newClient(t).Open(ctx, pomelolink.UpstreamRequest{Addr: addr, Request: req, AnswerBy: began.Add(answerBy)})
		if f != nil {
			t.Fatal(c.name, f.Err)
		}
		_, err := io.Copy(io.Discard, x.Response.Body)
		if complete := err == nil; complete != c.complete {
			t.Errorf("%s: complete %v (%v), want %v", c.name, complete, err, c.complete)
		}
		if took := time.Since(began); took > contextTime/2 {
			t.Errorf("%s: took %v, want much less than the context's %v", c.name, took, contextTime)
		}
		x.Close()
		cancel()
	}
}

// serveSlowly answers each request after a wait, with a body that has no end if continues is set.
func serveSlowly(t *testing.T, wait time.Duration, continues bool) netip.AddrPort {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(wait)
		w.Header().Set(idField, r.Header.Get(idField))
		for {
			if _, err := io.WriteString(w, "x"); err != nil || !continues || r.Context().Err() != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
			time.Sleep(5 * time.Millisecond)
		}
	}))
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// Guards against asking for a report before each request, and against sending one to another process than the given one.
func TestProcessIsAskedOnceForEachConnection(t *testing.T) {
	reports, requests := 0, 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/report" {
			reports++
			fmt.Fprint(w, "1000")
			return
		}
		requests++
		w.Header().Set(idField, r.Header.Get(idField))
		fmt.Fprint(w, "ok")
	}))
	t.Cleanup(server.Close)
	l, addr := newClient(t), netip.MustParseAddrPort(server.Listener.Addr().String())
	open := func(start int64) *pomelolink.Failure {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		req := &http.Request{Method: "GET", URL: &url.URL{Scheme: "http", Host: addr.String(), Path: "/"}, Host: "h", Header: http.Header{idField: {"1"}}, Body: http.NoBody}
		x, f := l.Open(ctx, pomelolink.UpstreamRequest{Addr: addr, Request: req, Process: &pomelolink.ProcessCheck{
			StartUnixMilli: start, Path: "/report", Parse: func(body []byte) int64 { return int64(len(body)) * 250 },
		}})
		if f != nil {
			return f
		}
		if _, err := io.ReadAll(x.Response.Body); err != nil {
			t.Fatal(err)
		}
		x.BodyComplete = true
		x.Close()
		return nil
	}
	for range 3 {
		if f := open(1000); f != nil {
			t.Fatal(f.Err)
		}
	}
	if reports != 1 || requests != 3 || l.ConnectionsOpened() != 1 {
		t.Errorf("%d reports and %d requests on %d connections, want 1, 3 and 1", reports, requests, l.ConnectionsOpened())
	}
	if f := open(2000); f == nil || f.Outcome != pomelolink.OutcomeNotSent || f.Err.Code != pomelorelay.CodeUpstreamReplaced || requests != 3 {
		t.Errorf("a request to another process ends with %+v after %d requests, want that it is not sent", f, requests)
	}
}
