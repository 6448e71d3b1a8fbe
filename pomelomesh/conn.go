package pomelomesh

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// maxConns bounds the number of accepted connections; it is well above the number of routers in a fleet.
const maxConns = 4096

// countedConn counts the bytes of a connection by link class, below TLS.
type countedConn struct {
	net.Conn
	m       *Mesh
	class   atomic.Int32
	onClose func()
	closing sync.Once
	// identified is set when the hello, the first message of a link, arrives; handshakeError is the error of a failed TLS handshake.
	identified     atomic.Bool
	handshakeError atomic.Pointer[string]
}

func (m *Mesh) newCountedConn(conn net.Conn, class pomelorelay.LinkClass, onClose func()) *countedConn {
	c := &countedConn{Conn: conn, m: m, onClose: onClose}
	c.class.Store(int32(class))
	return c
}

// Read reads from the connection and counts the bytes.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.m.budgets[c.class.Load()].read.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.m.budgets[c.class.Load()].written.Add(int64(n))
	return n, err
}

// Close closes the connection; onClose runs at the first call only.
func (c *countedConn) Close() error {
	c.closing.Do(c.onClose)
	return c.Conn.Close()
}

// setClass sets the link class of later bytes; those of the handshake remain counted for LinkSameDomain.
func (c *countedConn) setClass(class pomelorelay.LinkClass) { c.class.Store(int32(class)) }

// countedListener returns counted connections and keeps them by remote address.
type countedListener struct {
	net.Listener
	m     *Mesh
	mu    sync.Mutex
	conns map[string]*countedConn
}

// Accept returns the next connection, closing those beyond maxConns.
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
	counted := l.m.newCountedConn(conn, pomelorelay.LinkSameDomain, nil)
	counted.onClose = func() {
		l.remove(remote)
		l.m.recordUnidentified(counted, time.Now())
	}
	l.conns[remote] = counted
	return counted
}

// setIdentified marks the connection as one on which a hello arrived.
func (l *countedListener) setIdentified(remote string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if conn, ok := l.conns[remote]; ok {
		conn.identified.Store(true)
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
