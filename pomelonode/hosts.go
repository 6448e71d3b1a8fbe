package pomelonode

import (
	"context"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// hostsRead is posted when the host list was read.
type hostsRead struct {
	hosts []pomelorelay.Host
	// startedAt is when the read started; a list read before a pause of the control loop may be outdated.
	startedAt time.Time
}

func (e hostsRead) apply(c *control, now time.Time) {
	if !e.startedAt.Before(c.staleSince) {
		c.staleSince = time.Time{}
	}
	c.outgoing = c.memberView.SetHosts(now, e.hosts, c.outgoing)
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

// broadcastLeaving notifies every router that an upstream is leaving, including those that read the host list late or cannot read it.
func (c *control) broadcastLeaving(id pomelorelay.UpstreamID) {
	for _, node := range c.otherMembers() {
		c.outgoing = append(c.outgoing, pomelorelay.Outgoing{To: node, Message: &pomelorelay.LeavingNotice{Upstream: id}})
	}
}

// markLeaving makes every component refuse new work for an upstream.
func (c *control) markLeaving(id pomelorelay.UpstreamID) {
	c.leavingSeenAt[id] = c.now()
	if c.leaving[id] {
		return
	}
	c.leaving[id] = true
	c.slotRequester.MarkLeaving(id)
	c.owner.MarkLeaving(c.now(), id)
	c.publishTraffic()
	c.n.log(pomelorelay.EventUpstreamLeaving, field("Upstream", string(id)))
}

// leavingNoticeValidity is how long an upstream counts as leaving after a peer's LeavingNotice even if the host list does not show it as
// leaving, since that list may be outdated.
const leavingNoticeValidity = 30 * time.Second

// restoreStaying lets upstreams that the host list no longer shows as leaving get new work again.
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

// markStaying reverts markLeaving.
func (c *control) markStaying(now time.Time, id pomelorelay.UpstreamID) {
	delete(c.leaving, id)
	delete(c.leavingSeenAt, id)
	c.slotRequester.ClearLeaving(id)
	c.outgoing = c.owner.ClearLeaving(now, id, c.outgoing)
	c.publishTraffic()
	c.n.log(pomelorelay.EventUpstreamBack, field("Upstream", string(id)))
}

// readHosts reads the host list periodically until the node is closed.
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

// awaitHostRead waits until the next read of the host list is due; the interval grows with the fleet. It returns early when a message
// arrives from a router that is not on the list, since a new router gets no membership heartbeats and cannot serve until the others know
// its address. It returns false if ctx is done.
func (n *Node) awaitHostRead(ctx context.Context) bool {
	list := n.cfg.Settings.HostList
	timer := time.NewTimer(list.ReadInterval(n.status.Load().memberCount) - list.Interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-n.hostReadRequested:
	case <-timer.C:
	}
	return true
}

// requestHostRead requests a read of the host list as soon as HostList.Interval allows.
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

// isStaying reports whether neither the control goroutine nor the last host list marks an upstream as leaving. The list is checked directly
// because requests can bypass a stalled control goroutine, which may not have processed the list yet.
func (n *Node) isStaying(id pomelorelay.UpstreamID) bool {
	if n.listedLeaving(id) {
		return false
	}
	view := n.traffic.Load()
	return view == nil || !view.leaving[id]
}

// listedLeaving reports whether the last host list shows an upstream as leaving.
func (n *Node) listedLeaving(id pomelorelay.UpstreamID) bool {
	listed := n.leaving.Load()
	return listed != nil && (*listed)[id]
}

const (
	// pauseThreshold is the time between two rounds of the control loop above which its list of leaving upstreams counts as stale.
	pauseThreshold = time.Second
	// maxStale limits how long the list of leaving upstreams counts as stale after a pause of the control loop. Without this limit, a
	// router that cannot read the host list would return all grants after a pause.
	maxStale = 2 * time.Second
)

// detectPause detects that the control goroutine was paused, for example together with its process. Using a grant right after a pause could
// send a request to an upstream that started leaving during the pause, so grants are returned to their owners until the host list has been
// read again or maxStale has passed.
func (c *control) detectPause(now time.Time) {
	if !c.lastRoundAt.IsZero() && now.Sub(c.lastRoundAt) > pauseThreshold {
		c.staleSince = now
	}
}

func (c *control) isStale(now time.Time) bool {
	return !c.staleSince.IsZero() && now.Sub(c.staleSince) < maxStale
}

// sleep waits for d and returns true, or returns false when ctx is done first.
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
