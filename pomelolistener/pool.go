package pomelolistener

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Pool is the account of what the clients' connections of a process hold; it is safe for concurrent use.
type Pool struct {
	cfg       Config
	lingering atomic.Int64
	closing   atomic.Bool

	mu sync.Mutex
	// used is the memory charged to connections, bodies the part charged for large bodies.
	used, bodies int64
	ports        []*Port
	stats        Stats
}

// Stats counts what a pool has refused and given up since its start.
type Stats struct {
	// Memory is the memory charged at present, in bytes.
	Memory int64
	// Evicted counts connections that gave way to others, by phase.
	Evicted [numPhases]int64
	// Unaccepted counts connections that were closed unread because the pool or the port was full.
	Unaccepted int64
	// HeadsTooLarge, HeadsWithoutMemory and BodiesUnread count requests that were refused before they had been read.
	HeadsTooLarge, HeadsWithoutMemory, BodiesUnread int64
	// UnreadAnswers counts connections that were closed because their clients did not read an answer in time.
	UnreadAnswers int64
}

// New creates a Pool.
func New(cfg Config) *Pool { return &Pool{cfg: cfg} }

// Close makes connections close at once, without waiting for their clients.
func (p *Pool) Close() { p.closing.Store(true) }

// Stats returns the counts.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stats
	s.Memory = p.used
	return s
}

// NewPort creates a Port. Connections of the ports that were created first give way first when memory is short.
func (p *Pool) NewPort(cfg PortConfig) *Port {
	port := &Port{pool: p, cfg: cfg}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ports = append(p.ports, port)
	return port
}

// charge changes the memory charged to a connection; others give way if there is not enough. It reports whether there was. The caller holds mu, and closes
// the evicted connections after releasing it.
func (p *Pool) charge(c *Conn, bytes int64, evicted *[]*Conn) bool {
	if c.removed {
		return bytes <= 0
	}
	for limit := int64(p.cfg.Memory); bytes > 0 && limit > 0 && p.used+bytes > limit && !c.port.cfg.Reserved; {
		victim := p.memoryVictim(bytes <= RequestMemory)
		if victim == nil || victim == c {
			return false
		}
		p.evict(victim, evicted)
	}
	c.held += bytes
	p.used += bytes
	return true
}

// memoryVictim returns the connection that gives way when memory is short; nil if there is none. What reserved ports hold is not for others.
func (p *Pool) memoryVictim(orIdle bool) *Conn {
	for _, port := range p.ports {
		if c := port.obstructing(); c != nil && !port.cfg.Reserved {
			return c
		}
	}
	for _, port := range p.ports {
		if c := port.inactive(PhaseIdle); c != nil && orIdle && !port.cfg.Reserved {
			return c
		}
	}
	return nil
}

// evict gives a connection up; the caller holds mu, and closes the connection after releasing it.
func (p *Pool) evict(c *Conn, evicted *[]*Conn) {
	p.stats.Evicted[c.listed()]++
	p.remove(c)
	*evicted = append(*evicted, c)
}

// remove takes a connection off the account; the caller holds mu.
func (p *Pool) remove(c *Conn) {
	if c.removed {
		return
	}
	c.port.lists[c.listed()].remove(c)
	c.removed = true
	p.used -= c.held
	p.bodies -= c.bodyHeld
	c.held, c.bodyHeld = 0, 0
}

// closeEvicted resets connections, so that the kernel drops what it holds of them.
func closeEvicted(evicted []*Conn) {
	for _, c := range evicted {
		// The errors of a connection that the client has closed are ignored.
		_ = c.TCPConn.SetLinger(0)
		_ = c.TCPConn.Close()
	}
}

// Port holds the connections of one listening address.
type Port struct {
	pool *Pool
	cfg  PortConfig
	// lists are protected by the pool's mu.
	lists [numPhases]connList
}

// Backlog returns the limit on the connections that wait for their acceptance.
func (p *Port) Backlog() int { return p.cfg.Backlog }

