package pomelonode

import (
	"context"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// hostsRead is posted when the host list was read.
type hostsRead struct {
	hosts []pomelorelay.Host
	// asked is when the reading began.
	asked time.Time
}

func (e hostsRead) apply(c *control, now time.Time) {
	if !e.asked.Before(c.unsureSince) {
		c.unsureSince = time.Time{}
	}
	c.out = c.view.SetHosts(now, e.hosts, c.out)
	c.n.mesh.SetPeers(c.view.Peers(nil))
	leaving := leavingOf(e.hosts)
	for id := range leaving {
		if !c.left[id] {
			c.leave(id)
			c.announce(id)
		}
	}
	c.comeBack(now, leaving)
}

// announce tells every router, so that one that reads the host list late, or not at all, learns it too.
func (c *control) announce(id pomelorelay.UpstreamID) {
	for _, node := range c.others() {
		c.out = append(c.out, pomelorelay.Outgoing{To: node, Message: &pomelorelay.LeavingNotice{Upstream: id}})
	}
}

// leave makes every part refuse new work for an upstream.
func (c *control) leave(id pomelorelay.UpstreamID) {
	c.leftAt[id] = c.now()
	if c.left[id] {
		return
	}
	c.left[id] = true
	c.asker.MarkLeaving(id)
	c.owner.MarkLeaving(c.now(), id)
	c.publishTraffic()
	c.n.log(pomelorelay.EventLeaving, field("Upstream", string(id)))
}

// noticeHolds is how long a peer's notice outweighs an own host list that does not show the leaving yet, since the list lags.
const noticeHolds = 30 * time.Second

// comeBack takes the mark from upstreams that the host list shows as staying.
func (c *control) comeBack(now time.Time, leaving map[pomelorelay.UpstreamID]bool) {
	for id := range c.left {
		if leaving[id] || c.isEvacuated(id) {
			c.leftAt[id] = now
			continue
		}
		if now.Sub(c.leftAt[id]) < noticeHolds {
			continue
		}
		c.back(now, id)
	}
}

// back lets every part send new work to an upstream again.
func (c *control) back(now time.Time, id pomelorelay.UpstreamID) {
	delete(c.left, id)
	delete(c.leftAt, id)
	c.asker.ClearLeaving(id)
	c.out = c.owner.ClearLeaving(now, id, c.out)
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
		case <-n.hostsWanted:
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
	timer := time.NewTimer(list.ReadInterval(n.status.Load().members) - list.Interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-n.hostsWanted:
	case <-timer.C:
	}
	return true
}

// wantHosts makes the host list be read as soon as its shortest interval allows.
func (n *Node) wantHosts() {
	select {
	case n.hostsWanted <- struct{}{}:
	default:
	}
}

func (n *Node) readHostsOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.Settings.HostList.Timeout)
	defer cancel()
	asked := n.cfg.Clock.Now()
	hosts, err := n.cfg.HostList.Hosts(ctx)
	if err != nil {
		n.counters.hostReadsFailed.Add(1)
		return
	}
	leaving := leavingOf(hosts)
	n.leaving.Store(&leaving)
	n.mail.post(hostsRead{hosts, asked})
}

// leavingOf returns the upstreams that a host list shows as leaving.
func leavingOf(hosts []pomelorelay.Host) map[pomelorelay.UpstreamID]bool {
	leaving := make(map[pomelorelay.UpstreamID]bool)
	for _, h := range hosts {
		if h.Kind == pomelorelay.HostUpstream && h.Leaving {
			leaving[pomelorelay.UpstreamID(h.Name)] = true
		}
	}
	return leaving
}

// stays reports whether neither the control goroutine nor the last host list says that an upstream leaves. The list is looked at
// itself because requests pass a stalled control goroutine, which would not have taken it in.
func (n *Node) stays(id pomelorelay.UpstreamID) bool {
	if n.listedLeaving(id) {
		return false
	}
	view := n.traffic.Load()
	return view == nil || !view.left[id]
}

// listedLeaving reports whether the last host list says that an upstream leaves.
func (n *Node) listedLeaving(id pomelorelay.UpstreamID) bool {
	listed := n.leaving.Load()
	return listed != nil && (*listed)[id]
}

const (
	// haltedAfter is the silence of the control goroutine after which it mistrusts what it knows of upstreams.
	haltedAfter = time.Second
	// unsureFor bounds the mistrust, so that a router that cannot read the host list works on.
	unsureFor = 2 * time.Second
)

// noteHalt notices that the control goroutine stood still, as in a paused process. A grant used right after it would go to an
// upstream that left meanwhile; grants are given back until the host list was read anew.
func (c *control) noteHalt(now time.Time) {
	if !c.ranAt.IsZero() && now.Sub(c.ranAt) > haltedAfter {
		c.unsureSince = now
	}
}

func (c *control) unsure(now time.Time) bool {
	return !c.unsureSince.IsZero() && now.Sub(c.unsureSince) < unsureFor
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
