package pomelomesh

import (
	"net"
	"net/netip"
	"time"

	"github.com/pomelorelay/pomelorelay"

	"google.golang.org/grpc/credentials"
)

const (
	// unidentifiedLogInterval bounds how often the log tells of callers at one address that say no hello.
	unidentifiedLogInterval = 10 * time.Second
	// maxUnidentifiedAddrs bounds the addresses that are remembered for it.
	maxUnidentifiedAddrs = 1024
	reasonNoHello        = "the connection ended without a hello"
)

// serverCredentials keeps why a handshake failed, which grpc tells nobody. Without it a router whose certificate comes from
// another authority is kept out in silence, and its operators look for the fault in the network.
type serverCredentials struct {
	credentials.TransportCredentials
}

// ServerHandshake authenticates a caller.
func (c serverCredentials) ServerHandshake(conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	secured, info, err := c.TransportCredentials.ServerHandshake(conn)
	if counted, ok := conn.(*countedConn); ok && err != nil {
		reason := err.Error()
		counted.handshakeError.Store(&reason)
	}
	return secured, info, err
}

// Clone returns a copy.
func (c serverCredentials) Clone() credentials.TransportCredentials {
	return serverCredentials{c.TransportCredentials.Clone()}
}

// recordUnidentified logs a caller whose connection ended before its hello: a router with the wrong keys, or no router at all.
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

// unidentifiedLogDue reports whether the log may tell of the address again.
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
