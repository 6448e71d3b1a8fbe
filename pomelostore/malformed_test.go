package pomelostore_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelofake"
	"github.com/pomelorelay/pomelorelay/pomelostore"
)

// rawServer answers each request with the text, and then with block again and again until the client closes the connection, unless block is empty. sent
// counts the bytes.
func rawServer(t *testing.T, text, block string, sent *atomic.Int64) netip.AddrPort {
	t.Helper()
	listener, err := pomelofake.ServeConns(func(conn *net.TCPConn) { serveRaw(conn, text, block, sent) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

func serveRaw(conn net.Conn, text, block string, sent *atomic.Int64) {
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		_, err = io.WriteString(conn, text)
		for block != "" && err == nil {
			var n int
			n, err = io.WriteString(conn, block)
			sent.Add(int64(n))
		}
	}
}

// Guards against taking a response whose head is none in HTTP for the store's word that a write was made or a lease renewed.
func TestMalformedHeadIsNoResponse(t *testing.T) {
	ctx := context.Background()
	for name, head := range map[string]string{
		"status 000":                        "HTTP/1.1 000 X\r\n",
		"status 099":                        "HTTP/1.1 099 X\r\n",
		"status 101":                        "HTTP/1.1 101 X\r\n",
		"status 600":                        "HTTP/1.1 600 X\r\n",
		"blank in a name":                   "HTTP/1.1 200 OK\r\nX Foo: y\r\n",
		"blank before a colon":              "HTTP/1.1 200 OK\r\nX-Foo : y\r\n",
		"control byte in a name":            "HTTP/1.1 200 OK\r\nX\x01Foo: y\r\n",
		"blank before the length's colon":   "HTTP/1.1 200 OK\r\nContent-Length : 14\r\nConnection: close\r\n",
		"blank before the encoding's colon": "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			addr := rawServer(t, head+"Content-Length: 14\r\n\r\n{\"Revision\":1}", "", nil)
			client := newClient(t, pomelostore.Config{Addresses: []netip.AddrPort{addr}, BreakerFailures: 100})
			wantCode(t, client.RenewLease(ctx, 1), pomelorelay.CodeStoreUnknown)
			wantCode(t, client.CloseLease(ctx, 1), pomelorelay.CodeStoreUnknown)
			_, err := client.CompareAndSwap(ctx, "k", []byte("v"), 0, 0)
			wantCode(t, err, pomelorelay.CodeStoreUnknown)
			_, err = client.Get(ctx, "k")
			wantCode(t, err, pomelorelay.CodeStoreUnavailable)
		})
	}
}

// Guards against a client that reads a response without end, in its head or its body, for as long as the call may take.
func TestResponseWithoutEndIsLimited(t *testing.T) {
	const maxValue = 64 << 10
	// maxSent is the limit on a response, a value in base64 and 64 KiB, with as many bytes of framing as a small chunk has, and what the kernel holds.
	const maxSent = 32*(maxValue*4/3+64<<10) + 10<<20
	const ok = "HTTP/1.1 200 OK\r\n"
	long := strings.Repeat("x", 16<<10)
	for _, c := range []struct{ name, text, block string }{
		{"garbage", "", long},
		{"status line", "HTTP/1.1 200 ", long},
		{"field", ok + "X-Long: ", long},
		{"fields", ok, strings.Repeat("X-Long: x\r\n", 1<<10)},
		{"interim responses", "", strings.Repeat("HTTP/1.1 102 X\r\n\r\n", 1<<10)},
		{"body without length", ok + "\r\n", long},
		{"body with a huge length", ok + "Content-Length: 1000000000000\r\n\r\n", long},
		{"chunks", ok + "Transfer-Encoding: chunked\r\n\r\n", "4000\r\n" + long + "\r\n"},
		{"chunk's size", ok + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("0", 16<<10)},
		{"chunk's extension", ok + "Transfer-Encoding: chunked\r\n\r\n4;", long},
		{"small chunks", ok + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("1;xxxxxxxxxxxxxx\r\nx\r\n", 1<<10)},
		{"trailer", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("X-Long: x\r\n", 1<<10)},
	} {
		t.Run(c.name, func(t *testing.T) {
			var sent atomic.Int64
			addr := rawServer(t, c.text, c.block, &sent)
			client := newClient(t, pomelostore.Config{Addresses: []netip.AddrPort{addr}, MaxValue: maxValue, BreakerFailures: 100})
			if _, err := client.Get(context.Background(), "k"); err == nil {
				t.Error("the response was accepted")
			}
			if n := sent.Load(); n > maxSent {
				t.Errorf("%d bytes were sent, want at most %d", n, maxSent)
			}
		})
	}
}
