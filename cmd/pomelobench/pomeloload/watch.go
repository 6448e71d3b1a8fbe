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
	routerPollInterval = 500 * time.Millisecond
	runPollInterval    = time.Second
)

// routerVars is the part of a router's /debug/vars that the load generator decodes.
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

func (v routerVars) total() pomelorelay.Bytes {
	c := v.Pomelo.ControlBytes
	return c.DomainSent + c.DomainReceived + c.RegionSent + c.RegionReceived + c.CrossSent + c.CrossReceived
}

// crossRegion returns the control-message bytes sent to other regions. It leaves out those received, so that a sum over routers
// counts each byte once.
func (v routerVars) crossRegion() pomelorelay.Bytes { return v.Pomelo.ControlBytes.CrossSent }

// watcher polls the counters of routers and the stand-ins' lists of executed requests.
type watcher struct {
	plan         Plan
	client       *http.Client
	recorder     *recorder
	lastReadings map[pomelorelay.NodeID]routerReading
	// lastSeq is the sequence number of the last run read from each upstream.
	lastSeq map[pomelorelay.UpstreamID]uint64
}

type routerReading struct {
	readAt time.Time
	vars   routerVars
}

func newWatcher(p Plan, dial DialFunc, r *recorder) *watcher {
	return &watcher{
		plan:         p,
		client:       &http.Client{Timeout: probeTimeout, Transport: newTransport(dial)},
		recorder:     r,
		lastReadings: make(map[pomelorelay.NodeID]routerReading),
		lastSeq:      make(map[pomelorelay.UpstreamID]uint64),
	}
}

// pollRouters reads the counters of each router periodically until ctx ends.
func (w *watcher) pollRouters(ctx context.Context) {
	ticker := time.NewTicker(routerPollInterval)
	defer ticker.Stop()
	for {
		for _, r := range w.plan.Routers {
			w.pollRouter(ctx, r)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (w *watcher) pollRouter(ctx context.Context, r Router) {
	requestedAt := time.Now()
	var vars routerVars
	if err := w.getJSON(ctx, "http://"+r.OperatorAddr.String()+"/debug/vars", &vars); err != nil {
		return
	}
	now := time.Now()
	if vars.Pomelo.Generation > 0 {
		w.recorder.observe(pomelocheck.ConfigInForce{Node: r.Name, Generation: vars.Pomelo.Generation, At: requestedAt})
	}
	last, known := w.lastReadings[r.Name]
	w.lastReadings[r.Name] = routerReading{now, vars}
	if !known {
		return
	}
	total, crossRegion := vars.total()-last.vars.total(), vars.crossRegion()-last.vars.crossRegion()
	if total < 0 || crossRegion < 0 {
		// The router was restarted, and its counters began at zero again.
		total, crossRegion = vars.total(), vars.crossRegion()
	}
	w.recorder.addControlBytes(controlRecord{at: now, node: r.Name, total: total, crossRegion: crossRegion, interval: now.Sub(last.readAt)})
}

// pollStandIns periodically reads which requests each stand-in executed, until ctx ends.
func (w *watcher) pollStandIns(ctx context.Context) {
	ticker := time.NewTicker(runPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		_ = w.readRuns(ctx)
	}
}

// readRuns reads the runs that ended since the last call, from all stand-ins, and returns the first error.
func (w *watcher) readRuns(ctx context.Context) error {
	var firstErr error
	for _, u := range w.plan.Upstreams {
		var runs []pomelofake.Run
		url := fmt.Sprintf("http://%s/runs/%s?after=%d", u.Admin, u.Name, w.lastSeq[u.Name])
		if err := w.getJSON(ctx, url, &runs); err != nil {
			if firstErr == nil {
				firstErr = err
			}
			continue
		}
		if len(runs) > 0 {
			w.lastSeq[u.Name] = runs[len(runs)-1].Seq
			w.recorder.addRuns(u, runs)
		}
	}
	return firstErr
}

func (w *watcher) getJSON(ctx context.Context, url string, value any) error {
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
