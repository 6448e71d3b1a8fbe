package pomelonode

import (
	"slices"
	"strconv"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelomember"
	"github.com/pomelorelay/pomelorelay/pomeloslot"
)

// jobs are the shared jobs that this router does now.
type jobs struct {
	upstreams map[pomelorelay.UpstreamID]func()
	ledger    map[pomelorelay.ShardID]bool
	claims    map[pomelorelay.ShardID]bool
	// rebuilding are the hosted shards of the ledger that are not ready yet.
	rebuilding map[pomelorelay.ShardID]bool
	peers      []pomelorelay.NodeID
}

func newJobs() jobs {
	return jobs{
		upstreams:  make(map[pomelorelay.UpstreamID]func()),
		ledger:     make(map[pomelorelay.ShardID]bool),
		claims:     make(map[pomelorelay.ShardID]bool),
		rebuilding: make(map[pomelorelay.ShardID]bool),
	}
}

// placeJobs computes anew which shared jobs this router does.
func (c *control) placeJobs(now time.Time) {
	c.members = c.view.Snapshot()
	c.reachable = c.view.ReachableDomains(now, c.reachable[:0])
	c.n.mesh.SetPeers(c.view.Peers(nil))
	c.jobs.peers = c.allMembers()
	c.spreader.SetPeers(c.others())
	c.placeUpstreams(now)
	c.placeLedger(now)
	c.placeClaims(now)
	c.placeWatch()
}

// allMembers returns the live routers of the failure domains that can be reached: a job that were left to a router beyond a cut
// would be done by nobody on this side.
func (c *control) allMembers() []pomelorelay.NodeID {
	var nodes []pomelorelay.NodeID
	for _, d := range c.members.Domains() {
		if c.reaches(d.ID) {
			nodes = append(nodes, d.Members...)
		}
	}
	return nodes
}

func (c *control) reaches(domain pomelorelay.DomainID) bool {
	return slices.Contains(c.reachable, domain)
}

func (c *control) others() []pomelorelay.NodeID {
	var nodes []pomelorelay.NodeID
	for _, node := range c.jobs.peers {
		if node != c.n.self.Node {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// slotOwner returns the router that owns an upstream's slots: one of its failure domain, or when none lives there one of its
// region. Without the second an upstream would idle after the two routers of its domain were lost, though others reach it.
func (c *control) slotOwner(id pomelorelay.UpstreamID, domain pomelorelay.DomainID) (pomelorelay.NodeID, bool) {
	key := "slot/" + string(id)
	if node, ok := c.members.Owner(key, domain); ok && c.reaches(domain) {
		return node, true
	}
	var near []pomelorelay.NodeID
	for _, d := range c.members.Domains() {
		if c.regions[d.ID] == c.regions[domain] && c.reaches(d.ID) {
			near = append(near, d.Members...)
		}
	}
	return pomelomember.Owner(key, near)
}

func (c *control) placeUpstreams(now time.Time) {
	for id, u := range c.upstreams {
		node, ok := c.slotOwner(id, u.FailureDomain)
		mine := ok && node == c.n.self.Node
		stop, held := c.jobs.upstreams[id]
		if mine == held {
			continue
		}
		if held {
			stop()
			delete(c.jobs.upstreams, id)
			c.owner.RemoveUpstream(id)
			continue
		}
		c.own(now, id)
	}
	for id, stop := range c.jobs.upstreams {
		if c.upstreams[id] == nil {
			stop()
			delete(c.jobs.upstreams, id)
			c.owner.RemoveUpstream(id)
		}
	}
}

func (c *control) own(now time.Time, id pomelorelay.UpstreamID) {
	u := c.upstreams[id]
	slot := pomeloslot.Upstream{ID: id, Pool: u.Pool(), Min: u.MinSlots, Max: u.MaxSlots}
	c.out = c.owner.AddUpstream(now, slot, c.jobs.peers, c.out)
	if u.FailureDomain != c.n.self.Domain {
		// The upstream's own domain may only be cut off from this one and its owner there grants still: nothing is granted here
		// before the upstream itself answers.
		c.owner.MarkCrashed(now, id)
	}
	if c.left[id] {
		c.owner.MarkLeaving(now, id)
	}
	c.jobs.upstreams[id] = c.n.readLoads(*u)
	c.n.log(pomelorelay.EventJobsMoved, field("Upstream", string(id)))
}

func (c *control) placeLedger(now time.Time) {
	for i := range c.n.shards {
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
		c.out = c.ledger.AddShard(now, shard, c.out)
		c.n.log(pomelorelay.EventLedgerHosted, field("Shard", uint32(shard)))
	}
}

func (c *control) dropLedger(shard pomelorelay.ShardID) {
	delete(c.jobs.ledger, shard)
	delete(c.jobs.rebuilding, shard)
	c.ledger.RemoveShard(shard)
	c.n.log(pomelorelay.EventLedgerDropped, field("Shard", uint32(shard)))
}

// noteRebuilt tells of shards of the ledger that became ready.
func (c *control) noteRebuilt() {
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

// claimKeeper returns the router that keeps a claim shard. When all that can be reached stop, each keeps them for itself: without
// that nobody would take the last settlements, and the stop of a whole fleet would run into its time limit. Several keepers of
// a shard fence each other at the store.
func (c *control) claimKeeper(shard pomelorelay.ShardID) (pomelorelay.NodeID, bool) {
	if len(c.jobs.peers) == 0 {
		return c.n.self.Node, true
	}
	return pomelomember.Owner("claim/"+strconv.Itoa(int(shard)), c.jobs.peers)
}

func ledgerKey(shard pomelorelay.ShardID) string { return "ledger/" + strconv.Itoa(int(shard)) }

// placeWatch decides whether this router watches the store's root; the others hear of a new generation from their peers.
func (c *control) placeWatch() {
	ranked := pomelomember.Rank("config", c.members.Members(c.n.self.Domain))
	watch := false
	for i, node := range ranked {
		watch = watch || (i < c.n.cfg.Settings.Control.ConfigWatchers && node == c.n.self.Node)
	}
	c.n.watching.Store(watch)
}
