package pomeloforward

import (
	"context"
	"net/netip"
	"sync"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelolink"
)

// brokenRun is a run whose connection to its upstream broke, possibly because the upstream crashed.
type brokenRun struct {
	crash   pomelorelay.RequestCrash
	request string
	addr    netip.AddrPort
}

// crashChecks finds out whether upstreams whose connections broke have crashed. It checks an upstream once for all runs that broke
// together.
type crashChecks struct {
	cfg    Config
	links  *pomelolink.Client
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// pending holds the broken runs by upstream, for each upstream that is being checked.
	pending map[pomelorelay.UpstreamID][]brokenRun
	wg      sync.WaitGroup
}

func newCrashChecks(cfg Config, links *pomelolink.Client) *crashChecks {
	k := &crashChecks{cfg: cfg, links: links, pending: make(map[pomelorelay.UpstreamID][]brokenRun)}
	k.ctx, k.cancel = context.WithCancel(context.Background())
	return k
}

// check starts a check of the run's upstream unless one is in progress. It does not wait, because a check of a silent upstream takes a
// second and the request may be sent elsewhere meanwhile.
func (k *crashChecks) check(run brokenRun) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ctx.Err() != nil {
		return
	}
	id := run.crash.Upstream
	_, inProgress := k.pending[id]
	k.pending[id] = append(k.pending[id], run)
	if inProgress {
		return
	}
	k.wg.Go(func() {
		crashed := k.links.RefusesConnections(k.ctx, run.addr)
		k.mu.Lock()
		runs := k.pending[id]
		delete(k.pending, id)
		k.mu.Unlock()
		if crashed {
			k.report(runs)
		}
	})
}

func (k *crashChecks) report(runs []brokenRun) {
	for _, run := range runs {
		k.cfg.Meter.CountCrash()
		k.cfg.Logger.Log(pomelorelay.EventUpstreamCrashed, pomelorelay.Field{Key: "Upstream", Value: string(run.crash.Upstream)}, pomelorelay.Field{Key: "Born", Value: run.crash.StartUnixMilli},
			pomelorelay.Field{Key: "Request", Value: run.request}, pomelorelay.Field{Key: "Fingerprint", Value: run.crash.Fingerprint.String()})
		k.cfg.Crashes.UpstreamCrashed(run.crash)
	}
}

// close ends the checks in progress; later calls of check have no effect.
func (k *crashChecks) close() {
	k.mu.Lock()
	k.cancel()
	k.mu.Unlock()
	k.wg.Wait()
}
