package pomelolink_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelolink"
)

const idField = "Request-Id"

func newLinks(t *testing.T) *pomelolink.Client {
	t.Helper()
	l := pomelolink.New(pomelolink.Config{
		Protocol:       pomelolink.Protocol{IDHeader: idField, NotRun: func(*http.Response) bool { return false }, AllowCloseDelimited: true},
		MaxHeaderBytes: 4096, DialTimeout: time.Second, IdleConns: 4, IdleTimeout: 10 * time.Second, AckTimeout: 2 * time.Second,
	})
	t.Cleanup(l.Close)
	return l
}

// serve answers each request with the fields given, on as many connections as come.
func serve(t *testing.T, fields string) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				for reader := bufio.NewReader(conn); ; {
					r, err := http.ReadRequest(reader)
					if err != nil {
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
	x.Complete = true
	x.Close()
}

func TestConnectionsAreKept(t *testing.T) {
	l, addr := newLinks(t), serve(t, "")
	for range 5 {
		exchange(t, l, addr)
	}
	if n := l.ConnectionsOpened(); n != 1 {
		t.Errorf("%d connections for five exchanges in a row", n)
	}
}

// An upstream closes connections that were idle for the time that it names. A request that crosses the close may have run or not, and
// one that may run only once then fails for its caller.
func TestConnectionsAreNotUsedNearTheirEnd(t *testing.T) {
	l, addr := newLinks(t), serve(t, "Keep-Alive: timeout=0\r\n")
	exchange(t, l, addr)
	exchange(t, l, addr)
	if n := l.ConnectionsOpened(); n != 2 {
		t.Errorf("%d connections, though the first must not be used again", n)
	}
	l, addr = newLinks(t), serve(t, "Connection: close\r\n")
	exchange(t, l, addr)
	exchange(t, l, addr)
	if n := l.ConnectionsOpened(); n != 2 {
		t.Errorf("%d connections, though the upstream closes each", n)
	}
}

func TestNothingListens(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := netip.MustParseAddrPort(l.Addr().String())
	l.Close()
	req := &http.Request{Method: "GET", URL: &url.URL{Scheme: "http", Host: addr.String(), Path: "/"}, Header: http.Header{}, Body: http.NoBody}
	_, f := newLinks(t).Open(context.Background(), pomelolink.UpstreamRequest{Addr: addr, Request: req})
	if f == nil || f.Outcome != pomelolink.OutcomeNotSent || f.Err.Code != pomelorelay.CodeUpstreamUnreached {
		t.Errorf("%+v", f)
	}
}
