package pomelonode

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloconfig"
	"github.com/pomelorelay/pomelorelay/pomelohead"
	"github.com/pomelorelay/pomelorelay/pomeloslot"
)

const (
	// maxLoadBytes limits the size in bytes of an upstream's load report.
	maxLoadBytes = 64 << 10
	// loadTimeout limits the duration of one read of an upstream's load.
	loadTimeout = time.Second
	// maxLoadFailures is the number of consecutive failed reads after which an upstream counts as crashed.
	maxLoadFailures = 3
)

// loadRead is posted when an upstream's load was read.
type loadRead struct {
	upstream pomelorelay.UpstreamID
	load     pomeloslot.LoadReport
}

func (e loadRead) apply(c *control, now time.Time) {
	if _, owned := c.jobs.stopLoadReads[e.upstream]; owned {
		c.outgoing = c.owner.HandleLoadReport(now, e.upstream, e.load, c.outgoing)
		c.loads[e.upstream] = e.load
	}
}

// loadReadFailed is posted when reading an upstream's load failed maxLoadFailures times in a row.
type loadReadFailed struct{ upstream pomelorelay.UpstreamID }

func (e loadReadFailed) apply(c *control, now time.Time) {
	if _, owned := c.jobs.stopLoadReads[e.upstream]; owned {
		c.owner.MarkCrashed(now, e.upstream)
		c.n.log(pomelorelay.EventLoadLost, field("Upstream", string(e.upstream)))
	}
}

// readLoads reads an upstream's load periodically until the returned function is called.
func (n *Node) readLoads(u pomeloconfig.Upstream) func() {
	ctx, cancel := context.WithCancel(n.ctx)
	n.start(func(context.Context) {
		failures := 0
		for {
			load, err := n.readLoad(ctx, u)
			if err == nil {
				failures = 0
				n.mail.post(loadRead{u.Name, load})
			} else if failures++; failures == maxLoadFailures {
				n.mail.post(loadReadFailed{u.Name})
			}
			if !sleep(ctx, n.cfg.Settings.Control.LoadInterval) {
				return
			}
		}
	})
	return cancel
}

func (n *Node) readLoad(ctx context.Context, u pomeloconfig.Upstream) (pomeloslot.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	var load pomeloslot.LoadReport
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+u.Address.String()+"/load", nil)
	if err != nil {
		return load, err
	}
	resp, err := n.loadClient.Do(r)
	if err != nil {
		return load, err
	}
	defer resp.Body.Close()
	if err := pomelohead.CheckParsed(resp); err != nil {
		return load, err
	}
	if resp.StatusCode != http.StatusOK {
		return load, pomelorelay.NewError(pomelorelay.CodeNoUpstream, "GET /load was not answered with status 200", nil)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxLoadBytes)).Decode(&load)
	return load, err
}
