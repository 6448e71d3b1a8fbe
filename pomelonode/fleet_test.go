package pomelonode_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
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
)

// fleet is a small fleet in one process, with stand-ins on loopback.
type fleet struct {
	t         *testing.T
	store     *pomelofake.Store
	hosts     *pomelofake.HostList
	engine    *pomelofake.Engine
	plain     *pomelofake.Plain
	storeAddr netip.AddrPort
	hostsAddr netip.AddrPort
	routers   []*router
	publisher *pomeloconfig.Publisher
}

type router struct {
	node     *pomelonode.Node
	settings pomeloconfig.Settings
	url      string
	operator string
}

func newFleet(t *testing.T, routers int) *fleet {
	f := &fleet{
		t:      t,
		store:  pomelofake.NewStore(pomelofake.StoreConfig{}),
		hosts:  pomelofake.NewHostList(pomelofake.HostListConfig{}),
		engine: pomelofake.NewEngine(pomelofake.EngineConfig{Model: model}),
		plain:  pomelofake.NewPlain(pomelofake.PlainConfig{}),
	}
	f.storeAddr = f.serve(f.store)
	f.hostsAddr = f.serve(f.hosts)
	c := f.configuration()
	f.publish(c, "first")
	var hosts []pomelorelay.Host
	for i := range routers {
		s := f.settings(i)
		hosts = append(hosts, pomelorelay.Host{Name: string(s.Host.Name), Kind: pomelorelay.HostRouter, Addr: s.Listen.Control, Domain: s.Host.FailureDomain, Region: s.Host.Region})
		f.routers = append(f.routers, &router{settings: s, url: "http://" + s.Listen.Caller.String(), operator: "http://" + s.Listen.Operator.String()})
	}
	for _, u := range c.Upstreams {
		hosts = append(hosts, pomelorelay.Host{Name: string(u.Name), Kind: pomelorelay.HostUpstream, Addr: u.Address, Domain: u.FailureDomain, Region: u.Region})
	}
	f.hosts.Set(hosts)
	for i := range f.routers {
		f.start(i)
	}
	return f
}

func (f *fleet) serve(h http.Handler) netip.AddrPort {
	s := httptest.NewServer(h)
	f.t.Cleanup(s.CloseClientConnections)
	f.t.Cleanup(func() { go s.Close() })
	return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
}

func (f *fleet) configuration() pomeloconfig.Configuration {
	return pomeloconfig.Configuration{
		Teams:   []pomeloconfig.Team{{Name: "jewellers"}},
		Regions: []pomeloconfig.Region{{Name: "recife", FailureDomains: []pomelorelay.DomainID{"recife-a"}}},
		Services: []pomeloconfig.Service{
			{Name: "assistant", Team: "jewellers", Kind: pomeloconfig.ServiceModel},
			{Name: "booking", Team: "jewellers", Kind: pomeloconfig.ServicePlain, NonIdempotent: true},
		},
		Upstreams: []pomeloconfig.Upstream{
			{Name: "engine-1", Service: "assistant", Model: model, Address: f.serve(f.engine), FailureDomain: "recife-a", Region: "recife", MinSlots: 1, MaxSlots: 8},
			{Name: "booking-1", Service: "booking", Address: f.serve(f.plain), FailureDomain: "recife-a", Region: "recife", MinSlots: 1, MaxSlots: 8},
		},
		Accounts: []pomeloconfig.Account{
			{Name: "workshop", Team: "jewellers", Share: 1, TokenHashes: []string{pomeloconfig.HashToken(token)}},
		},
	}
}

func (f *fleet) publish(c pomeloconfig.Configuration, why string) pomeloconfig.Root {
	f.t.Helper()
	if f.publisher == nil {
		client, err := pomelostore.New(pomelostore.Config{Addresses: []netip.AddrPort{f.storeAddr}, CallsPerSecond: 1000})
		if err != nil {
			f.t.Fatal(err)
		}
		f.publisher = pomeloconfig.NewPublisher(pomeloconfig.PublisherConfig{Store: client})
	}
	root, err := f.publisher.Publish(context.Background(), c, pomeloconfig.Change{Author: "test", Why: why})
	if err != nil {
		f.t.Fatal(err)
	}
	return root
}

func (f *fleet) settings(i int) pomeloconfig.Settings {
	yaml := fmt.Sprintf(`
Host: {Name: router-%d, FailureDomain: recife-a, Region: recife}
Listen: {Caller: "%s", Control: "%s", Operator: "%s"}
Store: {Addresses: ["%s"]}
HostList: {Addresses: ["%s"]}
TLS: {Insecure: true}
`, i, f.free(), f.free(), f.free(), f.storeAddr, f.hostsAddr)
	s, err := pomeloconfig.ParseSettings([]byte(yaml))
	if err != nil {
		f.t.Fatal(err)
	}
	return s
}

// free returns an address that nothing listens on.
func (f *fleet) free() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func (f *fleet) start(i int) {
	r := f.routers[i]
	node, err := pomelonode.New(pomelonode.Config{Settings: r.settings})
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { node.Close() })
	if err := node.Listen(); err != nil {
		f.t.Fatal(err)
	}
	r.node = node
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

// await polls until the condition holds; only a run that never gets there fails.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
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
