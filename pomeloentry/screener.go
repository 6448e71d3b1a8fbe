package pomeloentry

import (
	"context"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// screenQueueLength bounds the connections that wait for their decision, and maxAwaited those whose request has not arrived.
	screenQueueLength = 1024
	maxAwaited        = 256
	// maxScreenWait is the longest wait for a decision: callers abandon an unread request after 1 s and need time for another attempt.
	maxScreenWait = 500 * time.Millisecond
	// maxScreenWorkers bounds the decisions at a time. More of them would fill the run queue of the processor, and the control goroutine, links and
	// streams would wait behind them.
	maxScreenWorkers = 2
	// acceptBatch is the number of connections accepted in a row before other goroutines run.
	acceptBatch = 16
	// screenCostWeight is the weight of a decision in the mean time that decisions take.
	screenCostWeight = 1.0 / 16
	// screenBufferSize is the size of the first read, the same as that of net/http.
	screenBufferSize = 4 << 10
)

// screenItem is a connection whose first request is to be decided on. buffer holds its first bytes if they were awaited; the pool of buffers has it
// back after the decision.
type screenItem struct {
	conn       *net.TCPConn
	acceptedAt int64
	buffer     *screenBuffer
}

type screenBuffer struct {
	data [screenBufferSize]byte
	n    int
}

var screenBuffers = sync.Pool{New: func() any { return new(screenBuffer) }}

// screener decides on the first requests of new connections while the router is limited, before net/http spends a goroutine, buffers and contexts on
// them. Connections of admitted requests, and those it cannot decide on, are passed to net/http.
type screener struct {
	e       *Router
	queue   chan screenItem
	passed  chan net.Conn
	workers int
	// costNS is the mean time that a worker takes for a decision, in nanoseconds.
	costNS  atomic.Int64
	awaited atomic.Int64
	linger  *lingerer
}

// newScreener starts a screener that ends with the router.
func newScreener(e *Router) *screener {
	s := &screener{e: e, queue: make(chan screenItem, screenQueueLength), passed: make(chan net.Conn, acceptBatch), workers: min(runtime.GOMAXPROCS(0), maxScreenWorkers), linger: newLingerer(e)}
	for range s.workers {
		e.start(s.work)
	}
	return s
}

// put queues a connection; it returns false if a decision would come too late.
func (s *screener) put(item screenItem) bool {
	if time.Duration(len(s.queue))*time.Duration(s.costNS.Load())/time.Duration(s.workers) > maxScreenWait {
		return false
	}
	select {
	case s.queue <- item:
		return true
	default:
		return false
	}
}

// closeUnread closes a connection on whose request nothing is decided. The error is ignored: the connection is unusable either way.
func (s *screener) closeUnread(conn *net.TCPConn) {
	s.e.overload.refused.unreadConns.Add(1)
	_ = conn.Close()
}

func (s *screener) work(ctx context.Context) {
	r := newSocketReader()
	for {
		select {
		case item := <-s.queue:
			began := s.e.steady()
			s.decide(ctx, r, item)
			// After each decision the goroutines that became ready meanwhile run first.
			runtime.Gosched()
			mean := s.costNS.Load()
			s.costNS.Store(mean + int64(screenCostWeight*float64(s.e.steady()-began-mean)))
		case <-ctx.Done():
			s.drop()
			return
		}
	}
}

// drop closes the connections that are queued when the router closes.
func (s *screener) drop() {
	for {
		select {
		case item := <-s.queue:
			_ = item.conn.Close()
			s.e.conns.Add(-1)
		default:
			return
		}
	}
}

// decide decides on the request whose first bytes the connection has received.
func (s *screener) decide(ctx context.Context, r *socketReader, item screenItem) {
	b := item.buffer
	if b == nil {
		b = screenBuffers.Get().(*screenBuffer)
		n, err := r.read(item.conn, b.data[:])
		if err == syscall.EAGAIN && s.awaited.Add(1) <= maxAwaited {
			go s.await(item, b)
			return
		}
		if err == syscall.EAGAIN {
			s.awaited.Add(-1)
		}
		b.n = max(n, 0)
		if n == 0 && err == nil {
			_ = item.conn.Close()
			s.e.conns.Add(-1)
			screenBuffers.Put(b)
			return
		}
	}
	s.answer(ctx, r, item, b.data[:b.n])
	screenBuffers.Put(b)
}

// await reads the first bytes of a connection that had none, and queues it again.
func (s *screener) await(item screenItem, b *screenBuffer) {
	defer s.awaited.Add(-1)
	err := item.conn.SetReadDeadline(time.Now().Add(headerTimeout))
	if err == nil {
		b.n, err = item.conn.Read(b.data[:])
	}
	if err == nil {
		err = item.conn.SetReadDeadline(time.Time{})
	}
	item.buffer = b
	if err == nil && s.e.ctx.Err() == nil && s.put(item) {
		return
	}
	screenBuffers.Put(b)
	s.e.conns.Add(-1)
	s.closeUnread(item.conn)
}

func (s *screener) answer(ctx context.Context, r *socketReader, item screenItem, data []byte) {
	info := &callerConn{conn: item.conn, acceptedAt: item.acceptedAt}
	refused, unread := s.e.screen(info, data)
	s.e.conns.Add(-1)
	if refused.code == 0 {
		s.pass(ctx, &screenedConn{TCPConn: item.conn, info: info, first: append([]byte(nil), data...)})
		return
	}
	s.e.logRefusal(refused)
	// The errors of a connection that the caller has left are ignored: it is closed either way.
	_, err := item.conn.Write(refusalResponse(refused))
	if err != nil || unread == 0 || r.drain(item.conn, &unread) {
		_ = item.conn.Close()
		return
	}
	_ = item.conn.CloseWrite()
	s.linger.add(item.conn, unread)
}

// pass gives a connection to net/http.
func (s *screener) pass(ctx context.Context, conn *screenedConn) {
	setKeepAlive(conn.TCPConn)
	select {
	case s.passed <- conn:
	case <-ctx.Done():
		_ = conn.Close()
	}
}

// passedListener returns the connections that a screener passes to net/http.
type passedListener struct {
	s    *screener
	addr net.Addr
}

// Accept returns the next connection; it fails when the router closes.
func (l passedListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.s.passed:
		return conn, nil
	case <-l.s.e.ctx.Done():
		return nil, net.ErrClosed
	}
}

// Close does nothing: Accept ends with the router.
func (l passedListener) Close() error { return nil }

// Addr returns the address of the router's listener.
func (l passedListener) Addr() net.Addr { return l.addr }
