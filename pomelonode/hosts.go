package pomelonode

import (
	"context"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// hostsRead is posted when the host list was read.
type hostsRead struct {
	hosts []pomelorelay.Host
	// startedAt is when the reading began.
	startedAt time.Time
}

func (e hostsRead) apply(c *control, now time.Time) {
	if !e.startedAt.Before(c.staleSince) {
		c.staleSince = time.Time{}
	}
	c.out = c.memberView.Hosts(now, e.hosts, c.out)
	c.n.mesh.SetPeers(c.memberView.Peers(nil))
	leaving := leavingUpstreams(e.hosts)
	for id := range leaving {
		if !c.leaving[id] {
			c.markLeaving(id)
			c.broadcastLeaving(id)
		}
	}
	c.restoreStaying(now, leaving)
}

// broadcastLeaving tells every router, so that one that reads the host list late, or not at all, learns it too.
func (c *control) broadcastLeaving(id pomelorelay.UpstreamID) {
	for _, node := range c.otherMembers() {
		c.out = append(c.out, pomelorelay.Outgoing{To: node, Message: &pomelorelay.LeavingNotice{Upstream: id}})
	}
}

// markLeaving makes every part refuse new work for an upstream.
func (c *control) markLeaving(id pomelorelay.UpstreamID) {
	c.leavingSeenAt[id] = c.now()
	if c.leaving[id] {
		return
	}
	c.leaving[id] = true
	c.asker.Leaving(id)
	c.owner.Leaving(c.now(), id)
	c.publishTraffic()
	c.n.log(pomelorelay.EventLeaving, field("Upstream", string(id)))
}

// leavingNoticeValidity is how long a peer's notice outweighs an own host list that does not show the leaving yet, since the list lags.
const leavingNoticeValidity = 30 * time.Second

// restoreStaying takes the mark from upstreams that the host list shows as staying.
func (c *control) restoreStaying(now time.Time, leaving map[pomelorelay.UpstreamID]bool) {
	for id := range c.leaving {
		if leaving[id] || c.isEvacuated(id) {
			c.leavingSeenAt[id] = now
			continue
		}
		if now.Sub(c.leavingSeenAt[id]) < leavingNoticeValidity {
			continue
		}
		c.markStaying(now, id)
	}
}

// markStaying lets every part send new work to an upstream again.
func (c *control) markStaying(now time.Time, id pomelorelay.UpstreamID) {
	delete(c.leaving, id)
	delete(c.leavingSeenAt, id)
	c.asker.Back(id)
	c.out = c.owner.Back(now, id, c.out)
	c.publishTraffic()
	c.n.log(pomelorelay.EventUpstreamBack, field("Upstream", string(id)))
}

// readHosts reads the host list until the node closes.
func (n *Node) readHosts(ctx context.Context) {
	for {
		n.readHostsOnce(ctx)
		if !sleep(ctx, n.cfg.Settings.HostList.Interval) {
			return
		}
		select {
		case <-n.hostReadRequested:
		default:
			if !n.awaitHostRead(ctx) {
				return
			}
		}
	}
}

// awaitHostRead waits for what is left of a large fleet's longer interval, or until a router is heard that the list did not
// name: a newcomer gets no digests before its address is known, and would serve nobody until then.
func (n *Node) awaitHostRead(ctx context.Context) bool {
	list := n.cfg.Settings.HostList
	timer := time.NewTimer(list.Pace(n.status.Load().members) - list.Interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-n.hostReadRequested:
	case <-timer.C:
	}
	return true
}

// requestHostRead makes the host list be read as soon as its shortest interval allows.
func (n *Node) requestHostRead() {
	select {
	case n.hostReadRequested <- struct{}{}:
	default:
	}
}

func (n *Node) readHostsOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.Settings.HostList.Timeout)
	defer cancel()
	startedAt := n.cfg.Clock.Now()
	hosts, err := n.cfg.HostList.Hosts(ctx)
	if err != nil {
		n.counters.hostReadsFailed.Add(1)
		return
	}
	leaving := leavingUpstreams(hosts)
	n.leaving.Store(&leaving)
	n.mail.post(hostsRead{hosts, startedAt})
}

// leavingUpstreams returns the upstreams that a host list shows as leaving.
func leavingUpstreams(hosts []pomelorelay.Host) map[pomelorelay.UpstreamID]bool {
	leaving := make(map[pomelorelay.UpstreamID]bool)
	for _, h := range hosts {
		if h.Kind == pomelorelay.HostUpstream && h.Leaving {
			leaving[pomelorelay.UpstreamID(h.Name)] = true
		}
	}
	return leaving
}

// isStaying reports whether neither the control goroutine nor the last host list says that an upstream leaves. The list is looked at
// itself because requests pass a stalled control goroutine, which would not have taken it in.
func (n *Node) isStaying(id pomelorelay.UpstreamID) bool {
	if n.listedLeaving(id) {
		return false
	}
	view := n.traffic.Load()
	return view == nil || !view.leaving[id]
}

// listedLeaving reports whether the last host list says that an upstream leaves.
func (n *Node) listedLeaving(id pomelorelay.UpstreamID) bool {
	listed := n.leaving.Load()
	return listed != nil && (*listed)[id]
}

const (
	// pauseThreshold is the silence of the control goroutine after which it mistrusts what it knows of upstreams.
	pauseThreshold = time.Second
	// maxStale bounds the mistrust, so that a router that cannot read the host list works on.
	maxStale = 2 * time.Second
)

// detectPause notices that the control goroutine stood still, as in a paused process. A grant used right after it would go to an
// upstream that left meanwhile; grants are given back until the host list was read anew.
func (c *control) detectPause(now time.Time) {
	if !c.lastRoundAt.IsZero() && now.Sub(c.lastRoundAt) > pauseThreshold {
		c.staleSince = now
	}
}

func (c *control) isStale(now time.Time) bool {
	return !c.staleSince.IsZero() && now.Sub(c.staleSince) < maxStale
}

// sleep waits and reports whether the time passed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
