package pomeloentry

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

const (
	// defaultDrain is the time to the last request of an upstream that leaves where the settings name none.
	defaultDrain = 2500 * time.Millisecond
	// returnWait is how long after the store came back a vanished entry may be missing: upstreams that live are back within 2 s.
	returnWait = 2300 * time.Millisecond
	// massWait is how long many entries that vanish at once are kept: they lapsed in an outage that this router did not notice.
	// With the pace it stays under the time after which an upstream that really left must get nothing.
	massWait = 1500 * time.Millisecond
	// massShare is the part of the upstreams whose entries must vanish within massWait of each other for that.
	massShare = 0.34
	// silentPart is the time without an answer of the store from which a router relies on its peers and expects lapsed entries: upstreams
	// write every 1.2 s, so that some do in each pace.
	silentPart = 0.8
	// announceFor is how long reports name an upstream that leaves.
	announceFor = 3 * time.Second
)

// ofDrain returns a part of the time after which an upstream that said it leaves must get no more requests.
func (e *Router) ofDrain(part float64) time.Duration {
	drain := e.cfg.Settings.DrainTimeout
	if drain <= 0 {
		drain = defaultDrain
	}
	return time.Duration(part * float64(drain))
}

// upstreams are the registered upstreams in this router's view.
type upstreams struct {
	present map[pomelorelay.UpstreamID]pomelorelay.FleetUpstream
	// lapsed holds when an upstream whose entry vanished is to be taken as gone.
	lapsed map[pomelorelay.UpstreamID]time.Time
	// leaving holds when this router learnt that an upstream drains or has gone.
	leaving  map[pomelorelay.UpstreamID]time.Time
	vanished []time.Time
	// backAt is when the store answered again after it had not, listedAt when upstreams were last read from it.
	backAt   time.Time
	listedAt time.Time
}

func newUpstreams() upstreams {
	return upstreams{
		present: make(map[pomelorelay.UpstreamID]pomelorelay.FleetUpstream),
		lapsed:  make(map[pomelorelay.UpstreamID]time.Time),
		leaving: make(map[pomelorelay.UpstreamID]time.Time),
	}
}

// announced returns the upstreams whose leaving is to be reported.
func (u *upstreams) announced(now time.Time) []pomelorelay.UpstreamID {
	var ids []pomelorelay.UpstreamID
	for id, since := range u.leaving {
		if now.Sub(since) > announceFor {
			delete(u.leaving, id)
			continue
		}
		ids = append(ids, id)
	}
	return ids
}

// applyUpstreams takes in what changed among the upstreams; back is set when the store had not answered before.
func (c *control) applyUpstreams(now time.Time, change *pomelorelay.FleetChange, back bool, source string) {
	if back || now.Sub(c.upstreams.listedAt) > c.e.ofDrain(silentPart) {
		c.upstreams.backAt = now
	}
	c.upstreams.listedAt = now
	for _, fault := range change.EntryErrors {
		c.e.log(pomelorelay.EventUpstreamBadEntry, field("Code", int(pomelorelay.CodeOf(fault))), field("Fault", fault.Error()))
	}
	seen := make(map[pomelorelay.UpstreamID]bool, len(change.Upstreams))
	for _, u := range change.Upstreams {
		seen[u.ID] = true
		c.putUpstream(now, u, source)
	}
	for _, id := range change.RemovedUpstreams {
		c.vanish(now, id)
	}
	if change.Full {
		for id := range c.upstreams.present {
			if !seen[id] {
				c.vanish(now, id)
			}
		}
	}
	c.e.upstreams.Store(int64(len(c.upstreams.present)))
}

func (c *control) putUpstream(now time.Time, u pomelorelay.FleetUpstream, source string) {
	before, known := c.upstreams.present[u.ID]
	c.upstreams.present[u.ID] = u
	delete(c.upstreams.lapsed, u.ID)
	c.placer.PutUpstream(now, u)
	if known && before == u {
		return
	}
	if u.Draining {
		c.upstreams.leaving[u.ID] = now
		c.e.log(pomelorelay.EventLeaving, field("Upstream", u.ID), field("Source", source))
		return
	}
	delete(c.upstreams.leaving, u.ID)
	c.e.log(pomelorelay.EventUpstreamListed, field("Upstream", u.ID), field("Service", u.Service), field("Address", u.Addr.String()), field("Domain", u.Domain), field("Born", u.StartUnixMilli), field("ColdMS", u.ColdRemaining.Milliseconds()), field("Source", source))
}

// vanish takes an entry that is no longer there. After an outage of the store, in which leases lapse, the entries of upstreams that
// live come back; taken as gone at once, a whole service would be seen to have no upstream for two seconds.
func (c *control) vanish(now time.Time, id pomelorelay.UpstreamID) {
	u, known := c.upstreams.present[id]
	if !known {
		return
	}
	if _, waits := c.upstreams.lapsed[id]; waits {
		return
	}
	if u.Draining {
		c.removeUpstream(now, id)
		return
	}
	c.upstreams.vanished = append(c.upstreams.vanished, now)
	c.upstreams.lapsed[id] = c.goneAt(now)
	c.e.log(pomelorelay.EventUpstreamLapsed, field("Upstream", id), field("GoneInMS", c.upstreams.lapsed[id].Sub(now).Milliseconds()))
	c.dropLapsed(now)
}

func (c *control) goneAt(now time.Time) time.Time {
	u := &c.upstreams
	if back := u.backAt.Add(returnWait); now.Before(back) {
		return back
	}
	recent := u.vanished[:0]
	for _, at := range u.vanished {
		if now.Sub(at) < massWait {
			recent = append(recent, at)
		}
	}
	u.vanished = recent
	if float64(len(recent)) < massShare*float64(len(u.present)) {
		return now
	}
	// Those that vanished just before were part of the same lapse.
	for id := range u.lapsed {
		u.lapsed[id] = now.Add(massWait)
	}
	return now.Add(massWait)
}

// dropLapsed removes the upstreams whose entries did not come back.
func (c *control) dropLapsed(now time.Time) {
	for id, at := range c.upstreams.lapsed {
		if !now.Before(at) {
			c.removeUpstream(now, id)
		}
	}
}

func (c *control) removeUpstream(now time.Time, id pomelorelay.UpstreamID) {
	delete(c.upstreams.lapsed, id)
	delete(c.upstreams.present, id)
	c.upstreams.leaving[id] = now
	c.placer.RemoveUpstream(id)
	c.e.upstreams.Store(int64(len(c.upstreams.present)))
	c.e.log(pomelorelay.EventUpstreamGone, field("Upstream", id))
}

// takeLeaving takes the upstreams that a peer reports to leave. A router that cannot reach the store would send new work to an upstream that leaves;
// one that can has newer entries than its peers' reports.
func (c *control) takeLeaving(now time.Time, from pomelorelay.NodeID, ids []pomelorelay.UpstreamID) {
	if now.Sub(c.upstreams.listedAt) <= c.e.ofDrain(silentPart) {
		return
	}
	for _, id := range ids {
		u, known := c.upstreams.present[id]
		if !known || u.Draining {
			continue
		}
		u.Draining = true
		c.upstreams.present[id] = u
		c.placer.PutUpstream(now, u)
		c.e.log(pomelorelay.EventLeaving, field("Upstream", id), field("Source", from))
	}
}
