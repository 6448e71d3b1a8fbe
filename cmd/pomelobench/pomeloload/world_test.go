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

// world is a network in memory with stand-ins at addresses, so that loads run on virtual time.
type world struct {
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

func (w *world) listen(addr string) func() (net.Listener, error) {
	return func() (net.Listener, error) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.listeners[addr] = &listener{addr: addr, conns: make(chan net.Conn), closed: make(chan struct{})}
		return w.listeners[addr], nil
	}
}

func (w *world) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	w.mu.Lock()
	l := w.listeners[addr]
	w.mu.Unlock()
	refused := &net.OpError{Op: "dial", Net: network, Err: errors.New("connection refused")}
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

func (w *world) serve(t *testing.T, addr string, handler http.Handler) *pomelofake.Host {
	t.Helper()
	host, err := pomelofake.NewHost(pomelofake.HostConfig{Listen: w.listen(addr), Handler: handler})
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

// newWorld starts a plain service, an engine, a host list and their admin handler.
func newWorld(t *testing.T) *world {
	t.Helper()
	w := &world{
		listeners: make(map[string]*listener),
		plain:     pomelofake.NewPlainService(pomelofake.PlainConfig{Slots: 4}),
		engine:    pomelofake.NewEngine(pomelofake.EngineConfig{Slots: 4}),
		hosts:     pomelofake.NewHostList(pomelofake.HostListConfig{Hosts: []pomelorelay.Host{{Name: "p1"}}}),
	}
	t.Cleanup(func() { _ = w.engine.Close() })
	w.serve(t, plainAddr, w.plain)
	w.serve(t, engineAddr, w.engine)
	w.serve(t, adminAddr, pomelofake.NewAdmin(pomelofake.AdminConfig{
		Engines:  map[pomelorelay.UpstreamID]*pomelofake.Engine{"e1": w.engine},
		Plains:   map[pomelorelay.UpstreamID]*pomelofake.PlainService{"p1": w.plain},
		HostList: w.hosts,
	}))
	return w
}

// directPlan loads both stand-ins by two accounts without a router.
func directPlan() pomeloload.Plan {
	admin := netip.MustParseAddrPort(adminAddr)
	loads := []pomeloload.Load{
		{Service: "booking", Callers: 4, SlotTime: 40 * time.Millisecond},
		{Service: "assistant", Callers: 4, Prompt: 20, MaxTokens: 30, Stream: true},
	}
	return pomeloload.Plan{
		Seed: 1, Duration: 10 * time.Second, Timeout: 5 * time.Second, Direct: true, HostAdmin: admin,
		Services: []pomeloload.Service{
			{Name: "booking", Kind: pomeloload.Plain, Path: "/bookings", Once: true, GapBound: 10},
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

func runPlan(t *testing.T, w *world, p pomeloload.Plan) pomeloload.Judgement {
	t.Helper()
	j, err := pomeloload.Run(t.Context(), p, pomeloload.Options{Dial: w.dial})
	if err != nil {
		t.Fatal(err)
	}
	// net/http lingers over connections that it closes itself.
	time.Sleep(time.Second)
	return j
}
