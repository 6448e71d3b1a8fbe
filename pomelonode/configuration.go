package pomelonode

import (
	"context"
	"maps"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloconfig"
	"github.com/pomelorelay/pomelorelay/pomelofair"
	"github.com/pomelorelay/pomelorelay/pomeloslot"
)

// trafficView is an immutable view for the goroutines that handle requests: the active configuration, its upstreams and the upstreams that
// are leaving.
type trafficView struct {
	snapshot *pomeloconfig.Snapshot
	pools    map[pomelorelay.PoolID][]*pomeloconfig.Upstream
	leaving  map[pomelorelay.UpstreamID]bool
}

// rootRead is posted when the configuration root, the store record that names the parts of the configuration, was read or changed.
type rootRead struct{ data []byte }

func (e rootRead) apply(c *control, now time.Time) {
	c.configSyncer.HandleStoredRoot(now, e.data)
	c.compile()
}

// partRead is posted when a configuration part was read from the store.
type partRead struct{ data []byte }

func (e partRead) apply(c *control, now time.Time) {
	c.configSyncer.HandleStoredPart(now, e.data)
	c.compile()
}

// fetchConfig reads the configuration root and the parts that the syncer lacks from the store.
func (c *control) fetchConfig(now time.Time) {
	reads := c.configSyncer.PendingStoreReads(now)
	if reads.Root {
		c.n.readRoot()
	}
	for _, hash := range reads.Parts {
		c.n.readPart(hash)
	}
}

// compile builds the snapshot of a new configuration once all of its parts are known. It does so in a separate goroutine, since for 37,000
// accounts it takes long enough to delay the granting of slots.
func (c *control) compile() {
	candidate, ok := c.configSyncer.Candidate()
	if !ok || candidate.Root.Generation == c.compiling {
		return
	}
	c.compiling = candidate.Root.Generation
	c.n.start(func(context.Context) {
		snapshot, err := assemble(candidate)
		c.n.mail.post(configCompiled{candidate.Root.Generation, snapshot, err})
	})
}

func assemble(candidate pomeloconfig.Candidate) (*pomeloconfig.Snapshot, error) {
	configuration, err := pomeloconfig.Assemble(candidate.Root, candidate.Parts)
	if err != nil {
		return nil, err
	}
	return pomeloconfig.NewSnapshot(candidate.Root, configuration)
}

// configCompiled is posted when the compilation of a new configuration has succeeded or failed.
type configCompiled struct {
	generation pomelorelay.Generation
	snapshot   *pomeloconfig.Snapshot
	err        error
}

func (e configCompiled) apply(c *control, now time.Time) {
	if e.err != nil {
		c.outgoing = c.configSyncer.MarkRefused(e.generation, pomelorelay.CodeOf(e.err), c.outgoing)
		return
	}
	c.configSyncer.MarkInForce(e.generation)
	if c.configSyncer.Generation() != e.generation {
		c.compiling = 0
		c.compile()
		return
	}
	c.activate(now, e.snapshot)
}

// activate makes a compiled configuration the active one and applies it to every component.
func (c *control) activate(now time.Time, s *pomeloconfig.Snapshot) {
	first := c.snapshot == nil
	c.snapshot = s
	c.upstreams = make(map[pomelorelay.UpstreamID]*pomeloconfig.Upstream)
	c.pools = make(map[pomelorelay.PoolID]bool)
	for _, u := range s.Upstreams() {
		c.upstreams[u.Name] = &u
		c.pools[u.Pool()] = true
		c.configurePool(u.Pool())
	}
	for _, r := range s.Regions() {
		for _, d := range r.FailureDomains {
			c.regions[d] = r.Name
		}
	}
	c.applyEvacuations(now)
	c.queues.SetWeights(s)
	c.keeper.SetRetention(maxRetention(s))
	c.n.mesh.SetGeneration(s.Generation())
	c.publishTraffic()
	c.placeJobs(now)
	if first {
		c.n.log(pomelorelay.EventReady, field("Generation", uint64(s.Generation())))
	}
}

// configurePool applies the settings of a pool's service: the queue options, and the margins for using slots of other failure domains and
// regions.
func (c *control) configurePool(pool pomelorelay.PoolID) {
	service, ok := c.snapshot.PoolService(pool)
	if !ok {
		return
	}
	c.queues.SetPoolOptions(pool, pomelofair.PoolOptions{CatchUp: service.CatchUp, MaxWaiting: service.MaxWaiting, MaxWaitingBytes: service.MaxWaitingBytes})
	c.slotRequester.SetSpill(pool, pomeloslot.SpillOptions{DomainMargin: service.SpillDomain, RegionMargin: service.SpillRegion})
}

// publishTraffic publishes a new trafficView for the goroutines that handle requests.
func (c *control) publishTraffic() {
	view := &trafficView{
		snapshot: c.snapshot,
		pools:    make(map[pomelorelay.PoolID][]*pomeloconfig.Upstream),
		leaving:  maps.Clone(c.leaving),
	}
	for _, u := range c.upstreams {
		view.pools[u.Pool()] = append(view.pools[u.Pool()], u)
	}
	c.n.traffic.Store(view)
}

// maxRetention returns the longest time for which any service keeps claims on idempotency keys. It applies to all claims, since a claim
// shard holds claims of every service.
func maxRetention(s *pomeloconfig.Snapshot) time.Duration {
	var longest time.Duration
	for _, service := range s.Services() {
		longest = max(longest, service.Retention)
	}
	return longest
}
