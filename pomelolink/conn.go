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

var errHeaderTooLarge = errors.New("the answer's header is over the bound")

// upstreamConn is a connection to an upstream that knows what was handed to it. It carries one exchange at a time.
type upstreamConn struct {
	net.Conn
	reader *bufio.Reader
	// written and read count the bytes of the current exchange.
	written atomic.Int64
	read    atomic.Int64
	// headerBytesLeft bounds the header of an answer while it is positive; zero means no bound.
	headerBytesLeft int64
	reused          bool
	idleSince       time.Time
	// maxIdle is how long the connection may be idle, by the upstream's own word where it gave one.
	maxIdle time.Duration
}

func newUpstreamConn(raw net.Conn) *upstreamConn {
	c := &upstreamConn{Conn: raw}
	c.reader = bufio.NewReaderSize(c, connBufferBytes)
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
	if c.headerBytesLeft < 0 {
		return 0, errHeaderTooLarge
	}
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	if c.headerBytesLeft > 0 {
		c.headerBytesLeft -= int64(n)
		if c.headerBytesLeft == 0 {
			c.headerBytesLeft = -1
		}
	}
	return n, err
}

func (c *upstreamConn) limitHeader(size pomelorelay.Bytes) { c.headerBytesLeft = int64(size) }

func (c *upstreamConn) unlimitHeader() { c.headerBytesLeft = 0 }

func (c *upstreamConn) begin(deadline time.Time) error {
	c.written.Store(0)
	c.read.Store(0)
	return c.SetDeadline(deadline)
}

// stillIdle reports whether the peer sent nothing and closed nothing while the connection was idle. A peer that closes an
// idle connection just as it is used again leaves the caller not knowing whether its request ran; a peer that repeats
// an answer would have it taken for the next one. Looking first makes both rare, and the checks of the answer's id
// and the outcome Unknown cover what arrives after the look.
func (c *upstreamConn) stillIdle() bool {
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
	wouldBlock := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, failed := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		wouldBlock = failed == syscall.EAGAIN
		return true
	})
	return err == nil && wouldBlock
}
