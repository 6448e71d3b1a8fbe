package pomelonode_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloconfig"
	"github.com/pomelorelay/pomelorelay/pomelofake"
	"github.com/pomelorelay/pomelorelay/pomelonode"
	"github.com/pomelorelay/pomelorelay/pomelostore"
)

const (
	waitLimit = 20 * time.Second
	token     = "workshop-token"
	model     = "estimator"
	// slotsPerUpstream is the number of requests that each upstream runs at once.
	slotsPerUpstream = 8
	// crashMarker makes an engine crash if a request contains it.
	crashMarker = "unsettable stone"
)

// domains are the failure domains of a fleet; each has an upstream of every service.
var domains = []pomelorelay.DomainID{"recife-a", "recife-b"}

// fleet is a small fleet in one process, with a fake store, host list and upstreams on loopback.
type fleet struct {
	t         *testing.T
	store     *pomelofake.Store
	hosts     *pomelofake.HostList
	network   *pomelofake.Network
	engines   map[pomelorelay.DomainID]*pomelofake.Engine
	bookings  map[pomelorelay.DomainID]*pomelofake.PlainService
	statuses  map[pomelorelay.DomainID]*pomelofake.PlainService
	storeAddr netip.AddrPort
	hostsAddr netip.AddrPort
	routers   []*router
	publisher *pomeloconfig.Publisher
	content   pomeloconfig.Configuration
	crashes   atomic.Int64
}

type router struct {
	node     *pomelonode.Node
	settings pomeloconfig.Settings
	store    *partitionableStore
	hosts    *partitionableHosts
	mesh     pomelorelay.Mesh
	log      *eventLog
	// logger, if set, is used by the router instead of log.
	logger   pomelorelay.Logger
	url      string
	operator string
}

// partitionableStore can make the store unreachable for one router.
type partitionableStore struct {
	pomelorelay.Store
	unreachable atomic.Bool
}

var errUnreachable = pomelorelay.NewError(pomelorelay.CodeStoreUnavailable, "unreachable", nil)

func (s *partitionableStore) Get(ctx context.Context, key pomelorelay.StoreKey) (pomelorelay.Record, error) {
	if s.unreachable.Load() {
		return pomelorelay.Record{}, errUnreachable
	}
	return s.Store.Get(ctx, key)
}

func (s *partitionableStore) CompareAndSwap(ctx context.Context, key pomelorelay.StoreKey, value []byte, old pomelorelay.Revision, lease pomelorelay.LeaseID) (pomelorelay.Revision, error) {
	if s.unreachable.Load() {
		return 0, errUnreachable
	}
	return s.Store.CompareAndSwap(ctx, key, value, old, lease)
}

func (s *partitionableStore) Watch(ctx context.Context, key pomelorelay.StoreKey, after pomelorelay.Revision) (pomelorelay.Record, error) {
	if s.unreachable.Load() {
		return pomelorelay.Record{}, errUnreachable
	}
	record, err := s.Store.Watch(ctx, key, after)
	if s.unreachable.Load() {
		return pomelorelay.Record{}, errUnreachable
	}
	return record, err
}

// partitionableHosts can make the host list unreachable for one router.
type partitionableHosts struct {
	pomelorelay.HostList
	unreachable atomic.Bool
}

func (h *partitionableHosts) Hosts(ctx context.Context) ([]pomelorelay.Host, error) {
	if h.unreachable.Load() {
		return nil, errUnreachable
	}
	return h.HostList.Hosts(ctx)
}

// newFleet starts routers, assigned round robin to the failure domains, on an in-memory network.
func newFleet(t *testing.T, routers int) *fleet {
	f := &fleet{
		t:        t,
		store:    pomelofake.NewStore(pomelofake.StoreConfig{}),
		hosts:    pomelofake.NewHostList(pomelofake.HostListConfig{}),
		network:  pomelofake.NewNetwork(),
		engines:  make(map[pomelorelay.DomainID]*pomelofake.Engine),
		bookings: make(map[pomelorelay.DomainID]*pomelofake.PlainService),
		statuses: make(map[pomelorelay.DomainID]*pomelofake.PlainService),
	}
	f.storeAddr = f.serve(f.store)
	f.hostsAddr = f.serve(f.hosts)
	f.content = f.configuration()
	f.publish("first")
	for i := range routers {
		s := f.settings(i)
		f.routers = append(f.routers, &router{settings: s, log: &eventLog{}, url: "http://" + s.Listen.Caller.String(), operator: "http://" + s.Listen.Operator.String()})
	}
	f.publishHosts()
	for i := range f.routers {
		f.start(i)
	}
	return f
}

