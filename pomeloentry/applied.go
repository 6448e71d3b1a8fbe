package pomeloentry

import (
	"maps"
	"math"
	"slices"

	"github.com/pomelorelay/pomelorelay"
)

// A router that is out of step begins streams at upstreams whose entries were removed. Full load reports therefore tell up to which revision their sender
// has applied the changes of the store, and full summaries the least revision of the routers that they cover. A version counts as having left only once all
// routers have applied the removal of its last upstream. A router that reports nothing any more stops counting when it is no longer registered.

const (
	// nothingApplied is a revision before the removal of any entry, which follows the entry. It stands for routers of which nothing is known.
	nothingApplied pomelorelay.Revision = 1
	// appliedUntold stands for routers of earlier versions, whose reports tell no revision. They would otherwise hold versions for ever.
	appliedUntold pomelorelay.Revision = math.MaxUint64
)

// reportedApplied returns up to which revision the routers that a full report or summary covers have applied all changes.
func reportedApplied(m *pomelorelay.LoadReport) pomelorelay.Revision {
	if m.Applied == 0 {
		return appliedUntold
	}
	return m.Applied
}

// ownApplied returns up to which revision this router has applied all changes, without those of upstreams that it keeps for a while after their entries
// have lapsed.
func (c *control) ownApplied() pomelorelay.Revision {
	if len(c.upstreams.lapsed) == 0 {
		c.upstreams.appliedUpTo = c.e.cursor.get()
	}
	return max(c.upstreams.appliedUpTo, nothingApplied)
}

// leastApplied returns the least revision that this router and the peers have applied.
func (c *control) leastApplied(peers []*knownPeer) pomelorelay.Revision {
	least := c.ownApplied()
	for _, p := range peers {
		least = min(least, max(p.applied, nothingApplied))
	}
	return least
}

// domainApplied returns on a relay the least revision that the routers of its failure domain have applied.
func (c *control) domainApplied() pomelorelay.Revision {
	return c.leastApplied(c.peers.inDomain(c.e.cfg.Settings.Self.Domain))
}

// fleetApplied returns the least revision that all routers are known to have applied.
func (c *control) fleetApplied() pomelorelay.Revision {
	switch {
	case c.reportsDirectly():
		return c.leastApplied(slices.Collect(maps.Values(c.peers.byNode)))
	case c.relay.local == nil:
		return min(c.ownApplied(), max(c.relay.applied, nothingApplied))
	}
	least := c.domainApplied()
	for _, domain := range c.domains() {
		if domain != c.e.cfg.Settings.Self.Domain {
			least = min(least, max(c.relay.domainApplied[domain], nothingApplied))
		}
	}
	return least
}
