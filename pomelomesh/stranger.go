package pomelomesh

import (
	"net"
	"net/netip"
	"time"

	"github.com/pomelorelay/pomelorelay"

	"google.golang.org/grpc/credentials"
)

const (
	// strangerEvery bounds how often the log tells of callers at one address that say no hello.
	strangerEvery = 10 * time.Second
	// maxStrangers bounds the addresses that are remembered for it.
	maxStrangers = 1024
	noHello      = "the connection ended without a hello"
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
		counted.failure.Store(&reason)
	}
	return secured, info, err
}

// Clone returns a copy.
func (c serverCredentials) Clone() credentials.TransportCredentials {
	return serverCredentials{c.TransportCredentials.Clone()}
}

// noteStranger logs a caller whose connection ended before its hello: a router with the wrong keys, or no router at all.
func (m *Mesh) noteStranger(c *countedConn, now time.Time) {
	if c.greeted.Load() || m.ctx.Err() != nil {
		return
	}
	m.counters.strangers.Add(1)
	remote, err := netip.ParseAddrPort(c.RemoteAddr().String())
	if err != nil || !m.strangerDue(remote.Addr(), now) {
		return
	}
	reason := noHello
	if failure := c.failure.Load(); failure != nil {
		reason = *failure
	}
	m.cfg.Logger.Log(pomelorelay.EventMeshRefused, pomelorelay.Field{Key: "Remote", Value: remote.String()}, pomelorelay.Field{Key: "Reason", Value: reason})
}

// strangerDue reports whether the log may tell of the address again.
func (m *Mesh) strangerDue(addr netip.Addr, now time.Time) bool {
	m.strangersMu.Lock()
	defer m.strangersMu.Unlock()
	if last, ok := m.strangers[addr]; ok && now.Sub(last) < strangerEvery {
		return false
	}
	if len(m.strangers) >= maxStrangers {
		clear(m.strangers)
	}
	m.strangers[addr] = now
	return true
}
