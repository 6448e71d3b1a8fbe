package pomeloentry

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// lingerTimeout bounds the time for which a refused connection is read until its caller closes it, and maxLingering the number of such
	// connections: each holds a descriptor and its receive buffer.
	lingerTimeout = 500 * time.Millisecond
	maxLingering  = 256
	// lingerPoll is how often they are read.
	lingerPoll   = 20 * time.Millisecond
	lingerBuffer = 32 << 10
	// maxDrainReads bounds the reads of a connection in a row, so that a fast sender does not hold the processor.
	maxDrainReads = 16
)

// socketReader reads what a socket has received without waiting for more.
type socketReader struct {
	buffer []byte
	into   []byte
	n      int
	err    error
	// receive is stored so that it is allocated once.
	receive func(fd uintptr) bool
}

func newSocketReader() *socketReader {
	r := &socketReader{buffer: make([]byte, lingerBuffer)}
	r.receive = func(fd uintptr) bool {
		r.n, r.err = syscall.Read(int(fd), r.into)
		return true
	}
	return r
}

// read reads at most len(into) bytes; it fails with EAGAIN if none have arrived.
func (r *socketReader) read(conn *net.TCPConn, into []byte) (int, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, err
	}
	r.into = into
	if err := raw.Read(r.receive); err != nil {
		return 0, err
	}
	return r.n, r.err
}

// drain reads what has arrived of a body of which unread bytes are missing, -1 if their number is unknown. It reports whether nothing more is to come.
func (r *socketReader) drain(conn *net.TCPConn, unread *int64) bool {
	for range maxDrainReads {
		n, err := r.read(conn, r.buffer)
		if err == syscall.EAGAIN {
			return false
		}
		if err != nil || n == 0 {
			return true
		}
		if *unread < 0 {
			continue
		}
		*unread = max(0, *unread-int64(n))
		if *unread == 0 {
			return true
		}
	}
	return false
}

// lingering is a refused connection whose caller still sends the body.
type lingering struct {
	conn   *net.TCPConn
	unread int64
	until  time.Time
}

// lingerer reads refused connections until their callers have sent the body: closing a socket with unread bytes resets the connection, which may
// destroy the response before the caller reads it.
type lingerer struct {
	mu    sync.Mutex
	conns []lingering
	wake  chan struct{}
}

// newLingerer starts a lingerer that ends with the router.
func newLingerer(e *Router) *lingerer {
	l := &lingerer{wake: make(chan struct{}, 1)}
	e.start(func(ctx context.Context) {
		r := newSocketReader()
		for {
			select {
			case <-ctx.Done():
				l.poll(r, time.Now().Add(time.Hour))
				return
			case <-l.wake:
			}
			for l.poll(r, time.Now()) && ctx.Err() == nil {
				time.Sleep(lingerPoll)
			}
		}
	})
	return l
}

// add takes over a connection; the oldest one is closed if there are too many.
func (l *lingerer) add(conn *net.TCPConn, unread int64) {
	l.mu.Lock()
	l.conns = append(l.conns, lingering{conn, unread, time.Now().Add(lingerTimeout)})
	if len(l.conns) > maxLingering {
		// The error is ignored: the connection is unusable either way.
		_ = l.conns[0].conn.Close()
		l.conns = append(l.conns[:0], l.conns[1:]...)
	}
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// poll reads all connections, closes those that are complete or too old, and reports whether any are left.
func (l *lingerer) poll(r *socketReader, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := l.conns[:0]
	for _, c := range l.conns {
		if r.drain(c.conn, &c.unread) || now.After(c.until) {
			_ = c.conn.Close()
			continue
		}
		kept = append(kept, c)
	}
	clear(l.conns[len(kept):])
	l.conns = kept
	return len(kept) > 0
}

// Count returns the number of connections.
func (l *lingerer) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}
