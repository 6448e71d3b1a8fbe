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

// Guards against a receive buffer that grows to megabytes while an answer cannot be passed on.
func TestReceiveBufferIsBounded(t *testing.T) {
	const size = 64 << 10
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	for _, cfg := range []pomelodialer.Config{{ReceiveBuffer: size}, {ReceiveBuffer: size, AckTimeout: 2 * time.Second}} {
		conn, err := pomelodialer.New(cfg).DialContext(context.Background(), "tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		raw, err := conn.(*net.TCPConn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		var got int
		var failed error
		if err := raw.Control(func(fd uintptr) { got, failed = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF) }); err != nil {
			t.Fatal(err)
		}
		if failed != nil || got != 2*size {
			t.Errorf("%+v: the receive buffer has %d bytes, %v, want %d, twice the size", cfg, got, failed, 2*size)
		}
	}
}
