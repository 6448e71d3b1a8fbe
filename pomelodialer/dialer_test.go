package pomelodialer_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay/pomelodialer"

	"golang.org/x/sys/unix"
)

// Guards against connections that keep the system's timeouts, after which a silent peer is detected in minutes.
func TestConnectionsHaveShortTimeouts(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialer := pomelodialer.New(pomelodialer.Config{Timeout: time.Second, AckTimeout: 2 * time.Second})
	conn, err := dialer.DialContext(context.Background(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	for _, option := range []struct{ level, name, want int }{
		{unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
		{unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, 1},
		{unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, 1},
		{unix.IPPROTO_TCP, unix.TCP_KEEPCNT, 1},
		{unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, 2000},
	} {
		var got int
		var failed error
		if err := raw.Control(func(fd uintptr) { got, failed = unix.GetsockoptInt(int(fd), option.level, option.name) }); err != nil {
			t.Fatal(err)
		}
		if failed != nil || got != option.want {
			t.Errorf("socket option %d of level %d is %d, %v, want %d", option.name, option.level, got, failed, option.want)
		}
	}
}
