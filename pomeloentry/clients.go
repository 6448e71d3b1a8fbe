package pomeloentry

import (
	"net/http"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloforward"
	"github.com/pomelorelay/pomelorelay/pomelolink"
	"github.com/pomelorelay/pomelorelay/pomelolistener"
)

const (
	// minHeaderTimeout is the least time for the reading of a request's header.
	minHeaderTimeout = 10 * time.Second
	// defaultIdleTimeout closes idle connections of callers while no limit is known.
	defaultIdleTimeout = 20 * time.Second
	// idleMargin is the ratio of the time after which an idle connection is closed to the operators' limit: a caller that keeps to the limit must
	// not send a request while its connection is being closed.
	idleMargin = 4.0 / 3
	// controlHeaderBytes and controlTimeout bound a request's header, and the time to receive it or the next one, on the ports for readiness and metrics;
	// maxControlConns bounds the connections of each. They serve the load balancer and one collector of metrics.
	controlHeaderBytes = 2 << 10
	controlTimeout     = 10 * time.Second
	maxControlConns    = 32
)

// headTooLarge is the response to a request whose head exceeds the limit.
var headTooLarge = pomeloforward.ErrorResponse(pomelorelay.NewError(pomelorelay.CodeHeaderBounds, "", nil))

// controlPort is the configuration of the ports for readiness and metrics.
var controlPort = pomelolistener.PortConfig{
	MaxConns:      maxControlConns,
	Backlog:       maxControlConns,
	HeaderBytes:   func() pomelorelay.Bytes { return controlHeaderBytes },
	HeaderTimeout: func() time.Duration { return controlTimeout },
	IdleTimeout:   func() time.Duration { return controlTimeout },
	Reserved:      true,
	RefusesBodies: true,
	HeadTooLarge:  headTooLarge,
}

// callerPort returns the configuration of callers' port.
func (e *Router) callerPort() pomelolistener.PortConfig {
	return pomelolistener.PortConfig{
		MaxConns:      int64(connOverloadFactor * float64(e.hostLimits.maxConns)),
		Backlog:       e.hostLimits.maxPending,
		HeaderBytes:   e.headerBytes,
		HeaderTimeout: e.headerTimeout,
		IdleTimeout:   e.idleTimeout,
		LagMemory:     pomelolink.ReceiveMemory,
		HeadTooLarge:  headTooLarge,
		NoMemory:      encodeRefusal(refusal{code: pomelorelay.CodeRouterFull, retryAfter: fullRouterRetryAfter}),
	}
}

// headerBytes bounds a request's header by the operators' configuration.
func (e *Router) headerBytes() pomelorelay.Bytes {
	if table := e.table.Load(); table != nil && table.Limits().HeaderBytes > 0 {
		return min(maxHeaderBytes, table.Limits().HeaderBytes)
	}
	return maxHeaderBytes
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

// chargeBody charges the memory of a large body to the connection of its request.
func chargeBody(r *http.Request, bytes int64) bool {
	conn := connOf(r.Context()).tracked()
	return conn == nil || conn.ChargeBody(bytes)
}

// evictedFields are the log fields of connections that gave way to others, by phase.
var evictedFields = []string{"EvictedInHead", "EvictedInBody", "EvictedServing", "EvictedInWrite", "EvictedFinishing", "EvictedIdle"}

// logClients logs refused and closed connections of clients that do not behave, all kinds in one line.
func (c *control) logClients() {
	s, last := c.e.clients.Stats(), c.clients
	c.clients = s
	last.Memory = s.Memory
	if s == last {
		return
	}
	fields := []pomelorelay.Field{
		field("Unaccepted", s.Unaccepted-last.Unaccepted), field("HeadsTooLarge", s.HeadsTooLarge-last.HeadsTooLarge),
		field("HeadsWithoutMemory", s.HeadsWithoutMemory-last.HeadsWithoutMemory), field("BodiesUnread", s.BodiesUnread-last.BodiesUnread),
		field("UnreadAnswers", s.UnreadAnswers-last.UnreadAnswers), field("Memory", s.Memory), field("Connections", c.e.callers.Conns()),
	}
	for phase, n := range s.Evicted {
		if n -= last.Evicted[phase]; n > 0 {
			fields = append(fields, field(evictedFields[phase], n))
		}
	}
	c.e.log(pomelorelay.EventClientsClosed, fields...)
}

func (c *control) setClientGauges() {
	m, s := c.e.metrics, c.e.clients.Stats()
	m.SetGauge("client_memory_bytes", float64(s.Memory))
	m.SetGauge("client_unaccepted", float64(s.Unaccepted))
	m.SetGauge("client_heads_too_large", float64(s.HeadsTooLarge))
	m.SetGauge("client_heads_without_memory", float64(s.HeadsWithoutMemory))
	m.SetGauge("client_bodies_unread", float64(s.BodiesUnread))
	m.SetGauge("client_answers_unread", float64(s.UnreadAnswers))
	for phase, n := range s.Evicted {
		m.SetGauge("client_evicted_"+pomelolistener.Phase(phase).String(), float64(n))
	}
}
