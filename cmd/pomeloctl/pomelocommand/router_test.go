package pomelocommand_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// Guards against taking an answer whose head is none in HTTP for a router's word that it drains or is ready.
func TestMalformedHeadIsNoAnswer(t *testing.T) {
	for name, head := range map[string]string{
		"status 000":           "HTTP/1.1 000 X\r\n",
		"status 099":           "HTTP/1.1 099 X\r\n",
		"blank in a name":      "HTTP/1.1 200 OK\r\nX Foo: y\r\n",
		"blank before a colon": "HTTP/1.1 200 OK\r\nX-Foo : y\r\n",
	} {
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
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					io.WriteString(conn, head+"Content-Length: 2\r\n\r\n{}")
				}
				conn.Close()
			}
		}()
		for _, command := range []string{"drain", "status"} {
			if code, out, _ := runCommand(command, "--router", l.Addr().String()); code == 0 {
				t.Errorf("%s: %s succeeded and printed %q", name, command, out)
			}
		}
	}
}
