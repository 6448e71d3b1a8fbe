package pomeloload

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// DialFunc connects to an address.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// target is a router, or an upstream in a run without routers.
type target struct {
	name         pomelorelay.NodeID
	service      pomelorelay.ServiceID
	addr         netip.AddrPort
	operatorAddr netip.AddrPort
	ready        atomic.Bool
	client       *http.Client
}

// balancer simulates the platform's load balancer: it sends requests to routers that report readiness.
type balancer struct {
	targets []*target
	probe   *http.Client
}

const (
	readyInterval        = 200 * time.Millisecond
	probeTimeout         = time.Second
	maxIdlePerHost       = 256
	dialTimeout          = time.Second
	headerIdempotencyKey = "Idempotency-Key"
	headerRequestID      = "X-Request-Id"
	headerTimeout        = "X-Timeout"
)

func newBalancer(p Plan, dial DialFunc) *balancer {
	b := &balancer{probe: &http.Client{Timeout: probeTimeout, Transport: newTransport(dial)}}
	if p.Direct {
		for _, u := range p.Upstreams {
			b.add(&target{name: pomelorelay.NodeID(u.Name), service: u.Service, addr: u.Address}, dial)
		}
		return b
	}
	for _, r := range p.Routers {
		b.add(&target{name: r.Name, addr: r.CallerAddr, operatorAddr: r.OperatorAddr}, dial)
	}
	return b
}

func newTransport(dial DialFunc) *http.Transport {
	return &http.Transport{DialContext: dial, MaxIdleConnsPerHost: maxIdlePerHost, DisableCompression: true}
}

func (b *balancer) add(t *target, dial DialFunc) {
	t.ready.Store(true)
	t.client = &http.Client{Transport: newTransport(dial)}
	b.targets = append(b.targets, t)
}

// pick returns a random ready target that serves the service and is listed in names; an empty list allows all targets. If none of
// these targets is ready, pick chooses from those that fallback returns.
func (b *balancer) pick(service pomelorelay.ServiceID, names []pomelorelay.NodeID, rng *rand.Rand) *target {
	var ready, matching []*target
	for _, t := range b.targets {
		if t.service != "" && t.service != service {
			continue
		}
		if len(names) > 0 && !slices.Contains(names, t.name) {
			continue
		}
		matching = append(matching, t)
		if t.ready.Load() {
			ready = append(ready, t)
		}
	}
	if len(ready) == 0 {
		ready = b.fallback(matching)
	}
	return ready[rng.IntN(len(ready))]
}

// fallback returns all ready routers, since a load balancer would use them when the preferred ones are down. If no router is ready,
// it returns the matching targets.
func (b *balancer) fallback(matching []*target) []*target {
	var ready []*target
	for _, t := range b.targets {
		if t.ready.Load() && t.service == "" {
			ready = append(ready, t)
		}
	}
	if len(ready) == 0 {
		return matching
	}
	return ready
}

// awaitReady waits until every router is ready; it fails with CodeBenchStandIn and the name of one that is not.
func (b *balancer) awaitReady(ctx context.Context, within time.Duration) error {
	if within == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	for _, t := range b.targets {
		for t.operatorAddr.IsValid() && !b.isReady(ctx, t) {
			if !sleep(ctx, readyInterval) {
				return pomelorelay.NewError(pomelorelay.CodeBenchStandIn, "router "+string(t.name)+" is not ready", ctx.Err())
			}
		}
	}
	return nil
}

// poll updates the readiness of each router until ctx ends.
func (b *balancer) poll(ctx context.Context) {
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	for {
		for _, t := range b.targets {
			if t.operatorAddr.IsValid() {
				t.ready.Store(b.isReady(ctx, t))
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (b *balancer) isReady(ctx context.Context, t *target) bool {
	resp, err := get(ctx, b.probe, "http://"+t.operatorAddr.String()+"/ready")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (b *balancer) close() {
	b.probe.CloseIdleConnections()
	for _, t := range b.targets {
		t.client.CloseIdleConnections()
	}
}

func get(ctx context.Context, client *http.Client, url string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	return client.Do(r)
}
