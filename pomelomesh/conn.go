package pomelomesh

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// maxConns bounds the connections accepted at once, well above a fleet's routers.
const maxConns = 4096

// countedConn counts its bytes for a link class, below TLS.
type countedConn struct {
	net.Conn
	m       *Mesh
	class   atomic.Int32
	onClose func()
	closing sync.Once
	// greeted is set once a hello arrived; failure is why the handshake failed.
	greeted atomic.Bool
	failure atomic.Pointer[string]
}

func (m *Mesh) countConn(conn net.Conn, class pomelorelay.LinkClass, onClose func()) *countedConn {
	c := &countedConn{Conn: conn, m: m, onClose: onClose}
	c.class.Store(int32(class))
	return c
}

// Read reads and counts.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.m.budgets[c.class.Load()].read.Add(int64(n))
	return n, err
}

// Write writes and counts.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.m.budgets[c.class.Load()].written.Add(int64(n))
	return n, err
}

// Close closes the connection once.
func (c *countedConn) Close() error {
	c.closing.Do(c.onClose)
	return c.Conn.Close()
}

// setClass counts later bytes for another class; those of the handshake stay with the nearest.
func (c *countedConn) setClass(class pomelorelay.LinkClass) { c.class.Store(int32(class)) }

// countedListener hands out counted connections and finds them again by their remote address.
type countedListener struct {
	net.Listener
	m     *Mesh
	mu    sync.Mutex
	conns map[string]*countedConn
}

// Accept waits for a connection and drops those over the bound.
func (l *countedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if counted := l.add(conn); counted != nil {
			return counted, nil
		}
		conn.Close()
	}
}

func (l *countedListener) add(conn net.Conn) *countedConn {
	remote := conn.RemoteAddr().String()
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= maxConns {
		return nil
	}
	counted := l.m.countConn(conn, pomelorelay.LinkSameDomain, nil)
	counted.onClose = func() {
		l.remove(remote)
		l.m.noteStranger(counted, time.Now())
	}
	l.conns[remote] = counted
	return counted
}

// greeted marks the connection of a caller that said hello.
func (l *countedListener) greeted(remote string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if conn, ok := l.conns[remote]; ok {
		conn.greeted.Store(true)
	}
}

func (l *countedListener) remove(remote string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, remote)
}

func (l *countedListener) setClass(remote string, class pomelorelay.LinkClass) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if conn, ok := l.conns[remote]; ok {
		conn.setClass(class)
	}
}
