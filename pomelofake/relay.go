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
	links   map[*relayLink]struct{}
	passed  int64
}

// relayLink is one connection from a source and its counterpart to the target.
type relayLink struct {
	source netip.Addr
	near   net.Conn
	far    net.Conn
}

func (l *relayLink) close() {
	_ = l.near.Close()
	_ = l.far.Close()
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
		links:    make(map[*relayLink]struct{}),
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
	for link := range r.links {
		if r.rule(link.source).Cut {
			link.close()
		}
	}
}

// Passed returns the bytes passed on both ways since the start.
func (r *Relay) Passed() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.passed
}

// Close ends every connection and waits until the relay's goroutines have ended.
func (r *Relay) Close() error {
	r.mu.Lock()
	r.closed = true
	err := r.listener.Close()
	for link := range r.links {
		link.close()
	}
	close(r.changed)
	r.changed = make(chan struct{})
	r.mu.Unlock()
	r.wg.Wait()
	return err
}

// rule returns the source's rule, else the one for every source; the mutex is held.
func (r *Relay) rule(source netip.Addr) RelayRule {
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

func (r *Relay) connect(near net.Conn) {
	source := sourceOf(near)
	r.mu.Lock()
	cut := r.rule(source).Cut
	r.mu.Unlock()
	if cut {
		_ = near.Close()
		return
	}
	far, err := r.cfg.Dial()
	if err != nil {
		_ = near.Close()
		return
	}
	link := &relayLink{source: source, near: near, far: far}
	defer link.close()
	if !r.add(link) {
		return
	}
	defer r.remove(link)
	r.pump(link)
}

// add reports false when the relay is closed or the source was cut while the target was dialled.
func (r *Relay) add(link *relayLink) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.rule(link.source).Cut {
		return false
	}
	r.links[link] = struct{}{}
	return true
}

func (r *Relay) remove(link *relayLink) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, link)
}

func sourceOf(conn net.Conn) netip.Addr {
	addr, err := netip.ParseAddrPort(conn.RemoteAddr().String())
	if err != nil {
		return netip.Addr{}
	}
	return addr.Addr().Unmap()
}
