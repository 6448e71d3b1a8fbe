package pomelolink

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	crashProbes     = 2
	crashProbePause = 30 * time.Millisecond
)

// pool keeps idle connections to upstreams. It never sends anything: net/http's own transport sends a request
// again by itself when a reused connection breaks and the request looks replayable, so it is not used here.
type pool struct {
	cfg    Config
	dialer net.Dialer
	// opened counts the connections that were opened.
	opened atomic.Uint64
	stop   chan struct{}
	once   sync.Once

	mu     sync.Mutex
	idle   map[netip.AddrPort][]*upstreamConn
	closed bool
}

func newPool(cfg Config) *pool {
	p := &pool{
		cfg:    cfg,
		dialer: newDialer(cfg),
		stop:   make(chan struct{}),
		idle:   make(map[netip.AddrPort][]*upstreamConn),
	}
	go func() {
		ticker := time.NewTicker(cfg.IdleTimeout)
		defer ticker.Stop()
		for {
			select {
			case <-p.stop:
				return
			case now := <-ticker.C:
				p.sweep(now.Add(-cfg.IdleTimeout))
			}
		}
	}()
	return p
}

// get returns an idle connection that is silent, or a new one.
func (p *pool) get(ctx context.Context, addr netip.AddrPort, fresh bool) (*upstreamConn, error) {
	for !fresh {
		c := p.take(addr)
		if c == nil {
			break
		}
		if time.Since(c.idleFrom) < c.idleFor && c.silent() {
			c.reused = true
			return c, nil
		}
		c.Close()
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, err
	}
	p.opened.Add(1)
	c := newUpstreamConn(raw)
	c.idleFor = p.cfg.IdleTimeout
	return c, nil
}

func (p *pool) take(addr netip.AddrPort) *upstreamConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	list[len(list)-1] = nil
	p.idle[addr] = list[:len(list)-1]
	return c
}

func (p *pool) put(addr netip.AddrPort, c *upstreamConn) {
	if err := c.SetDeadline(time.Time{}); err != nil {
		c.Close()
		return
	}
	c.idleFrom = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[addr]) >= p.cfg.IdleConns {
		c.Close()
		return
	}
	p.idle[addr] = append(p.idle[addr], c)
}

// sweep closes connections idle since before the time; the oldest stand first.
func (p *pool) sweep(before time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		n := 0
		for n < len(list) && list[n].idleFrom.Before(before) {
			list[n].Close()
			n++
		}
		if n == len(list) {
			delete(p.idle, addr)
			continue
		}
		p.idle[addr] = append(list[:0:0], list[n:]...)
	}
}

func (p *pool) close() {
	p.once.Do(func() { close(p.stop) })
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

// Refuses reports whether the upstream takes no connection, which tells a crash from one cut connection. A process that
// dies may close its connections a moment before its listener, hence the second look.
func (l *Client) Refuses(ctx context.Context, addr netip.AddrPort) bool {
	for n := range crashProbes {
		if n > 0 {
			time.Sleep(crashProbePause)
		}
		raw, err := l.conns.dialer.DialContext(ctx, "tcp", addr.String())
		if errors.Is(err, syscall.ECONNREFUSED) {
			return true
		}
		if err == nil {
			raw.Close()
		}
	}
	return false
}
