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

// FleetConfig describes a small fleet in one process on one address, with one plain service of its own.
type FleetConfig struct {
	// Address is the IP number that everything listens on, from Port upwards.
	Address netip.Addr
	Port    uint16
	Routers int
	// Plain is the service's stand-in.
	Plain pomelofake.PlainConfig
	// Wrap, when it is set, changes what a router's Config holds.
	Wrap func(*pomelonode.Config)
}

const (
	fleetToken   = "latency-token"
	fleetService = "status"
	readyWithin  = 20 * time.Second
)

// Fleet is a small fleet of real routers on real links.
type Fleet struct {
	cfg     FleetConfig
	port    uint16
	closers []io.Closer
	service netip.AddrPort
	store   netip.AddrPort
	callers []string
	nodes   []*pomelonode.Node
}

// NewFleet starts a fleet and waits until its routers are ready; it fails as pomelonode.New does, or with CodeNotReady.
func NewFleet(cfg FleetConfig) (*Fleet, error) {
	f := &Fleet{cfg: cfg, port: cfg.Port}
	err := f.start()
	if err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start() error {
	f.service, f.store = f.next(), f.next()
	store := pomelofake.NewStore(pomelofake.StoreConfig{})
	f.closers = append(f.closers, store)
	hosts := pomelofake.NewHostList(pomelofake.HostListConfig{})
	platform := http.NewServeMux()
	platform.Handle("/v1/hosts", hosts)
	platform.Handle("/", store)
	if err := f.host(f.service, pomelofake.NewPlainService(f.cfg.Plain)); err != nil {
		return err
	}
	if err := f.host(f.store, platform); err != nil {
		return err
	}
	if err := f.publish(); err != nil {
		return err
	}
	listed := []pomelorelay.Host{{Name: fleetService, Kind: pomelorelay.HostUpstream, Addr: f.service, Domain: "recife-a", Region: "recife"}}
	for i := range f.cfg.Routers {
		s, err := f.startRouter(i)
		if err != nil {
			return err
		}
		listed = append(listed, pomelorelay.Host{Name: string(s.Host.Name), Kind: pomelorelay.HostRouter, Addr: s.Listen.Control, Domain: "recife-a", Region: "recife"})
	}
	hosts.Set(listed)
	return f.awaitReady()
}

func (f *Fleet) next() netip.AddrPort {
	f.port++
	return netip.AddrPortFrom(f.cfg.Address, f.port-1)
}

func (f *Fleet) host(addr netip.AddrPort, h http.Handler) error {
	host, err := pomelofake.NewHost(pomelofake.HostConfig{Listen: pomelofake.ListenTCP(addr.String()), Handler: h})
	if err != nil {
		return err
	}
	f.closers = append(f.closers, host)
	return nil
}

func (f *Fleet) publish() error {
	client, err := pomelostore.New(pomelostore.Config{Addresses: []netip.AddrPort{f.store}, CallsPerSecond: 1000})
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
			Name: fleetService, Service: fleetService, Address: f.service, FailureDomain: "recife-a", Region: "recife", MinSlots: 1, MaxSlots: pomelorelay.Slots(f.cfg.Plain.Slots),
		}},
	}
}

func (f *Fleet) startRouter(i int) (pomeloconfig.Settings, error) {
	caller, control, operator := f.next(), f.next(), f.next()
	s, err := pomeloconfig.ParseSettings(fmt.Appendf(nil, `
Host: {Name: router-%d, FailureDomain: recife-a, Region: recife}
Listen: {Caller: "%s", Control: "%s", Operator: "%s"}
Store: {Addresses: ["%s"]}
TLS: {Insecure: true}
`, i, caller, control, operator, f.store))
	if err != nil {
		return s, err
	}
	cfg := pomelonode.Config{Settings: s}
	if f.cfg.Wrap != nil {
		f.cfg.Wrap(&cfg)
	}
	node, err := pomelonode.New(cfg)
	if err != nil {
		return s, err
	}
	f.closers = append(f.closers, node)
	f.nodes = append(f.nodes, node)
	f.callers = append(f.callers, "http://"+caller.String()+"/"+fleetService+"/jobs")
	return s, node.Listen()
}

func (f *Fleet) awaitReady() error {
	for end := time.Now().Add(readyWithin); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		ready := true
		for _, n := range f.nodes {
			ready = ready && n.Ready()
		}
		if ready {
			return nil
		}
	}
	return pomelorelay.NewError(pomelorelay.CodeNotReady, "the fleet", nil)
}

// Routed returns the target that goes through the fleet's routers, and Direct the one that goes to its service.
func (f *Fleet) Routed(name string) Target { return Target{Name: name, URLs: f.callers} }

// Direct returns the target without routers.
func (f *Fleet) Direct(name string) Target {
	return Target{Name: name, URLs: []string{"http://" + f.service.String() + "/jobs"}}
}

// Token returns the bearer token that the fleet's configuration knows.
func (f *Fleet) Token() string { return fleetToken }

// Close ends the routers and their stand-ins.
func (f *Fleet) Close() error {
	for i := len(f.closers) - 1; i >= 0; i-- {
		_ = f.closers[i].Close()
	}
	return nil
}
