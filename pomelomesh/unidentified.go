package pomelomesh

import (
	"net"
	"net/netip"
	"time"

	"github.com/pomelorelay/pomelorelay"

	"google.golang.org/grpc/credentials"
)

const (
	// unidentifiedLogInterval is the minimum time between log entries about one remote address.
	unidentifiedLogInterval = 10 * time.Second
	// maxUnidentifiedAddrs bounds the number of remote addresses for which the time of the last log entry is kept.
	maxUnidentifiedAddrs = 1024
	reasonNoHello        = "connection closed before a hello"
)

// serverCredentials records why a TLS handshake failed, which gRPC does not report. Otherwise a router whose certificate
// is from another authority would be rejected without a log entry, and operators would look for a network fault.
type serverCredentials struct {
	credentials.TransportCredentials
}

// ServerHandshake performs the TLS handshake and records its error on the connection.
func (c serverCredentials) ServerHandshake(conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	secured, info, err := c.TransportCredentials.ServerHandshake(conn)
	if counted, ok := conn.(*countedConn); ok && err != nil {
		reason := err.Error()
		counted.handshakeError.Store(&reason)
	}
	return secured, info, err
}

// Clone returns a copy of the credentials.
func (c serverCredentials) Clone() credentials.TransportCredentials {
	return serverCredentials{c.TransportCredentials.Clone()}
}

// recordUnidentified counts and logs a connection that closed before its hello: the remote end is a router with invalid
// keys, or not a router.
func (m *Mesh) recordUnidentified(c *countedConn, now time.Time) {
	if c.identified.Load() || m.ctx.Err() != nil {
		return
	}
	m.counters.unidentified.Add(1)
	remote, err := netip.ParseAddrPort(c.RemoteAddr().String())
	if err != nil || !m.unidentifiedLogDue(remote.Addr(), now) {
		return
	}
	reason := reasonNoHello
	if handshakeError := c.handshakeError.Load(); handshakeError != nil {
		reason = *handshakeError
	}
	m.cfg.Logger.Log(pomelorelay.EventMeshRefused, pomelorelay.Field{Key: "Remote", Value: remote.String()}, pomelorelay.Field{Key: "Reason", Value: reason})
}

// unidentifiedLogDue reports whether a connection from the address that closed before its hello may be logged now.
func (m *Mesh) unidentifiedLogDue(addr netip.Addr, now time.Time) bool {
	m.unidentifiedMu.Lock()
	defer m.unidentifiedMu.Unlock()
	if last, ok := m.unidentifiedLogged[addr]; ok && now.Sub(last) < unidentifiedLogInterval {
		return false
	}
	if len(m.unidentifiedLogged) >= maxUnidentifiedAddrs {
		clear(m.unidentifiedLogged)
	}
	m.unidentifiedLogged[addr] = now
	return true
}
