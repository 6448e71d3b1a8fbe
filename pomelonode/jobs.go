package pomelonode

import (
	"slices"
	"strconv"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelomember"
	"github.com/pomelorelay/pomelorelay/pomeloslot"
)

// jobs holds the fleet-wide jobs assigned to this router: slot ownership of upstreams, ledger shards and claim shards.
type jobs struct {
	// stopLoadReads holds, for each upstream whose slots this router owns, the function that stops reading the upstream's load.
	stopLoadReads map[pomelorelay.UpstreamID]func()
	ledger        map[pomelorelay.ShardID]bool
	claims        map[pomelorelay.ShardID]bool
	// rebuilding holds the ledger shards that this router hosts but has not finished rebuilding.
	rebuilding map[pomelorelay.ShardID]bool
	// members lists the live routers of reachable failure domains, including this one.
	members []pomelorelay.NodeID
}

func newJobs() jobs {
	return jobs{
		stopLoadReads: make(map[pomelorelay.UpstreamID]func()),
		ledger:        make(map[pomelorelay.ShardID]bool),
		claims:        make(map[pomelorelay.ShardID]bool),
		rebuilding:    make(map[pomelorelay.ShardID]bool),
	}
}

// placeJobs recomputes which fleet-wide jobs this router does: slot ownership, ledger and claim shards, and watching the configuration.
func (c *control) placeJobs(now time.Time) {
	c.members = c.memberView.Snapshot()
	c.reachable = c.memberView.ReachableDomains(now, c.reachable[:0])
	c.n.mesh.SetPeers(c.memberView.Peers(nil))
	c.jobs.members = c.reachableMembers()
	c.configSyncer.SetPeers(c.otherMembers())
	c.placeUpstreams(now)
	c.placeLedger(now)
	c.placeClaims(now)
	c.placeConfigWatch()
}

// reachableMembers returns the live routers of reachable failure domains. If a fleet-wide job were assigned to a router behind a network
// partition, the job would not be done for the routers on this side.
func (c *control) reachableMembers() []pomelorelay.NodeID {
	var nodes []pomelorelay.NodeID
	for _, d := range c.members.Domains() {
		if c.isReachable(d.ID) {
			nodes = append(nodes, d.Members...)
		}
	}
	return nodes
}

func (c *control) isReachable(domain pomelorelay.DomainID) bool {
	return slices.Contains(c.reachable, domain)
}

