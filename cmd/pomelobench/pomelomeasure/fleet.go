package pomelomeasure

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloconfig"
	"github.com/pomelorelay/pomelorelay/pomelofake"
	"github.com/pomelorelay/pomelorelay/pomelonode"
	"github.com/pomelorelay/pomelorelay/pomelostore"
)

// FleetConfig configures a small fleet in one process on one IP address, with one plain service.
type FleetConfig struct {
	// Address is the IP address of all listeners; their ports are numbered from FirstPort.
	Address   netip.Addr
	FirstPort uint16
	Routers   int
	// Plain configures the stand-in of the service.
	Plain pomelofake.PlainConfig
	// EditNodeConfig, if not nil, changes each router's configuration before the router is created.
	EditNodeConfig func(*pomelonode.Config)
}

const (
	fleetToken   = "latency-token"
	fleetService = "status"
	readyTimeout = 20 * time.Second
)

// Fleet is a fleet of routers that communicate over TCP, with stand-ins of service, store and host list.
type Fleet struct {
	cfg         FleetConfig
	nextPort    uint16
	closers     []io.Closer
	serviceAddr netip.AddrPort
	storeAddr   netip.AddrPort
	callerURLs  []string
	nodes       []*pomelonode.Node
}

// NewFleet starts a fleet and waits until its routers are ready; it fails when a component cannot be started, or with CodeNotReady
// after 20 s.
func NewFleet(cfg FleetConfig) (*Fleet, error) {
	f := &Fleet{cfg: cfg, nextPort: cfg.FirstPort}
	err := f.start()
	if err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start() error {
	f.serviceAddr, f.storeAddr = f.nextAddr(), f.nextAddr()
	store := pomelofake.NewStore(pomelofake.StoreConfig{})
	f.closers = append(f.closers, store)
	hosts := pomelofake.NewHostList(pomelofake.HostListConfig{})
	platform := http.NewServeMux()
	platform.Handle("/v1/hosts", hosts)
	platform.Handle("/", store)
	if err := f.serve(f.serviceAddr, pomelofake.NewPlainService(f.cfg.Plain)); err != nil {
		return err
	}
	if err := f.serve(f.storeAddr, platform); err != nil {
		return err
	}
	if err := f.publish(); err != nil {
		return err
	}
	entries := []pomelorelay.Host{{Name: fleetService, Kind: pomelorelay.HostUpstream, Addr: f.serviceAddr, Domain: "recife-a", Region: "recife"}}
	for i := range f.cfg.Routers {
		s, err := f.startRouter(i)
		if err != nil {
			return err
		}
		entries = append(entries, pomelorelay.Host{Name: string(s.Host.Name), Kind: pomelorelay.HostRouter, Addr: s.Listen.Control, Domain: "recife-a", Region: "recife"})
	}
	hosts.Set(entries)
	return f.awaitReady()
}

func (f *Fleet) nextAddr() netip.AddrPort {
	f.nextPort++
	return netip.AddrPortFrom(f.cfg.Address, f.nextPort-1)
}

func (f *Fleet) serve(addr netip.AddrPort, h http.Handler) error {
	host, err := pomelofake.NewHost(pomelofake.HostConfig{Listen: pomelofake.ListenTCP(addr.String()), Handler: h})
	if err != nil {
		return err
	}
	f.closers = append(f.closers, host)
	return nil
}

func (f *Fleet) publish() error {
	client, err := pomelostore.New(pomelostore.Config{Addresses: []netip.AddrPort{f.storeAddr}, CallsPerSecond: 1000})
	if err != nil {
		return err
	}
	_, err = pomeloconfig.NewPublisher(pomeloconfig.PublisherConfig{Store: client}).Publish(context.Background(), f.configuration(), pomeloconfig.Change{Author: "pomelobench", Why: "latency"})
	return err
}

func (f *Fleet) configuration() pomeloconfig.Configuration {
	return pomeloconfig.Configuration{
		Teams:    []pomeloconfig.Team{{Name: "jewellers"}},
		Regions:  []pomeloconfig.Region{{Name: "recife", FailureDomains: []pomelorelay.DomainID{"recife-a"}}},
		Services: []pomeloconfig.Service{{Name: fleetService, Team: "jewellers", Kind: pomeloconfig.ServicePlain}},
		Accounts: []pomeloconfig.Account{{Name: "workshop", Team: "jewellers", Share: 1, TokenHashes: []string{pomeloconfig.HashToken(fleetToken)}}},
		Upstreams: []pomeloconfig.Upstream{{
			Name: fleetService, Service: fleetService, Address: f.serviceAddr, FailureDomain: "recife-a", Region: "recife", MinSlots: 1, MaxSlots: pomelorelay.Slots(f.cfg.Plain.Slots),
		}},
	}
}

func (f *Fleet) startRouter(i int) (pomeloconfig.Settings, error) {
	caller, control, operator := f.nextAddr(), f.nextAddr(), f.nextAddr()
	s, err := pomeloconfig.ParseSettings(fmt.Appendf(nil, `
Host: {Name: router-%d, FailureDomain: recife-a, Region: recife}
Listen: {Caller: "%s", Control: "%s", Operator: "%s"}
Store: {Addresses: ["%s"]}
TLS: {Insecure: true}
`, i, caller, control, operator, f.storeAddr))
	if err != nil {
		return s, err
	}
	cfg := pomelonode.Config{Settings: s}
	if f.cfg.EditNodeConfig != nil {
		f.cfg.EditNodeConfig(&cfg)
	}
	node, err := pomelonode.New(cfg)
	if err != nil {
		return s, err
	}
	f.closers = append(f.closers, node)
	f.nodes = append(f.nodes, node)
	f.callerURLs = append(f.callerURLs, "http://"+caller.String()+"/"+fleetService+"/jobs")
	return s, node.Listen()
}

func (f *Fleet) awaitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		ready := true
		for _, n := range f.nodes {
			ready = ready && n.Ready()
		}
		if ready {
			return nil
		}
	}
	return pomelorelay.NewError(pomelorelay.CodeNotReady, "fleet", nil)
}

// RoutedTarget returns a target that reaches the service through the routers in turn.
func (f *Fleet) RoutedTarget(name string) Target { return Target{Name: name, URLs: f.callerURLs} }

// DirectTarget returns a target that reaches the service without a router.
func (f *Fleet) DirectTarget(name string) Target {
	return Target{Name: name, URLs: []string{"http://" + f.serviceAddr.String() + "/jobs"}}
}

// Token returns the bearer token of the fleet's only client account.
func (f *Fleet) Token() string { return fleetToken }

// Close stops the routers and the stand-ins; its error is always nil.
func (f *Fleet) Close() error {
	for i := len(f.closers) - 1; i >= 0; i-- {
		_ = f.closers[i].Close()
	}
	return nil
}
