package pomelomesh_test

import (
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"

	"github.com/pomelorelay/pomelorelay"
)

// maxEndless is a frame of the largest size, and what the kernel holds of a connection.
const maxEndless = 64<<10 + 10<<20

// sendEndless sends text and then block again and again until the other end closes the connection, and returns the number of bytes sent.
func sendEndless(conn net.Conn, text, block string) int {
	defer conn.Close()
	sent, err := io.WriteString(conn, text)
	for n := 0; err == nil; sent += n {
		n, err = io.WriteString(conn, block)
	}
	return sent
}

// http2Frame returns a frame of HTTP/2 without flags.
func http2Frame(kind, stream byte, payload string) string {
	n := len(payload)
	return string([]byte{byte(n >> 16), byte(n >> 8), byte(n), kind, 0, 0, 0, 0, stream}) + payload
}

const (
	settingsFrame     = 4
	headersFrame      = 1
	continuationFrame = 9
	clientPreface     = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
)

var (
	endlessText = strings.Repeat("x", 16<<10)
	// endlessFields are literal fields without indexing, each with a name of one byte and a value of 100.
	endlessFields = strings.Repeat("\x00\x01a\x64"+strings.Repeat("v", 100), 150)
	endlessHead   = http2Frame(settingsFrame, 0, "") + http2Frame(headersFrame, 1, endlessFields)
)

// Guards against keeping what a faulty router sends without end on a link that was opened to it.
func TestPeerThatAnswersWithoutEndIsDisconnected(t *testing.T) {
	for _, c := range []struct{ name, text, block string }{
		{"garbage", "", endlessText},
		{"answer of HTTP/1.1", "HTTP/1.1 200 OK\r\nX-Long: ", endlessText},
		{"fields", endlessHead, http2Frame(continuationFrame, 1, endlessFields)},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			m := start(t, config("near", 1))
			m.SetPeers([]pomelorelay.Peer{peerOf("far", netip.MustParseAddrPort(l.Addr().String()))})
			send(t, m, "far", &pomelorelay.Digest{})
			conn, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			if n := sendEndless(conn, c.text, c.block); n > maxEndless {
				t.Errorf("%d bytes were sent, want at most %d", n, maxEndless)
			}
		})
	}
}

// Guards against keeping what a faulty router sends without end on a link that it opened.
func TestPeerThatAsksWithoutEndIsDisconnected(t *testing.T) {
	for _, c := range []struct{ name, text, block string }{
		{"garbage", "", endlessText},
		{"request of HTTP/1.1", "GET / HTTP/1.1\r\nX-Long: ", endlessText},
		{"fields", clientPreface + endlessHead, http2Frame(continuationFrame, 1, endlessFields)},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", start(t, config("near", 1)).Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			if n := sendEndless(conn, c.text, c.block); n > maxEndless {
				t.Errorf("%d bytes were sent, want at most %d", n, maxEndless)
			}
		})
	}
}
