package pomeloentry

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

const (
	// reregisterGrace is how long after a store outage an upstream without an entry in the store is kept; live upstreams register
	// again within 2 s.
	reregisterGrace = 2300 * time.Millisecond
	// massLapseGrace is how long upstreams are kept when many entries lapse at once, as after a store outage that this router did not
	// notice. The sum of this time and the read interval is shorter than the change wait.
	massLapseGrace = 1500 * time.Millisecond
	// massLapseFraction is the fraction of upstreams whose entries must lapse within massLapseGrace to count as a mass lapse.
	massLapseFraction = 0.34
	// storeSilenceFraction is the time without an answer from the store, as a fraction of the change wait, after which a router accepts
	// its peers' information on upstreams and keeps upstreams with lapsed entries for reregisterGrace. Upstreams write every 1.2 s, so
	// each read interval normally brings some changes.
	storeSilenceFraction = 0.8
	// leavingReportTime is how long load reports name a leaving upstream.
	leavingReportTime = 3 * time.Second
)

// upstreams holds the registered upstreams known to this router.
type upstreams struct {
	present map[pomelorelay.UpstreamID]pomelorelay.FleetUpstream
	// lapsed holds the time at which each upstream whose entry is missing from the store will be removed.
	lapsed map[pomelorelay.UpstreamID]time.Time
	// leaving holds the time at which this router learnt that an upstream drains or has gone.
	leaving      map[pomelorelay.UpstreamID]time.Time
	recentLapses []time.Time
	// appliedUpTo is the store revision up to which no change waits in lapsed.
	appliedUpTo pomelorelay.Revision
	// storeRecoveredAt is when the store last answered again after an outage, listedAt when upstreams were last read from it.
	storeRecoveredAt time.Time
	listedAt         time.Time
}

func newUpstreams() upstreams {
	return upstreams{
		present: make(map[pomelorelay.UpstreamID]pomelorelay.FleetUpstream),
		lapsed:  make(map[pomelorelay.UpstreamID]time.Time),
		leaving: make(map[pomelorelay.UpstreamID]time.Time),
	}
}

// reportedLeaving returns the leaving upstreams to name in a load report.
func (u *upstreams) reportedLeaving(now time.Time) []pomelorelay.UpstreamID {
	var ids []pomelorelay.UpstreamID
	for id, since := range u.leaving {
		if now.Sub(since) > leavingReportTime {
			delete(u.leaving, id)
			continue
		}
		ids = append(ids, id)
	}
	return ids
}

// applyUpstreams applies a change of the upstreams; recovered is set for the store's first answer after an outage.
func (c *control) applyUpstreams(now time.Time, change *pomelorelay.FleetChange, recovered bool, source string) {
	if recovered || now.Sub(c.upstreams.listedAt) > c.e.scaledChangeWait(storeSilenceFraction) {
		c.upstreams.storeRecoveredAt = now
	}
	c.upstreams.listedAt = now
	seen := make(map[pomelorelay.UpstreamID]bool, len(change.Upstreams))
	for _, u := range change.Upstreams {
		seen[u.ID] = true
		c.putUpstream(now, u, source)
	}
	for _, id := range change.RemovedUpstreams {
		c.lapseUpstream(now, id)
	}
	if change.Full {
		for id := range c.upstreams.present {
			if !seen[id] {
				c.lapseUpstream(now, id)
			}
		}
	}
	c.e.upstreams.Store(int64(len(c.upstreams.present)))
}

