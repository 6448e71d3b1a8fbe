package pomelolink_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"strconv"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay/pomelolink"
)

// Guards against taking the registered process for another one because an idle connection still leads to its predecessor, whose end was lost on the way.
func TestIdleConnectionToFormerProcessTellsNothingOfTheNext(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for start := int64(1); ; start++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveProcess(conn, start)
		}
	}()
	l, addr := newClient(t), netip.MustParseAddrPort(listener.Addr().String())
	for _, start := range []int64{1, 1, 2} {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		req := &http.Request{Method: "GET", URL: &url.URL{Scheme: "http", Host: addr.String(), Path: "/"}, Host: "h", Header: http.Header{idField: {"1"}}, Body: http.NoBody}
		x, f := l.Open(ctx, pomelolink.UpstreamRequest{Addr: addr, Request: req, Process: &pomelolink.ProcessCheck{
			StartUnixMilli: start, Path: "/report", Parse: func(body []byte) int64 {
				ms, _ := strconv.ParseInt(string(body), 10, 64)
				return ms
			},
		}})
		if f != nil {
			t.Fatalf("a request to the process started at %d fails with %v", start, f.Err)
		}
		body, err := io.ReadAll(x.Response.Body)
		if err != nil || string(body) != fmt.Sprint(start) {
			t.Errorf("a request to the process started at %d is answered by %q (%v)", start, body, err)
		}
		x.BodyComplete = true
		x.Close()
	}
}

// serveProcess answers each request on a connection with the start time of the process.
func serveProcess(conn net.Conn, start int64) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := ""
		if r.Header.Get(idField) != "" {
			id = idField + ": " + r.Header.Get(idField) + "\r\n"
		}
		body := fmt.Sprint(start)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", id, len(body), body)
	}
}

// Guards against taking an interim response for the report of a process, and the report for the answer to the caller's request.
func TestReportFollowsInterimResponses(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		reader := bufio.NewReader(conn)
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		fmt.Fprint(conn, "HTTP/1.1 103 Early Hints\r\n\r\n")
		time.Sleep(20 * time.Millisecond)
		fmt.Fprint(conn, "HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\nno")
		if r, err := http.ReadRequest(reader); err == nil {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", idField, r.Header.Get(idField))
		}
	}()
	l, addr := newClient(t), netip.MustParseAddrPort(listener.Addr().String())
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	req := &http.Request{Method: "GET", URL: &url.URL{Scheme: "http", Host: addr.String(), Path: "/"}, Host: "h", Header: http.Header{idField: {"1"}}, Body: http.NoBody}
	x, f := l.Open(ctx, pomelolink.UpstreamRequest{Addr: addr, Request: req, Process: &pomelolink.ProcessCheck{StartUnixMilli: 1, Path: "/report", Parse: func([]byte) int64 { return 0 }}})
	if f != nil {
		t.Fatal(f.Err)
	}
	defer x.Close()
	if body, err := io.ReadAll(x.Response.Body); x.Response.StatusCode != http.StatusOK || string(body) != "ok" {
		t.Errorf("the request is answered with %d %q (%v), want its own answer", x.Response.StatusCode, body, err)
	}
}

// Guards against taking a process for confirmed that only the connection before stated: another one may have taken over the address since.
func TestProcessIsConfirmedOnItsOwnConnectionOnly(t *testing.T) {
	for _, closes := range []bool{false, true} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if closes {
				w.Header().Set("Connection", "close")
			}
			if r.URL.Path == "/report" {
				fmt.Fprint(w, "1000")
				return
			}
			w.Header().Set(idField, r.Header.Get(idField))
		}))
		t.Cleanup(server.Close)
		l, addr := newClient(t), netip.MustParseAddrPort(server.Listener.Addr().String())
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		req := &http.Request{Method: "GET", URL: &url.URL{Scheme: "http", Host: addr.String(), Path: "/"}, Host: "h", Header: http.Header{idField: {"1"}}, Body: http.NoBody}
		x, f := l.Open(ctx, pomelolink.UpstreamRequest{Addr: addr, Request: req, Process: &pomelolink.ProcessCheck{StartUnixMilli: 1000, Path: "/report", Parse: func([]byte) int64 { return 1000 }}})
		if f != nil {
			t.Fatal(f.Err)
		}
		if x.ProcessConfirmed == closes {
			t.Errorf("upstream closes its connections %v: process confirmed %v", closes, x.ProcessConfirmed)
		}
		x.Close()
	}
}
