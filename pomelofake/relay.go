package pomelofake

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// RelayConfig configures a Relay.
type RelayConfig struct {
	// Listen opens the listener on which the relay accepts connections.
	Listen func() (net.Listener, error)
	// Dial connects to the target.
	Dial func() (net.Conn, error)
}

// RelayEffect is the fault applied to one direction of a connection; the zero value forwards the bytes unchanged.
type RelayEffect struct {
	// Delay is the added latency.
	Delay time.Duration
	// Block holds bytes back until the rules change, as TCP does during a network partition.
	Block bool
	// Drop discards bytes; a connection that lost some is closed once Drop ends, since its byte stream has a gap.
	Drop bool
}

// RelayRule defines the faults for the connections of a source.
type RelayRule struct {
	// Source is the IP address that connects; the zero value applies to every source without a rule of its own.
	Source netip.Addr
	// Cut closes existing connections and rejects new ones.
	Cut bool
	// Toward applies from the source to the target, and Back from the target to the source.
	Toward RelayEffect
	Back   RelayEffect
}

// Relay forwards TCP connections to a target and injects faults into them by source.
type Relay struct {
	cfg      RelayConfig
	listener net.Listener
	wg       sync.WaitGroup

	mu     sync.Mutex
	closed bool
	rules  map[netip.Addr]RelayRule
	// changed is closed and replaced whenever the rules change.
	changed        chan struct{}
	connections    map[*relayConnection]struct{}
	bytesForwarded int64
}

// relayConnection is a connection from a source with its connection to the target.
type relayConnection struct {
	source     netip.Addr
	sourceConn net.Conn
	targetConn net.Conn
	// silent is set once Silence was called; the relay's mutex guards it.
	silent bool
}

func (c *relayConnection) close() {
	_ = c.sourceConn.Close()
	_ = c.targetConn.Close()
}

// NewRelay starts forwarding connections; it fails if the listener cannot be opened.
func NewRelay(cfg RelayConfig) (*Relay, error) {
	listener, err := cfg.Listen()
	if err != nil {
		return nil, err
	}
	r := &Relay{
		cfg:         cfg,
		listener:    listener,
		rules:       make(map[netip.Addr]RelayRule),
		changed:     make(chan struct{}),
		connections: make(map[*relayConnection]struct{}),
	}
	r.wg.Go(r.accept)
	return r, nil
}

// SetRules replaces all rules; connections with a Cut rule are closed at once.
func (r *Relay) SetRules(rules []RelayRule) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rules = make(map[netip.Addr]RelayRule)
	for _, rule := range rules {
		r.rules[rule.Source.Unmap()] = rule
	}
	close(r.changed)
	r.changed = make(chan struct{})
	for conn := range r.connections {
		if r.ruleFor(conn.source).Cut {
			conn.close()
		}
	}
}

// Silence makes the open connections silent for good: they stay open and forward nothing more, while new ones work.
func (r *Relay) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.connections {
		conn.silent = true
	}
}

// BytesForwarded returns the number of bytes forwarded in both directions since the start.
func (r *Relay) BytesForwarded() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bytesForwarded
}

// Close closes all connections and waits for the relay's goroutines to end.
func (r *Relay) Close() error {
	r.mu.Lock()
	r.closed = true
	err := r.listener.Close()
	for conn := range r.connections {
		conn.close()
	}
	close(r.changed)
	r.changed = make(chan struct{})
	r.mu.Unlock()
	r.wg.Wait()
	return err
}

// ruleFor returns the rule of a source, or else the default rule. The caller holds the mutex.
func (r *Relay) ruleFor(source netip.Addr) RelayRule {
	if rule, ok := r.rules[source]; ok {
		return rule
	}
	return r.rules[netip.Addr{}]
}

func (r *Relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.wg.Go(func() { r.connect(conn) })
	}
}

func (r *Relay) connect(sourceConn net.Conn) {
	source := sourceAddr(sourceConn)
	r.mu.Lock()
	cut := r.ruleFor(source).Cut
	r.mu.Unlock()
	if cut {
		_ = sourceConn.Close()
		return
	}
	targetConn, err := r.cfg.Dial()
	if err != nil {
		_ = sourceConn.Close()
		return
	}
	conn := &relayConnection{source: source, sourceConn: sourceConn, targetConn: targetConn}
	defer conn.close()
	if !r.add(conn) {
		return
	}
	defer r.remove(conn)
	r.forward(conn)
}

// add registers a connection; it reports false if the relay was closed or the source was cut off while the target was dialled.
func (r *Relay) add(conn *relayConnection) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.ruleFor(conn.source).Cut {
		return false
	}
	r.connections[conn] = struct{}{}
	return true
}

func (r *Relay) remove(conn *relayConnection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.connections, conn)
}

func sourceAddr(conn net.Conn) netip.Addr {
	addr, err := netip.ParseAddrPort(conn.RemoteAddr().String())
	if err != nil {
		return netip.Addr{}
	}
	return addr.Addr().Unmap()
}
