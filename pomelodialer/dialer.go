package pomelodialer

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Config holds the arguments of New.
type Config struct {
	// Timeout limits a connection attempt.
	Timeout time.Duration
	// AckTimeout closes a connection whose peer leaves data or a keepalive probe unacknowledged for this long; zero keeps the system's
	// default. Idle connections are probed after half of it, rounded up to whole seconds.
	AckTimeout time.Duration
	// ReceiveBuffer is the size in bytes of the socket's receive buffer, which the kernel doubles for its own overhead; zero keeps the system's default,
	// which may grow to megabytes.
	ReceiveBuffer int
}

// New returns a dialer whose connections detect a silent peer.
func New(cfg Config) *net.Dialer {
	d := &net.Dialer{Timeout: cfg.Timeout}
	if cfg.AckTimeout > 0 {
		d.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: cfg.AckTimeout / 2, Interval: cfg.AckTimeout / 2, Count: 1}
	}
	d.Control = func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			if cfg.ReceiveBuffer > 0 {
				// The connection serves as well with the system's default.
				_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, cfg.ReceiveBuffer)
			}
			if cfg.AckTimeout > 0 {
				// Keepalive probes are not sent while data is unacknowledged; by default the kernel retransmits it for minutes.
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(cfg.AckTimeout/time.Millisecond))
			}
		})
		if err != nil {
			return err
		}
		return failed
	}
	return d
}
