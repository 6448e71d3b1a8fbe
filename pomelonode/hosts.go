package pomelonode

import (
	"context"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// hostsRead is posted when the host list was read.
type hostsRead struct{ hosts []pomelorelay.Host }

func (e hostsRead) apply(c *control, now time.Time) {
	c.out = c.view.Hosts(now, e.hosts, c.out)
	c.n.mesh.SetPeers(c.view.Peers(nil))
	leaving := make(map[pomelorelay.UpstreamID]bool)
	for _, h := range e.hosts {
		if h.Kind != pomelorelay.HostUpstream || !h.Leaving {
			continue
		}
		id := pomelorelay.UpstreamID(h.Name)
		leaving[id] = true
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
	c.asker.Leaving(id)
	c.owner.Leaving(c.now(), id)
	c.publishTraffic()
	c.n.log(pomelorelay.EventLeaving, field("Upstream", string(id)))
}

// noticeHolds is how long a peer's notice outweighs an own host list that does not show the leaving yet, since the list lags.
const noticeHolds = 30 * time.Second

// comeBack takes the mark from upstreams that the host list shows as staying.
func (c *control) comeBack(now time.Time, leaving map[pomelorelay.UpstreamID]bool) {
	for id := range c.left {
		if leaving[id] {
			c.leftAt[id] = now
			continue
		}
		if now.Sub(c.leftAt[id]) < noticeHolds {
			continue
		}
		delete(c.left, id)
		delete(c.leftAt, id)
		c.asker.Back(id)
		c.out = c.owner.Back(now, id, c.out)
		c.publishTraffic()
		c.n.log(pomelorelay.EventUpstreamBack, field("Upstream", string(id)))
	}
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
	timer := time.NewTimer(list.Pace(n.status.Load().members) - list.Interval)
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
	hosts, err := n.cfg.HostList.Hosts(ctx)
	if err != nil {
		n.counters.hostReadsFailed.Add(1)
		return
	}
	n.mail.post(hostsRead{hosts})
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
