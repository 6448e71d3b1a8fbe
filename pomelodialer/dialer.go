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
	// AckTimeout closes a connection, idle or not, whose peer acknowledges nothing for this long; zero keeps the system's default.
	AckTimeout time.Duration
	// Probes is the number of keepalive probes that an idle connection sends within AckTimeout before it is closed; at least one.
	Probes int
}

// New returns a dialer whose connections detect a silent peer.
func New(cfg Config) *net.Dialer {
	d := &net.Dialer{Timeout: cfg.Timeout}
	if cfg.AckTimeout <= 0 {
		return d
	}
	probes := max(cfg.Probes, 1)
	interval := cfg.AckTimeout / time.Duration(probes+1)
	d.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: interval, Interval: interval, Count: probes}
	// Keepalive probes are not sent while data is unacknowledged; by default the kernel retransmits it for minutes.
	d.Control = func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(cfg.AckTimeout/time.Millisecond))
		})
		if err != nil {
			return err
		}
		return failed
	}
	return d
}
