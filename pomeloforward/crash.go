package pomeloforward

import (
	"context"
	"fmt"
	"sync"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelolink"
)

// brokenAttempt is an attempt whose connection to the upstream broke, possibly because the upstream crashed.
type brokenAttempt struct {
	run          BrokenRun
	upstream     pomelorelay.FleetUpstream
	request      string
	fingerprints []pomelorelay.Fingerprint
}

// crashChecks finds out whether upstreams whose connections broke have crashed. It checks an upstream once for all attempts whose
// connections broke at about the same time.
type crashChecks struct {
	cfg    Config
	links  *pomelolink.Client
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// pending holds the broken attempts by upstream, for each upstream that is being checked.
	pending map[pomelorelay.UpstreamID][]brokenAttempt
	wg      sync.WaitGroup
}

func newCrashChecks(cfg Config, links *pomelolink.Client) *crashChecks {
	k := &crashChecks{cfg: cfg, links: links, pending: make(map[pomelorelay.UpstreamID][]brokenAttempt)}
	k.ctx, k.cancel = context.WithCancel(context.Background())
	return k
}

// check starts a check of the attempt's upstream unless one is in progress. It does not wait, because a check of a silent upstream takes a
// second and the request may be sent elsewhere meanwhile.
func (k *crashChecks) check(a brokenAttempt) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ctx.Err() != nil {
		return
	}
	id := a.upstream.ID
	_, inProgress := k.pending[id]
	k.pending[id] = append(k.pending[id], a)
	if inProgress {
		return
	}
	k.wg.Go(func() {
		crashed := k.links.RefusesConnections(k.ctx, a.upstream.Addr)
		k.mu.Lock()
		attempts := k.pending[id]
		delete(k.pending, id)
		k.mu.Unlock()
		if crashed {
			k.report(attempts)
		}
	})
}

func (k *crashChecks) report(attempts []brokenAttempt) {
	for _, a := range attempts {
		k.cfg.Meter.CountCrash(pomelorelay.EvidenceRefused)
		k.cfg.Logger.Log(pomelorelay.EventUpstreamCrashed, pomelorelay.Field{Key: "Upstream", Value: string(a.upstream.ID)}, pomelorelay.Field{Key: "Born", Value: a.upstream.StartUnixMilli}, pomelorelay.Field{Key: "Evidence", Value: string(pomelorelay.EvidenceRefused)},
			pomelorelay.Field{Key: "Request", Value: a.request}, pomelorelay.Field{Key: "Fingerprint", Value: a.fingerprints[0].String()}, pomelorelay.Field{Key: "Parts", Value: fmt.Sprint(a.fingerprints[1:])})
		k.cfg.Crashes.UpstreamCrashed(a.run)
	}
}

// close ends the checks in progress; later calls of check have no effect.
func (k *crashChecks) close() {
	k.mu.Lock()
	k.cancel()
	k.mu.Unlock()
	k.wg.Wait()
}