// publishHosts sets the host list to the routers and the configured upstreams.
func (f *fleet) publishHosts() {
	var hosts []pomelorelay.Host
	for _, r := range f.routers {
		s := r.settings
		hosts = append(hosts, pomelorelay.Host{Name: string(s.Host.Name), Kind: pomelorelay.HostRouter, Addr: s.Listen.Control, Domain: s.Host.FailureDomain, Region: s.Host.Region})
	}
	for _, u := range f.content.Upstreams {
		hosts = append(hosts, pomelorelay.Host{Name: string(u.Name), Kind: pomelorelay.HostUpstream, Addr: u.Address, Domain: u.FailureDomain, Region: u.Region})
	}
	f.hosts.Set(hosts)
}

func (f *fleet) serve(h http.Handler) netip.AddrPort {
	s := httptest.NewServer(h)
	f.t.Cleanup(s.CloseClientConnections)
	f.t.Cleanup(func() { go s.Close() })
	return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
}

func (f *fleet) configuration() pomeloconfig.Configuration {
	c := pomeloconfig.Configuration{
		Teams:   []pomeloconfig.Team{{Name: "jewellers"}},
		Regions: []pomeloconfig.Region{{Name: "recife", FailureDomains: domains}},
		Services: []pomeloconfig.Service{
			{Name: "assistant", Team: "jewellers", Kind: pomeloconfig.ServiceModel},
			{Name: "booking", Team: "jewellers", Kind: pomeloconfig.ServicePlain, NonIdempotent: true},
			{Name: "status", Team: "jewellers", Kind: pomeloconfig.ServicePlain},
		},
		Accounts: []pomeloconfig.Account{
			{Name: "workshop", Team: "jewellers", Share: 1, TokenHashes: []string{pomeloconfig.HashToken(token)}},
		},
	}
	for _, d := range domains {
		engine, engineAddr := f.startEngine()
		f.engines[d] = engine
		f.bookings[d] = pomelofake.NewPlainService(pomelofake.PlainConfig{})
		f.statuses[d] = pomelofake.NewPlainService(pomelofake.PlainConfig{})
		c.Upstreams = append(c.Upstreams,
			f.upstream("engine", "assistant", d, engineAddr),
			f.upstream("booking", "booking", d, f.serve(f.bookings[d])),
			f.upstream("status", "status", d, f.serve(f.statuses[d])))
	}
	return c
}

// startEngine starts an engine whose host crashes on a request that contains crashMarker.
func (f *fleet) startEngine() (*pomelofake.Engine, netip.AddrPort) {
	addr := pomelofake.FreeAddr().String()
	var host *pomelofake.Host
	engine := pomelofake.NewEngine(pomelofake.EngineConfig{
		Model:       model,
		CrashMarker: crashMarker,
		Crash: func(downFor time.Duration) {
			f.crashes.Add(1)
			host.Crash(downFor)
		},
	})
	host, err := pomelofake.NewHost(pomelofake.HostConfig{Listen: pomelofake.ListenTCP(addr), Handler: engine})
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() {
		host.Close()
		engine.Close()
	})
	return engine, netip.MustParseAddrPort(addr)
}

func (f *fleet) upstream(kind string, service pomelorelay.ServiceID, domain pomelorelay.DomainID, addr netip.AddrPort) pomeloconfig.Upstream {
	u := pomeloconfig.Upstream{
		Name:          pomelorelay.UpstreamID(kind + "-" + string(domain)),
		Service:       service,
		Address:       addr,
		FailureDomain: domain,
		Region:        "recife",
		MinSlots:      1,
		MaxSlots:      slotsPerUpstream,
	}
	if kind == "engine" {
		u.Model = model
	}
	return u
}

