package pomelolink

import (
	"bufio"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelohead"
)

var errHeaderTooLarge = errors.New("answer header exceeds the size limit")

// ConnectionUse identifies an exchange by its connection.
type ConnectionUse struct {
	// Number is the connection's number, counted by its Client from 1.
	Number uint64
	// Exchange is the position of the exchange on the connection, from 1.
	Exchange int
}

// upstreamConn is a connection to an upstream that counts the bytes written and read. It carries one exchange at a time.
type upstreamConn struct {
	net.Conn
	reader *bufio.Reader
	// written and read count the bytes of the current exchange.
	written atomic.Int64
	read    atomic.Int64
	// readErr is the error that ended the reading of the current exchange's answer.
	readErr error
	// writeErr is the error that ended the writing of the current exchange's request.
	writeErr error
	// head checks the head of the current exchange's answer.
	head pomelohead.Scanner
	// headerBytesLeft is how many more bytes of an answer's header may be read: zero means no limit, negative that the limit is reached.
	headerBytesLeft int64
	// answerBy is the deadline that holds from the first byte of an answer on; zero once it was set, or for none.
	answerBy time.Time
	reused   bool
	use      ConnectionUse
	// reported is set once the process at the other end was asked for its start time, which is zero if it states none.
	reported       bool
	startUnixMilli int64
	// assumed is set if the start time was stated on an earlier connection.
	assumed bool
	// closing is set if the process closes the connection after its report.
	closing bool
	// openedAt is a time before the connection was established.
	openedAt  time.Time
	idleSince time.Time
	// maxIdle is how long the connection may stay idle, from the upstream's Keep-Alive field if it sent one.
	maxIdle time.Duration
}

func newUpstreamConn(raw net.Conn, number uint64) *upstreamConn {
	c := &upstreamConn{Conn: raw, use: ConnectionUse{Number: number}}
	c.reader = bufio.NewReaderSize(c, connBufferBytes)
	return c
}

// Write writes to the connection and counts the bytes; any byte accepted by the kernel may reach the upstream, even if
// the connection fails afterwards.
func (c *upstreamConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	c.writeErr = err
	return n, err
}

// Read reads from the connection; it fails once an answer's header exceeds its size limit or is malformed.
func (c *upstreamConn) Read(p []byte) (int, error) {
	if c.headerBytesLeft < 0 {
		return 0, errHeaderTooLarge
	}
	if c.head.Err() != nil {
		return 0, c.head.Err()
	}
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	c.readErr = err
	if headErr := c.head.Scan(p[:n]); headErr != nil {
		c.readErr = headErr
		return 0, headErr
	}
	if n > 0 && !c.answerBy.IsZero() {
		if deadlineErr := c.limitAnswer(); err == nil {
			err = deadlineErr
		}
	}
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

// limitAnswer sets the deadline of an answer that has begun before it.
func (c *upstreamConn) limitAnswer() error {
	by := c.answerBy
	c.answerBy = time.Time{}
	if time.Now().After(by) {
		return nil
	}
	return c.SetReadDeadline(by)
}

func (c *upstreamConn) begin(deadline, answerBy time.Time) error {
	c.answerBy = answerBy
	c.written.Store(0)
	c.read.Store(0)
	c.readErr, c.writeErr = nil, nil
	c.head.Reset()
	c.use.Exchange++
	return c.SetDeadline(deadline)
}

// stillIdle reports whether the peer has neither sent data on the idle connection nor closed it. A request sent while the peer closes the
// connection has an unknown outcome, and a duplicate answer would be taken for the answer to the next request. The check makes both cases
// rare; if one occurs after the check, the attempt ends with OutcomeUnknown or the request id shows that the answer is wrong.
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
