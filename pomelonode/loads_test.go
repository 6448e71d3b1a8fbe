package pomelonode_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelofake"
)

// serveLoad answers each request for a load with the text.
func serveLoad(t *testing.T, text string) netip.AddrPort {
	t.Helper()
	l, err := pomelofake.ServeConns(func(conn *net.TCPConn) {
		if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil && r.URL.Path == "/load" {
			_, _ = io.WriteString(conn, text)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return netip.MustParseAddrPort(l.Addr().String())
}

// Guards against using the load in an answer that is none, and against keeping a head without end.
func TestMalformedLoadIsNotUsed(t *testing.T) {
	const body = "Content-Length: 2\r\n\r\n{}"
	for name, text := range map[string]string{
		"status 000":             "HTTP/1.1 000 X\r\n" + body,
		"blank in a name":        "HTTP/1.1 200 OK\r\nX Foo: y\r\n" + body,
		"blank before a colon":   "HTTP/1.1 200 OK\r\nX-Foo : y\r\n" + body,
		"control byte in a name": "HTTP/1.1 200 OK\r\nX\x01Foo: y\r\n" + body,
		"head of 1 MB":           "HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("x", 1<<20) + "\r\n" + body,
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1)
			f.awaitReady()
			f.content.Upstreams = append(f.content.Upstreams, f.upstream("odd", "status", domains[0], serveLoad(t, text)))
			f.publish("odd")
			f.publishHosts()
			await(t, "the load is lost", func() bool { return f.routers[0].log.count(pomelorelay.EventLoadLost) > 0 })
		})
	}
}
