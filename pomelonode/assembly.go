package pomelonode

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloclaim"
	"github.com/pomelorelay/pomelorelay/pomeloconfig"
	"github.com/pomelorelay/pomelorelay/pomelofair"
	"github.com/pomelorelay/pomelorelay/pomeloledger"
	"github.com/pomelorelay/pomelorelay/pomelomember"
	"github.com/pomelorelay/pomelorelay/pomeloquarantine"
	"github.com/pomelorelay/pomelorelay/pomeloslot"
)

// maxQueueWait is the queues' own wait limit. It exceeds the limit of every service, so that only the timer in Admit ends a wait.
const maxQueueWait = 24 * time.Hour

func newControl(n *Node) *control {
	c := &control{
		n:              n,
		members:        &pomelomember.Snapshot{},
		upstreams:      make(map[pomelorelay.UpstreamID]*pomeloconfig.Upstream),
		pools:          make(map[pomelorelay.PoolID]bool),
		leaving:        make(map[pomelorelay.UpstreamID]bool),
		leavingSeenAt:  make(map[pomelorelay.UpstreamID]time.Time),
		regions:        map[pomelorelay.DomainID]pomelorelay.RegionID{n.self.Domain: n.self.Region},
		jobs:           newJobs(),
		waiting:        make(map[pomelorelay.RequestID]*waiter),
		running:        make(map[pomelorelay.RequestID]*ticket),
		claimWaiters:   make(map[pomelorelay.ClaimNonce]*claimWaiter),
		suspectWaiters: make(map[pomelorelay.RequestID]*suspectWaiter),
		generations:    make(map[pomelorelay.NodeID]pomelorelay.Generation),
		loads:          make(map[pomelorelay.UpstreamID]pomeloslot.LoadReport),
		dead:           make(map[pomelorelay.NodeID]bool),
		incarnations:   make(map[pomelorelay.NodeID]pomelorelay.Incarnation),
		changedPools:   make(map[pomelorelay.PoolID]bool),
	}
	c.assembleFairness()
	c.assembleLedger()
	c.assembleClaims()
	c.assembleSuspects()
	return c
}

func (c *control) assembleFairness() {
	n := c.n
	s := n.cfg.Settings.Control
	c.memberView = pomelomember.New(pomelomember.Config{
		Self:        n.self,
		Incarnation: n.incarnation,
		Seeds:       seedPeers(n.cfg.Settings.Seeds),
		Seed:        uint64(n.incarnation),
		Options: pomelomember.Options{
			DigestInterval:      s.DigestInterval,
			MaxDigestsPerSecond: pomeloconfig.MaxPeriodicMessagesPerSecond,
			ProbeTimeout:        s.ProbeWait,
			SuspicionTimeout:    s.SuspectFor,
		},
	})
	c.members = c.memberView.Snapshot()
	c.queues = pomelofair.New(pomelofair.Config{
		Charge: pomelofair.ChargeOptions{AdmissionFraction: s.AdmissionCharge},
		// A timer in Admit ends each wait at the limit of the request's service. MaxWait exceeds all these limits, since the queues'
		// default of 60 s would end longer waits too early.
		Limit: pomelofair.LimitOptions{MaxWait: maxQueueWait},
	})
	c.owner = pomeloslot.NewOwner(pomeloslot.OwnerConfig{
		Node:        n.self.Node,
		Domain:      n.self.Domain,
		Incarnation: n.incarnation,
		Grant:       pomeloslot.GrantOptions{TTL: s.GrantTTL},
	})
	c.slotRequester = pomeloslot.NewRequester(pomeloslot.RequesterConfig{
		Node:    n.self.Node,
		Domain:  n.self.Domain,
		Regions: c.regions,
		Seed:    uint64(n.incarnation),
	})
	c.configSyncer = pomeloconfig.NewSyncer(pomeloconfig.SyncerConfig{
		PullTimeout: s.ConfigPull,
		Seed:        uint64(n.incarnation),
		Logger:      n.cfg.Logger,
	})
	c.n.mesh.SetPeers(c.memberView.Peers(nil))
}

func seedPeers(seeds []pomeloconfig.Seed) []pomelorelay.Peer {
	var peers []pomelorelay.Peer
	for _, s := range seeds {
		peers = append(peers, pomelorelay.Peer{Node: s.Name, Addr: s.Address, Domain: s.FailureDomain, Region: s.Region})
	}
	return peers
}

func (c *control) assembleLedger() {
	n := c.n
	s := n.cfg.Settings.Control
	host := func(shard pomelorelay.ShardID, domain pomelorelay.DomainID) (pomelorelay.NodeID, bool) {
		return c.members.Owner(ledgerKey(shard), domain)
	}
	c.ledger = pomeloledger.New(pomeloledger.Config{
		Self:    n.self,
		Shards:  n.ledgerShards,
		Options: pomeloledger.Options{ExchangeInterval: s.ExchangeInterval},
		Fleet: pomeloledger.Fleet{
			Routers: func() []pomelorelay.NodeID { return c.members.Members(n.self.Domain) },
			Domains: c.domains,
			Host:    host,
		},
	})
	c.reporter = pomeloledger.NewReporter(pomeloledger.ReporterConfig{
		Shards:   n.ledgerShards,
		Interval: s.LedgerInterval,
		Host: func(shard pomelorelay.ShardID) (pomelorelay.NodeID, bool) {
			return host(shard, n.self.Domain)
		},
	})
}

func (c *control) domains() []pomeloledger.DomainInfo {
	var infos []pomeloledger.DomainInfo
	for _, d := range c.members.Domains() {
		if len(d.Members) > 0 && c.isReachable(d.ID) {
			infos = append(infos, pomeloledger.DomainInfo{ID: d.ID, Region: d.Region})
		}
	}
	return infos
}

func (c *control) assembleClaims() {
	n := c.n
	c.keeper = pomeloclaim.NewKeeper(pomeloclaim.KeeperConfig{
		Logger:           n.cfg.Logger,
		Alive:            c.mayStillSettle,
		CommitsPerSecond: n.cfg.Settings.Control.ClaimCommits / float64(n.cfg.Settings.Control.ClaimShards),
	})
	c.claimRequester = pomeloclaim.NewRequester(pomeloclaim.RequesterConfig{
		Node:        n.self.Node,
		Incarnation: n.incarnation,
		Shards:      uint32(n.cfg.Settings.Control.ClaimShards),
		Keeper:      c.claimKeeper,
	})
}

// mayStillSettle reports whether a router may still report the outcomes of requests whose idempotency keys it claimed. A router that is
// stopping gracefully may do so until it exits.
func (c *control) mayStillSettle(node pomelorelay.NodeID) bool {
	return !c.dead[node]
}

func (c *control) assembleSuspects() {
	n := c.n
	cfg := pomeloquarantine.Config{
		Self:   n.self.Node,
		Logger: n.cfg.Logger,
		FingerprintArbiter: func(f pomelorelay.Fingerprint) (pomelorelay.NodeID, bool) {
			return pomelomember.Owner(fingerprintKey(f), c.jobs.members)
		},
		UpstreamArbiter: func(id pomelorelay.UpstreamID) (pomelorelay.NodeID, bool) {
			return pomelomember.Owner("suspect/"+string(id), c.jobs.members)
		},
		Members: func() []pomelorelay.NodeID { return c.jobs.members },
	}
	c.quarantine = pomeloquarantine.NewTable(cfg)
	c.arbiter = pomeloquarantine.NewArbiter(cfg)
	c.crashedParts = newCrashedParts(n.cfg.Logger)
}
