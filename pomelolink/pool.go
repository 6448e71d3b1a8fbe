package pomelolink

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pomelorelay/pomelorelay/pomelodialer"
)

const (
	crashProbes        = 2
	crashProbeInterval = 30 * time.Millisecond
	// dropWait is how long an upstream has to close a new connection. It allows for a round trip to another region.
	dropWait = 50 * time.Millisecond
)

// pool keeps idle connections to upstreams. net/http's Transport is not used because it retries a request by itself when a
// reused connection breaks and the request looks replayable.
type pool struct {
	cfg    Config
	dialer *net.Dialer
	// opened counts the connections opened since the start.
	opened    atomic.Uint64
	stopSweep chan struct{}
	stopOnce  sync.Once

	mu     sync.Mutex
	idle   map[netip.AddrPort][]*upstreamConn
	starts map[netip.AddrPort]reportedStart
	closed bool
}

// reportedStart is the start time that the process at an address has stated since a time, and last at another.
type reportedStart struct {
	unixMilli   int64
	since, last time.Time
}

func newPool(cfg Config) *pool {
	p := &pool{
		cfg:       cfg,
		dialer:    pomelodialer.New(pomelodialer.Config{Timeout: cfg.DialTimeout, AckTimeout: cfg.AckTimeout, ReceiveBuffer: receiveBuffer}),
		stopSweep: make(chan struct{}),
		idle:      make(map[netip.AddrPort][]*upstreamConn),
		starts:    make(map[netip.AddrPort]reportedStart),
	}
	go func() {
		ticker := time.NewTicker(cfg.IdleTimeout)
		defer ticker.Stop()
		for {
			select {
			case <-p.stopSweep:
				return
			case now := <-ticker.C:
				p.closeIdleBefore(now.Add(-cfg.IdleTimeout))
			}
		}
	}()
	return p
}

// conn returns an idle connection that is still usable and not among the carriers, or a new one; with forceNew set it always opens a new one.
func (p *pool) conn(ctx context.Context, addr netip.AddrPort, forceNew bool, carriers *Carriers) (*upstreamConn, error) {
	if !forceNew {
		if c := p.idleConn(addr, carriers); c != nil {
			return c, nil
		}
	}
	openedAt := time.Now()
	raw, err := p.dialer.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, err
	}
	c := newUpstreamConn(raw, p.opened.Add(1))
	c.openedAt, c.maxIdle = openedAt, p.cfg.IdleTimeout
	return c, nil
}

// idleConn returns an idle connection that is still usable and not among the carriers; nil if there is none.
func (p *pool) idleConn(addr netip.AddrPort, carriers *Carriers) *upstreamConn {
	for {
		c := p.take(addr, carriers)
		if c == nil {
			return nil
		}
		if time.Since(c.idleSince) < c.maxIdle && c.stillIdle() {
			c.reused = true
			return c
		}
		c.Close()
	}
}

// take removes and returns the last used idle connection that is not among the carriers; nil if there is none.
func (p *pool) take(addr netip.AddrPort, carriers *Carriers) *upstreamConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	for i := len(list) - 1; i >= 0; i-- {
		if c := list[i]; !carriers.contains(c) {
			p.idle[addr] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

func (p *pool) put(addr netip.AddrPort, c *upstreamConn) {
	if err := c.SetDeadline(time.Time{}); err != nil {
		c.Close()
		return
	}
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[addr]) >= p.cfg.IdleConns {
		c.Close()
		return
	}
	p.idle[addr] = append(p.idle[addr], c)
}

// closeIdleBefore closes connections that have been idle since before the given time; the list of each upstream is sorted oldest first.
func (p *pool) closeIdleBefore(before time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		n := 0
		for n < len(list) && list[n].idleSince.Before(before) {
			list[n].Close()
			n++
		}
		if n == len(list) {
			delete(p.idle, addr)
			continue
		}
		p.idle[addr] = append(list[:0:0], list[n:]...)
	}
	for addr, s := range p.starts {
		if s.last.Before(before) {
			delete(p.starts, addr)
		}
	}
}

// noteStart records the start time that the process at an address has just stated, and returns since when it has stated that one.
func (p *pool) noteStart(addr netip.AddrPort, unixMilli int64) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	s := p.starts[addr]
	if s.unixMilli != unixMilli {
		s = reportedStart{unixMilli: unixMilli, since: now}
	}
	s.last = now
	p.starts[addr] = s
	return s.since
}

func (p *pool) close() {
	p.stopOnce.Do(func() { close(p.stopSweep) })
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, list := range p.idle {
		for _, c := range list {
			c.Close()
		}
	}
	clear(p.idle)
}

// RefusesConnections reports whether the upstream refuses connections, which distinguishes a crash from a single broken connection. It
// probes twice, since a dying process may close its connections shortly before its listener.
func (c *Client) RefusesConnections(ctx context.Context, addr netip.AddrPort) bool {
	for n := range crashProbes {
		if n > 0 {
			time.Sleep(crashProbeInterval)
		}
		if c.probe(ctx, addr, 0) == probeRefused {
			return true
		}
	}
	return false
}

// DropsConnections reports whether the upstream refuses connections or closes each new one at once, as a proxy does whose upstream is down.
// An upstream that limits its connections may do that too.
func (c *Client) DropsConnections(ctx context.Context, addr netip.AddrPort) bool {
	for n := range crashProbes {
		if n > 0 {
			time.Sleep(crashProbeInterval)
		}
		switch c.probe(ctx, addr, dropWait) {
		case probeRefused:
			return true
		case probeOpen, probeFailed:
			return false
		}
	}
	return true
}

// acceptsConnections reports whether the upstream accepts a connection and keeps it open. It probes again after a connection that was lost on the
// way or closed by an upstream that limits its connections.
func (c *Client) acceptsConnections(ctx context.Context, addr netip.AddrPort) bool {
	for n := range crashProbes {
		if n > 0 {
			time.Sleep(crashProbeInterval)
		}
		switch c.probe(ctx, addr, dropWait) {
		case probeOpen:
			return true
		case probeRefused:
			return false
		}
	}
	return false
}

// probeResult is what a new connection shows of an upstream.
type probeResult int

const (
	// probeFailed means that the connection was neither accepted nor refused in time.
	probeFailed probeResult = iota
	probeOpen
	probeRefused
	probeDropped
)

// probe opens a connection and waits whether the upstream closes it.
func (c *Client) probe(ctx context.Context, addr netip.AddrPort, wait time.Duration) probeResult {
	raw, err := c.conns.dialer.DialContext(ctx, "tcp", addr.String())
	if errors.Is(err, syscall.ECONNREFUSED) {
		return probeRefused
	}
	if err != nil {
		return probeFailed
	}
	defer raw.Close()
	if wait <= 0 || raw.SetReadDeadline(time.Now().Add(wait)) != nil {
		return probeOpen
	}
	_, err = raw.Read(make([]byte, 1))
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return probeOpen
	}
	return probeDropped
}
