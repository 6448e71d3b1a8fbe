package pomeloload

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelocheck"
	"github.com/pomelorelay/pomelorelay/pomelofake"
)

const (
	watchInterval = 500 * time.Millisecond
	runsInterval  = time.Second
)

// routerVars is what is read of a router's /debug/vars.
type routerVars struct {
	Pomelo struct {
		Generation   pomelorelay.Generation
		ControlBytes struct {
			DomainSent, DomainReceived pomelorelay.Bytes
			RegionSent, RegionReceived pomelorelay.Bytes
			CrossSent, CrossReceived   pomelorelay.Bytes
		}
	}
}

func (v routerVars) all() pomelorelay.Bytes {
	c := v.Pomelo.ControlBytes
	return c.DomainSent + c.DomainReceived + c.RegionSent + c.RegionReceived + c.CrossSent + c.CrossReceived
}

// cross counts each byte between regions once, at its sender.
func (v routerVars) cross() pomelorelay.Bytes { return v.Pomelo.ControlBytes.CrossSent }

// watcher reads what routers and stand-ins count.
type watcher struct {
	plan     Plan
	client   *http.Client
	recorder *recorder
	last     map[pomelorelay.NodeID]routerLook
	// after is the number of the last run read of each upstream.
	after map[pomelorelay.UpstreamID]uint64
}

type routerLook struct {
	at   time.Time
	vars routerVars
}

func newWatcher(p Plan, dial DialFunc, r *recorder) *watcher {
	return &watcher{
		plan:     p,
		client:   &http.Client{Timeout: probeTimeout, Transport: newTransport(dial)},
		recorder: r,
		last:     make(map[pomelorelay.NodeID]routerLook),
		after:    make(map[pomelorelay.UpstreamID]uint64),
	}
}

// routers looks at each router until ctx ends.
func (w *watcher) routers(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		for _, r := range w.plan.Routers {
			w.router(ctx, r)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (w *watcher) router(ctx context.Context, r Router) {
	asked := time.Now()
	var vars routerVars
	if err := w.read(ctx, "http://"+r.Operator.String()+"/debug/vars", &vars); err != nil {
		return
	}
	now := time.Now()
	if vars.Pomelo.Generation > 0 {
		w.recorder.observe(pomelocheck.ConfigInForce{Node: r.Name, Generation: vars.Pomelo.Generation, At: asked})
	}
	last, known := w.last[r.Name]
	w.last[r.Name] = routerLook{now, vars}
	if !known {
		return
	}
	all, cross := vars.all()-last.vars.all(), vars.cross()-last.vars.cross()
	if all < 0 || cross < 0 {
		// The router was started anew and counts from zero.
		all, cross = vars.all(), vars.cross()
	}
	w.recorder.controlled(controlRecord{at: now, node: r.Name, all: all, cross: cross, between: now.Sub(last.at)})
}

// standIns reads the runs of every stand-in until ctx ends.
func (w *watcher) standIns(ctx context.Context) {
	ticker := time.NewTicker(runsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		_ = w.runs(ctx)
	}
}

// runs reads the runs that ended since the last reading and returns the first failure.
func (w *watcher) runs(ctx context.Context) error {
	var first error
	for _, u := range w.plan.Upstreams {
		var runs []pomelofake.Run
		url := fmt.Sprintf("http://%s/runs/%s?after=%d", u.Admin, u.Name, w.after[u.Name])
		if err := w.read(ctx, url, &runs); err != nil {
			if first == nil {
				first = err
			}
			continue
		}
		if len(runs) > 0 {
			w.after[u.Name] = runs[len(runs)-1].Seq
			w.recorder.ran(u, runs)
		}
	}
	return first
}

func (w *watcher) read(ctx context.Context, url string, value any) error {
	resp, err := get(ctx, w.client, url)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return pomelorelay.NewError(pomelorelay.CodeBenchStandIn, url+" answered "+resp.Status, nil)
	}
	return json.NewDecoder(resp.Body).Decode(value)
}