func (c *control) otherMembers() []pomelorelay.NodeID {
	var nodes []pomelorelay.NodeID
	for _, node := range c.jobs.members {
		if node != c.n.self.Node {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// slotOwner returns the router that owns an upstream's slots: one of the upstream's failure domain or, if that domain has no live or
// reachable router, one of the upstream's region. Without the fallback, an upstream would be unused after its domain lost all routers,
// although routers of other domains can reach the upstream.
func (c *control) slotOwner(id pomelorelay.UpstreamID, domain pomelorelay.DomainID) (pomelorelay.NodeID, bool) {
	key := "slot/" + string(id)
	if node, ok := c.members.Owner(key, domain); ok && c.isReachable(domain) {
		return node, true
	}
	var near []pomelorelay.NodeID
	for _, d := range c.members.Domains() {
		if c.regions[d.ID] == c.regions[domain] && c.isReachable(d.ID) {
			near = append(near, d.Members...)
		}
	}
	return pomelomember.Owner(key, near)
}

func (c *control) placeUpstreams(now time.Time) {
	for id, u := range c.upstreams {
		node, ok := c.slotOwner(id, u.FailureDomain)
		mine := ok && node == c.n.self.Node
		stop, owned := c.jobs.stopLoadReads[id]
		if mine == owned {
			continue
		}
		if owned {
			stop()
			delete(c.jobs.stopLoadReads, id)
			c.owner.RemoveUpstream(id)
			continue
		}
		c.ownUpstream(now, id)
	}
	for id, stop := range c.jobs.stopLoadReads {
		if c.upstreams[id] == nil {
			stop()
			delete(c.jobs.stopLoadReads, id)
			c.owner.RemoveUpstream(id)
		}
	}
}

func (c *control) ownUpstream(now time.Time, id pomelorelay.UpstreamID) {
	u := c.upstreams[id]
	slot := pomeloslot.Upstream{ID: id, Pool: u.Pool(), Min: u.MinSlots, Max: u.MaxSlots}
	c.outgoing = c.owner.AddUpstream(now, slot, c.jobs.members, c.outgoing)
	if u.FailureDomain != c.n.self.Domain {
		// The upstream's failure domain may be partitioned rather than down, and a router there may still grant the same slots. This router
		// therefore grants none until the upstream itself has reported its load.
		c.owner.MarkCrashed(now, id)
	}
	if c.leaving[id] {
		c.owner.MarkLeaving(now, id)
	}
	c.jobs.stopLoadReads[id] = c.n.readLoads(*u)
	c.n.log(pomelorelay.EventJobsMoved, field("Upstream", string(id)))
}

func (c *control) placeLedger(now time.Time) {
	for i := range c.n.ledgerShards {
		shard := pomelorelay.ShardID(i)
		node, ok := c.members.Owner(ledgerKey(shard), c.n.self.Domain)
		mine := ok && node == c.n.self.Node
		if mine == c.jobs.ledger[shard] {
			continue
		}
		if !mine {
			c.dropLedger(shard)
			continue
		}
		c.jobs.ledger[shard] = true
		c.jobs.rebuilding[shard] = true
		c.outgoing = c.ledger.AddShard(now, shard, c.outgoing)
		c.n.log(pomelorelay.EventLedgerHosted, field("Shard", uint32(shard)))
	}
}

func (c *control) dropLedger(shard pomelorelay.ShardID) {
	delete(c.jobs.ledger, shard)
	delete(c.jobs.rebuilding, shard)
	c.ledger.RemoveShard(shard)
	c.n.log(pomelorelay.EventLedgerDropped, field("Shard", uint32(shard)))
}

// logRebuiltShards logs the ledger shards that have become ready or whose rebuild has timed out.
func (c *control) logRebuiltShards() {
	for shard := range c.jobs.rebuilding {
		if _, ready := c.ledger.ShardStatus(shard); !ready {
			continue
		}
		delete(c.jobs.rebuilding, shard)
		event := pomelorelay.EventLedgerReady
		if c.ledger.RebuildTimedOut(shard) {
			event = pomelorelay.EventLedgerRebuildShort
		}
		c.n.log(event, field("Shard", uint32(shard)))
	}
}

func (c *control) placeClaims(now time.Time) {
	for i := range c.n.cfg.Settings.Control.ClaimShards {
		shard := pomelorelay.ShardID(i)
		node, ok := c.claimKeeper(shard)
		mine := ok && node == c.n.self.Node
		if mine == c.jobs.claims[shard] {
			continue
		}
		if !mine {
			delete(c.jobs.claims, shard)
			c.keeper.RemoveShard(shard)
			continue
		}
		c.jobs.claims[shard] = true
		c.keeper.AddShard(now, shard, &c.claimOut)
	}
}

// claimKeeper returns the router that stores a shard's claims on idempotency keys. If all reachable routers are stopping, each stores the
// claims of its own requests; otherwise no router would accept the outcomes of the last requests, and stopping a whole fleet would reach
// its time limit. Routers that keep the same shard fence each other at the store.
func (c *control) claimKeeper(shard pomelorelay.ShardID) (pomelorelay.NodeID, bool) {
	if len(c.jobs.members) == 0 {
		return c.n.self.Node, true
	}
	return pomelomember.Owner("claim/"+strconv.Itoa(int(shard)), c.jobs.members)
}

func ledgerKey(shard pomelorelay.ShardID) string { return "ledger/" + strconv.Itoa(int(shard)) }

// placeConfigWatch decides whether this router watches the configuration in the store. Routers that do not watch it learn of a new
// generation from their peers.
func (c *control) placeConfigWatch() {
	ranked := pomelomember.Rank("config", c.members.Members(c.n.self.Domain))
	watch := false
	for i, node := range ranked {
		watch = watch || (i < c.n.cfg.Settings.Control.ConfigWatchers && node == c.n.self.Node)
	}
	c.n.watchingConfig.Store(watch)
}