// publish publishes f.content as the fleet's new configuration.
func (f *fleet) publish(why string) pomeloconfig.Root {
	f.t.Helper()
	if f.publisher == nil {
		client, err := pomelostore.New(pomelostore.Config{Addresses: []netip.AddrPort{f.storeAddr}, CallsPerSecond: 1000})
		if err != nil {
			f.t.Fatal(err)
		}
		f.publisher = pomeloconfig.NewPublisher(pomeloconfig.PublisherConfig{Store: client})
	}
	root, err := f.publisher.Publish(context.Background(), f.content, pomeloconfig.Change{Author: "test", Why: why})
	if err != nil {
		f.t.Fatal(err)
	}
	return root
}

func (f *fleet) settings(i int) pomeloconfig.Settings {
	yaml := fmt.Sprintf(`
Host: {Name: router-%d, FailureDomain: %s, Region: recife}
Listen: {Caller: "%s", Control: "%s", Operator: "%s"}
Store: {Addresses: ["%s"]}
HostList: {Addresses: ["%s"]}
TLS: {Insecure: true}
`, i, domains[i%len(domains)], pomelofake.FreeAddr(), pomelofake.FreeAddr(), pomelofake.FreeAddr(), f.storeAddr, f.hostsAddr)
	s, err := pomeloconfig.ParseSettings([]byte(yaml))
	if err != nil {
		f.t.Fatal(err)
	}
	return s
}

func (f *fleet) start(i int) {
	r := f.routers[i]
	s := r.settings
	client, err := pomelostore.New(pomelostore.Config{Addresses: s.Store.Addresses, CallsPerSecond: 1000})
	if err != nil {
		f.t.Fatal(err)
	}
	hosts, err := pomelostore.New(pomelostore.Config{Addresses: s.HostList.Addresses, CallsPerSecond: 1000})
	if err != nil {
		f.t.Fatal(err)
	}
	r.store = &partitionableStore{Store: client}
	r.hosts = &partitionableHosts{HostList: hosts}
	incarnation := pomelorelay.Incarnation(time.Now().UnixNano())
	self := pomelorelay.Peer{Node: s.Host.Name, Addr: s.Listen.Control, Domain: s.Host.FailureDomain, Region: s.Host.Region}
	if f.network != nil {
		r.mesh = f.network.Join(self, incarnation)
	}
	node, err := pomelonode.New(pomelonode.Config{Settings: s, Store: r.store, HostList: r.hosts, Mesh: r.mesh, Incarnation: incarnation, Logger: r.eventLogger()})
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { node.Close() })
	if err := node.Listen(); err != nil {
		f.t.Fatal(err)
	}
	r.node = node
}

func (r *router) eventLogger() pomelorelay.Logger {
	if r.logger != nil {
		return r.logger
	}
	return r.log
}

func (f *fleet) awaitReady() {
	f.t.Helper()
	await(f.t, "every router is ready", func() bool {
		for _, r := range f.routers {
			if !r.node.Ready() {
				return false
			}
		}
		return true
	})
}

// await polls until the condition holds and fails the test after waitLimit.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("not within %v: %s", waitLimit, what)
}

type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

func (r *router) call(method, path, key, body string) answer {
	req, err := http.NewRequest(method, r.url+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+token)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, string(text), err}
}

// routerStatus is the part of a router's /status that the tests read.
type routerStatus struct {
	Generation pomelorelay.Generation
	Members    []struct{ Node pomelorelay.NodeID }
	Upstreams  []struct{ Upstream pomelorelay.UpstreamID }
}

// readStatus returns the router's /status, or an empty one if it cannot be read.
func (r *router) readStatus() routerStatus {
	var s routerStatus
	resp, err := http.Get(r.operator + "/status")
	if err != nil {
		return s
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		return routerStatus{}
	}
	return s
}

// concurrently runs n calls at the same time and waits for all of them.
func (f *fleet) concurrently(n int, call func(i int)) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { call(i) })
	}
	wg.Wait()
}

// generation returns the configuration generation that the router reports as active.
func (r *router) generation() pomelorelay.Generation { return r.readStatus().Generation }
