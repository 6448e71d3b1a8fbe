package pomelolink

import (
	"bufio"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

var errHeadTooLarge = errors.New("the answer's header is over the bound")

// upstreamConn is a connection to an upstream that knows what was handed to it. It carries one exchange at a time.
type upstreamConn struct {
	net.Conn
	reader *bufio.Reader
	// written and read count the bytes of the current exchange.
	written atomic.Int64
	read    atomic.Int64
	// headLeft bounds the header of an answer while it is positive; zero means no bound.
	headLeft int64
	reused   bool
	idleFrom time.Time
	// idleFor is how long the connection may be idle, by the upstream's own word where it gave one.
	idleFor time.Duration
}

func newUpstreamConn(raw net.Conn) *upstreamConn {
	c := &upstreamConn{Conn: raw}
	c.reader = bufio.NewReaderSize(c, wireBuffer)
	return c
}

// Write hands bytes to the kernel; what was handed over may be delivered, whatever happens afterwards.
func (c *upstreamConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// Read fails when an answer's header does not end within its bound.
func (c *upstreamConn) Read(p []byte) (int, error) {
	if c.headLeft < 0 {
		return 0, errHeadTooLarge
	}
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	if c.headLeft > 0 {
		c.headLeft -= int64(n)
		if c.headLeft == 0 {
			c.headLeft = -1
		}
	}
	return n, err
}

func (c *upstreamConn) boundHead(size pomelorelay.Bytes) { c.headLeft = int64(size) }

func (c *upstreamConn) freeHead() { c.headLeft = 0 }

func (c *upstreamConn) begin(deadline time.Time) error {
	c.written.Store(0)
	c.read.Store(0)
	return c.SetDeadline(deadline)
}

// silent reports whether the peer sent nothing and closed nothing while the connection was idle. A peer that closes an
// idle connection just as it is used again leaves the caller not knowing whether its request ran; a peer that repeats
// an answer would have it taken for the next one. Looking first makes both rare, and the checks of the answer's id
// and the outcome Unknown cover what arrives after the look.
func (c *upstreamConn) silent() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, failed := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = failed == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}
