package pomeloentry

import (
	"net"
	"time"
)

const (
	// minHeaderTimeout is the least time for the reading of a request's header.
	minHeaderTimeout = 10 * time.Second
	// defaultIdleTimeout closes idle connections of callers while no limit is known.
	defaultIdleTimeout = 20 * time.Second
	// idleMargin is the ratio of the time after which an idle connection is closed to the operators' limit: a caller that keeps to the limit must
	// not send a request while its connection is being closed.
	idleMargin = 4.0 / 3
	// idleMark and headerMark are the timeouts that net/http is given. It reads them once, at the start, so timedConn replaces the deadlines that
	// follow from them by those of the configuration in force.
	idleMark   = 1000 * time.Hour
	headerMark = 2000 * time.Hour
)

// timedConn is a caller's connection whose timeouts follow the configuration in force.
type timedConn struct {
	*net.TCPConn
	e *Router
}

// SetReadDeadline sets the deadline of reads; net/http's timeouts for idle connections and for headers are replaced.
func (c timedConn) SetReadDeadline(t time.Time) error {
	if left := time.Until(t); left > (idleMark+headerMark)/2 {
		t = time.Now().Add(c.e.headerTimeout())
	} else if left > idleMark/2 {
		t = time.Now().Add(c.e.idleTimeout())
	}
	return c.TCPConn.SetReadDeadline(t)
}

// headerTimeout bounds the reading of a request's header.
func (e *Router) headerTimeout() time.Duration {
	if table := e.table.Load(); table != nil {
		return max(minHeaderTimeout, table.Limits().HeaderTimeout)
	}
	return minHeaderTimeout
}

// idleTimeout is how long a caller's connection may stay idle.
func (e *Router) idleTimeout() time.Duration {
	if table := e.table.Load(); table != nil && table.Limits().IdleTimeout > 0 {
		return time.Duration(idleMargin * float64(table.Limits().IdleTimeout))
	}
	return defaultIdleTimeout
}
