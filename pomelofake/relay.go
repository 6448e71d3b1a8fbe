package pomelofake

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// RelayConfig describes a Relay.
type RelayConfig struct {
	// Listen opens the listener that the sources connect to.
	Listen func() (net.Listener, error)
	// Dial connects to the target.
	Dial func() (net.Conn, error)
}

// RelayEffect is what happens to bytes that go one way; the zero value passes them on.
type RelayEffect struct {
	// Delay is how much later bytes arrive.
	Delay time.Duration
	// Block holds bytes back until the rule is changed, as a network partition does under TCP.
	Block bool
	// Drop swallows bytes; a connection that lost some is closed once the rule is changed, since the rest would not fit.
	Drop bool
}

// RelayRule is what happens to the connections of a source.
type RelayRule struct {
	// Source is the connecting address; the zero value means every source that has no rule of its own.
	Source netip.Addr
	// Cut closes connections and lets none be made.
	Cut bool
	// Toward is the way from the source to the target, Back the other.
	Toward RelayEffect
	Back   RelayEffect
}

// Relay passes TCP connections on to a target and can disturb them by their source.
type Relay struct {
	cfg      RelayConfig
	listener net.Listener
	wg       sync.WaitGroup

	mu     sync.Mutex
	closed bool
	rules  map[netip.Addr]RelayRule
	// changed is closed and replaced when the rules change.
	changed chan struct{}
	connections   map[*relayConnection]struct{}
	bytesForwarded  int64
}

// relayConnection is one connection from a source and its counterpart to the target.
type relayConnection struct {
	source netip.Addr
	sourceConn   net.Conn
	targetConn    net.Conn
}

func (l *relayConnection) close() {
	_ = l.sourceConn.Close()
	_ = l.targetConn.Close()
}

// NewRelay starts to pass connections on; it fails when the listener cannot be opened.
func NewRelay(cfg RelayConfig) (*Relay, error) {
	listener, err := cfg.Listen()
	if err != nil {
		return nil, err
	}
	r := &Relay{
		cfg:      cfg,
		listener: listener,
		rules:    make(map[netip.Addr]RelayRule),
		changed:  make(chan struct{}),
		connections:    make(map[*relayConnection]struct{}),
	}
	r.wg.Go(r.accept)
	return r, nil
}

// SetRules replaces all rules; connections that a rule cuts are closed at once.
func (r *Relay) SetRules(rules []RelayRule) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rules = make(map[netip.Addr]RelayRule)
	for _, rule := range rules {
		r.rules[rule.Source.Unmap()] = rule
	}
	close(r.changed)
	r.changed = make(chan struct{})
	for link := range r.connections {
		if r.ruleFor(link.source).Cut {
			link.close()
		}
	}
}

// BytesForwarded returns the bytes passed on both ways since the start.
func (r *Relay) BytesForwarded() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bytesForwarded
}

// Close ends every connection and waits until the relay's goroutines have ended.
func (r *Relay) Close() error {
	r.mu.Lock()
	r.closed = true
	err := r.listener.Close()
	for link := range r.connections {
		link.close()
	}
	close(r.changed)
	r.changed = make(chan struct{})
	r.mu.Unlock()
	r.wg.Wait()
	return err
}

// ruleFor returns the source's rule, else the one for every source; the mutex is held.
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
	link := &relayConnection{source: source, sourceConn: sourceConn, targetConn: targetConn}
	defer link.close()
	if !r.add(link) {
		return
	}
	defer r.remove(link)
	r.forward(link)
}

// add reports false when the relay is closed or the source was cut while the target was dialled.
func (r *Relay) add(link *relayConnection) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.ruleFor(link.source).Cut {
		return false
	}
	r.connections[link] = struct{}{}
	return true
}

func (r *Relay) remove(link *relayConnection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.connections, link)
}

func sourceAddr(conn net.Conn) netip.Addr {
	addr, err := netip.ParseAddrPort(conn.RemoteAddr().String())
	if err != nil {
		return netip.Addr{}
	}
	return addr.Addr().Unmap()
}