// Conns returns the number of open connections.
func (p *Port) Conns() int64 {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	return p.conns()
}

func (p *Port) conns() int64 {
	var n int64
	for i := range p.lists {
		n += p.lists[i].size
	}
	return n
}

// InPhase returns the number of connections in a phase.
func (p *Port) InPhase(phase Phase) int64 {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	return p.lists[phase].size
}

// Listener returns a listener whose connections belong to the port.
func (p *Port) Listener(l net.Listener) net.Listener { return portListener{l, p} }

type portListener struct {
	net.Listener
	port *Port
}

// Accept returns the next connection, a *Conn. It closes connections for which there is neither room nor another one that gives way.
func (l portListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := conn.(*net.TCPConn)
		if !ok {
			return conn, nil
		}
		if c := l.port.admit(tcp); c != nil {
			return c, nil
		}
		_ = tcp.SetLinger(0)
		_ = tcp.Close()
	}
}

// admit adds a connection to the account; it returns nil if there is no room.
func (p *Port) admit(conn *net.TCPConn) *Conn {
	c := &Conn{TCPConn: conn, port: p, phase: PhaseHead, since: time.Now()}
	var evicted []*Conn
	defer func() { closeEvicted(evicted) }()
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	if p.cfg.MaxConns > 0 && p.conns() >= p.cfg.MaxConns {
		victim := p.obstructing()
		if victim == nil {
			victim = p.inactive(PhaseIdle)
		}
		if victim == nil {
			p.pool.stats.Unaccepted++
			return nil
		}
		p.pool.evict(victim, &evicted)
	}
	if !p.pool.charge(c, ConnMemory, &evicted) {
		p.pool.stats.Unaccepted++
		return nil
	}
	p.lists[c.phase].append(c)
	return c
}

// EvictBody gives up a connection whose body has stalled, and reports whether there was one.
func (p *Port) EvictBody() bool {
	var evicted []*Conn
	defer func() { closeEvicted(evicted) }()
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	c := p.stalledBody()
	if c != nil {
		p.pool.evict(c, &evicted)
	}
	return c != nil
}

// EvictStalled gives up the connections whose clients have not read for stallTimeout, and with them the upstreams' slots that their requests hold.
func (p *Port) EvictStalled() {
	var evicted []*Conn
	defer func() { closeEvicted(evicted) }()
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	for c := p.stalled(); c != nil; c = p.stalled() {
		p.pool.evict(c, &evicted)
	}
}

// stalled returns the connection whose write has been blocked for longest, and for stallTimeout at least; nil if there is none.
func (p *Port) stalled() *Conn {
	if c := p.lists[PhaseWriting].first; c != nil && time.Since(c.since) >= stallTimeout {
		return c
	}
	return nil
}

// stalledBody returns the connection of a body that has not come on for longest, and for stallTimeout at least; nil if there is none.
func (p *Port) stalledBody() *Conn {
	if c := p.inactive(PhaseBody); c != nil && time.Since(c.since) >= stallTimeout {
		return c
	}
	return nil
}

// obstructing returns the connection that holds resources and is furthest from being served; nil if there is none. The caller holds the pool's mu.
func (p *Port) obstructing() *Conn {
	if c := p.stalled(); c != nil {
		return c
	}
	if c := p.lists[PhaseFinishing].first; c != nil && time.Since(c.since) >= finishTimeout {
		return c
	}
	head, body := p.inactive(PhaseHead), p.stalledBody()
	if head == nil || (body != nil && body.since.Before(head.since)) {
		return body
	}
	return head
}

// inactive returns the connection that entered a phase first, of those whose clients the router waits for; nil if there is none. One with unread bytes
// waits for the router.
func (p *Port) inactive(phase Phase) *Conn {
	c := p.lists[phase].first
	for range maxVictimChecks {
		if c == nil || !c.hasUnread() {
			return c
		}
		c = c.next
	}
	return nil
}
