package main

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	tenantKey   = "k9m68asnmgkcuyj8pjbv"
	readyWithin = 20 * time.Second
	// settleTime is how long a case waits after the routers are ready.
	settleTime = 5 * time.Second
	// maxBodyBytes is the configured limit on the bodies of requests.
	maxBodyBytes = 4 << 20
)

// fleet is a small deployment: the platform's store, servers and router processes.
type fleet struct {
	rec     *record
	store   *store
	servers []*server
	routers []*router
	stop    chan struct{}

	closeOnce sync.Once
}

// started receives the deployment of the case, so that an interrupted case ends its processes.
var started atomic.Pointer[fleet]

// fleetConfig is what a case sets of its deployment.
type fleetConfig struct {
	repo, dir string
	routers   int
	memoryMB  int
	servers   []*server
	routes    []map[string]any
}

var zones = []string{"zone-a", "zone-b", "zone-c"}

// route returns a route of the operator's configuration for requests that may run at most once.
func route(prefix, service string, target, timeout time.Duration) map[string]any {
	return map[string]any{
		"name": prefix, "hostname": "files.example", "prefix": prefix, "type": "non_idempotent", "timeout_ms": timeout.Milliseconds(),
		"target_latency_ms": target.Milliseconds(), "priority": 2, "service": service, "max_attempts": 1, "public": false,
	}
}

// newFleet starts a deployment and waits until all of its routers are ready and know the servers.
func newFleet(cfg fleetConfig, rec *record) (*fleet, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, store: newStore(l), stop: make(chan struct{})}
	started.Store(f)
	var services []map[string]any
	known := make(map[string]bool)
	for _, s := range cfg.servers {
		sl, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return f, err
		}
		s.start(sl, f.store)
		f.servers = append(f.servers, s)
		if !known[s.service] {
			known[s.service] = true
			services = append(services, map[string]any{"name": s.service, "max_connections": 110})
		}
	}
	f.store.put("op/config", map[string]any{
		"version": 3, "route_list": cfg.routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tokens_per_s": 100000},
		"tenants": []map[string]any{{"name": "harbour", "api_keys": []string{tenantKey}}},
	})
	for i := range cfg.routers {
		r, err := newRouter(i, cfg, rec)
		if err != nil {
			return f, err
		}
		f.routers = append(f.routers, r)
	}
	var seeds []string
	for _, r := range f.routers {
		seeds = append(seeds, r.control)
	}
	for i, r := range f.routers {
		if err := r.writeSettings(l.Addr().String(), zones[i%len(zones)], seeds); err != nil {
			return f, err
		}
		if err := r.start(); err != nil {
			return f, err
		}
		go r.watchReady(f.stop)
		go r.watchMemory(f.stop)
	}
	return f, f.awaitReady()
}

func (f *fleet) awaitReady() error {
	for until := time.Now().Add(readyWithin); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		ready := true
		for _, r := range f.routers {
			ready = ready && r.usable()
		}
		if ready {
			return nil
		}
	}
	return errors.New("the routers are not ready in time")
}

// close ends all processes and stand-ins; further calls have no effect.
func (f *fleet) close() { f.closeOnce.Do(f.closeAll) }

func (f *fleet) closeAll() {
	close(f.stop)
	for _, r := range f.routers {
		r.close()
	}
	for _, s := range f.servers {
		s.close()
	}
	f.store.server.Close()
}