func (c *control) putUpstream(now time.Time, u pomelorelay.FleetUpstream, source string) {
	before, known := c.upstreams.present[u.ID]
	c.upstreams.present[u.ID] = u
	c.streams.versions.Add(u)
	c.streams.listings.Put(now, u)
	if known {
		c.streams.versions.Remove(now, c.e.cursor.get(), before)
	}
	delete(c.upstreams.lapsed, u.ID)
	c.placer.PutUpstream(now, u)
	if known && before == u {
		return
	}
	if known && before.StartUnixMilli != u.StartUnixMilli {
		c.confirmCrashes(now, u.ID, before.StartUnixMilli, pomelorelay.EvidenceRestarted)
	}
	if u.Draining {
		c.upstreams.leaving[u.ID] = now
		c.e.log(pomelorelay.EventUpstreamLeaving, field("Upstream", u.ID), field("Source", source))
		return
	}
	delete(c.upstreams.leaving, u.ID)
	c.e.log(pomelorelay.EventUpstreamListed, field("Upstream", u.ID), field("Service", u.Service), field("Address", u.Addr.String()), field("Domain", u.Domain), field("Version", string(u.Version)), field("Born", u.StartUnixMilli), field("ColdMS", u.ColdRemaining.Milliseconds()), field("Source", source))
}

// lapseUpstream handles an entry that is missing from the store. Leases lapse in a store outage, and live upstreams register again
// after it; removing the upstreams at once would leave a whole service without upstreams for two seconds.
func (c *control) lapseUpstream(now time.Time, id pomelorelay.UpstreamID) {
	u, known := c.upstreams.present[id]
	if !known {
		return
	}
	if _, pending := c.upstreams.lapsed[id]; pending {
		return
	}
	if u.Draining {
		c.removeUpstream(now, id)
		return
	}
	c.upstreams.recentLapses = append(c.upstreams.recentLapses, now)
	c.upstreams.lapsed[id] = c.removalTime(now)
	c.e.log(pomelorelay.EventUpstreamLapsed, field("Upstream", id), field("GoneInMS", c.upstreams.lapsed[id].Sub(now).Milliseconds()))
	c.removeLapsed(now)
}

func (c *control) removalTime(now time.Time) time.Time {
	u := &c.upstreams
	if graceEnd := u.storeRecoveredAt.Add(reregisterGrace); now.Before(graceEnd) {
		return graceEnd
	}
	recent := u.recentLapses[:0]
	for _, at := range u.recentLapses {
		if now.Sub(at) < massLapseGrace {
			recent = append(recent, at)
		}
	}
	u.recentLapses = recent
	if float64(len(recent)) < massLapseFraction*float64(len(u.present)) {
		return now
	}
	// Entries that lapsed just before belong to the same mass lapse.
	for id := range u.lapsed {
		u.lapsed[id] = now.Add(massLapseGrace)
	}
	return now.Add(massLapseGrace)
}

// removeLapsed removes the upstreams that did not register again in time.
func (c *control) removeLapsed(now time.Time) {
	for id, at := range c.upstreams.lapsed {
		if !now.Before(at) {
			c.removeUpstream(now, id)
		}
	}
}

func (c *control) removeUpstream(now time.Time, id pomelorelay.UpstreamID) {
	u := c.upstreams.present[id]
	if !u.Draining {
		c.confirmCrashes(now, id, u.StartUnixMilli, pomelorelay.EvidenceRemoved)
	}
	c.streams.versions.Remove(now, c.e.cursor.get(), u)
	c.streams.listings.Remove(now, id)
	delete(c.upstreams.lapsed, id)
	delete(c.upstreams.present, id)
	c.upstreams.leaving[id] = now
	c.placer.RemoveUpstream(id)
	c.e.upstreams.Store(int64(len(c.upstreams.present)))
	c.e.log(pomelorelay.EventUpstreamGone, field("Upstream", id))
}

// applyLeaving marks the upstreams that a peer reports as leaving. Otherwise a router cut off from the store would send new
// requests to these upstreams. A router with access to the store ignores such reports, because its entries are newer.
func (c *control) applyLeaving(now time.Time, from pomelorelay.NodeID, ids []pomelorelay.UpstreamID) {
	if now.Sub(c.upstreams.listedAt) <= c.e.scaledChangeWait(storeSilenceFraction) {
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
		c.e.log(pomelorelay.EventUpstreamLeaving, field("Upstream", id), field("Source", from))
	}
}
