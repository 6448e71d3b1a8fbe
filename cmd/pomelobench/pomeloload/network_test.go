package pomeloload_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/cmd/pomelobench/pomeloload"
	"github.com/pomelorelay/pomelorelay/pomelofake"
)

// testNetwork is an in-memory network with stand-ins, so that loads run on synctest's virtual time.
type testNetwork struct {
	mu        sync.Mutex
	listeners map[string]*listener
	plain     *pomelofake.PlainService
	engine    *pomelofake.Engine
	hosts     *pomelofake.HostList
}

type listener struct {
	addr   string
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(netip.MustParseAddrPort(l.addr)) }

func (network *testNetwork) listen(addr string) func() (net.Listener, error) {
	return func() (net.Listener, error) {
		network.mu.Lock()
		defer network.mu.Unlock()
		network.listeners[addr] = &listener{addr: addr, conns: make(chan net.Conn), closed: make(chan struct{})}
		return network.listeners[addr], nil
	}
}

func (network *testNetwork) dial(ctx context.Context, protocol, addr string) (net.Conn, error) {
	network.mu.Lock()
	l := network.listeners[addr]
	network.mu.Unlock()
	refused := &net.OpError{Op: "dial", Net: protocol, Err: errors.New("connection refused")}
	if l == nil {
		return nil, refused
	}
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.closed:
		return nil, refused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (network *testNetwork) serve(t *testing.T, addr string, handler http.Handler) *pomelofake.Host {
	t.Helper()
	host, err := pomelofake.NewHost(pomelofake.HostConfig{Listen: network.listen(addr), Handler: handler})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = host.Close() })
	return host
}

const (
	plainAddr  = "127.0.1.1:80"
	engineAddr = "127.0.1.2:80"
	adminAddr  = "127.0.1.3:80"
)

// newTestNetwork returns a network with a plain service, an engine, a host list and their admin handler.
func newTestNetwork(t *testing.T) *testNetwork {
	t.Helper()
	network := &testNetwork{
		listeners: make(map[string]*listener),
		plain:     pomelofake.NewPlainService(pomelofake.PlainConfig{Slots: 4}),
		engine:    pomelofake.NewEngine(pomelofake.EngineConfig{Slots: 4}),
		hosts:     pomelofake.NewHostList(pomelofake.HostListConfig{Hosts: []pomelorelay.Host{{Name: "p1"}}}),
	}
	t.Cleanup(func() { _ = network.engine.Close() })
	network.serve(t, plainAddr, network.plain)
	network.serve(t, engineAddr, network.engine)
	network.serve(t, adminAddr, pomelofake.NewAdmin(pomelofake.AdminConfig{
		Engines:       map[pomelorelay.UpstreamID]*pomelofake.Engine{"e1": network.engine},
		PlainServices: map[pomelorelay.UpstreamID]*pomelofake.PlainService{"p1": network.plain},
		HostList:      network.hosts,
	}))
	return network
}

// directPlan returns a plan in which two accounts load both stand-ins without a router.
func directPlan() pomeloload.Plan {
	admin := netip.MustParseAddrPort(adminAddr)
	loads := []pomeloload.Load{
		{Service: "booking", Callers: 4, SlotTime: 40 * time.Millisecond},
		{Service: "assistant", Callers: 4, PromptTokens: 20, MaxTokens: 30, Stream: true},
	}
	return pomeloload.Plan{
		Seed: 1, Duration: 10 * time.Second, Timeout: 5 * time.Second, Direct: true, HostListAdmin: admin,
		Services: []pomeloload.Service{
			{Name: "booking", Kind: pomeloload.Plain, Path: "/bookings", AtMostOnce: true, GapBound: 10},
			{Name: "assistant", Kind: pomeloload.ModelEngine, InputCost: 0.25, OutputCost: 1, GapBound: 1e6},
		},
		Upstreams: []pomeloload.Upstream{
			{Name: "p1", Service: "booking", Address: netip.MustParseAddrPort(plainAddr), Admin: admin, Slots: 4},
			{Name: "e1", Service: "assistant", Address: netip.MustParseAddrPort(engineAddr), Admin: admin, Slots: 4},
		},
		Accounts: []pomeloload.Account{
			{Name: "recife", Weight: 1, Loads: loads},
			{Name: "olinda", Weight: 1, Loads: loads},
		},
	}
}

func runPlan(t *testing.T, network *testNetwork, p pomeloload.Plan) pomeloload.Report {
	t.Helper()
	report, err := pomeloload.Run(t.Context(), p, pomeloload.Options{Dial: network.dial})
	if err != nil {
		t.Fatal(err)
	}
	// net/http closes its connections with a delay, which virtual time has to cover before the test ends.
	time.Sleep(time.Second)
	return report
}
