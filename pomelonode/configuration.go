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

// trafficView is what the traffic path reads; it is immutable.
type trafficView struct {
	snapshot *pomeloconfig.Snapshot
	pools    map[pomelorelay.PoolID][]*pomeloconfig.Upstream
	left     map[pomelorelay.UpstreamID]bool
}

// rootRead is posted when the store's root was read or a watch reported it.
type rootRead struct{ data []byte }

func (e rootRead) apply(c *control, now time.Time) {
	c.spreader.HandleStoredRoot(now, e.data)
	c.compile()
}

// partRead is posted when a part was read from the store.
type partRead struct{ data []byte }

func (e partRead) apply(c *control, now time.Time) {
	c.spreader.HandleStoredPart(now, e.data)
	c.compile()
}

// fetchConfig reads from the store what the spreader wants.
func (c *control) fetchConfig(now time.Time) {
	wants := c.spreader.PendingStoreReads(now)
	if wants.Root {
		c.n.readRoot()
	}
	for _, hash := range wants.Parts {
		c.n.readPart(hash)
	}
}

// compile puts a whole candidate together beside the control goroutine: at 37,000 accounts that takes long enough to hold up
// grants.
func (c *control) compile() {
	candidate, ok := c.spreader.Candidate()
	if !ok || candidate.Root.Generation == c.compiling {
		return
	}
	c.compiling = candidate.Root.Generation
	c.n.start(func(context.Context) {
		snapshot, err := assemble(candidate)
		c.n.mail.post(compiled{candidate.Root.Generation, snapshot, err})
	})
}

func assemble(candidate pomeloconfig.Candidate) (*pomeloconfig.Snapshot, error) {
	configuration, err := pomeloconfig.Assemble(candidate.Root, candidate.Parts)
	if err != nil {
		return nil, err
	}
	return pomeloconfig.NewSnapshot(candidate.Root, configuration)
}

// compiled is posted when a candidate was compiled or could not be.
type compiled struct {
	generation pomelorelay.Generation
	snapshot   *pomeloconfig.Snapshot
	err        error
}

func (e compiled) apply(c *control, now time.Time) {
	if e.err != nil {
		c.out = c.spreader.MarkRefused(e.generation, pomelorelay.CodeOf(e.err), c.out)
		return
	}
	c.spreader.MarkInForce(e.generation)
	if c.spreader.Generation() != e.generation {
		c.compiling = 0
		c.compile()
		return
	}
	c.enforce(now, e.snapshot)
}

// enforce puts a configuration in force on every part.
func (c *control) enforce(now time.Time, s *pomeloconfig.Snapshot) {
	first := c.snapshot == nil
	c.snapshot = s
	c.upstreams = make(map[pomelorelay.UpstreamID]*pomeloconfig.Upstream)
	c.pools = make(map[pomelorelay.PoolID]bool)
	for _, u := range s.Upstreams() {
		c.upstreams[u.Name] = &u
		c.pools[u.Pool()] = true
		c.setPool(u.Pool())
	}
	for _, r := range s.Regions() {
		for _, d := range r.FailureDomains {
			c.regions[d] = r.Name
		}
	}
	c.evacuate(now)
	c.queues.SetWeights(s)
	c.keeper.SetRetention(longestRetention(s))
	c.n.mesh.SetGeneration(s.Generation())
	c.publishTraffic()
	c.placeJobs(now)
	if first {
		c.n.log(pomelorelay.EventReady, field("Generation", uint64(s.Generation())))
	}
}

// setPool sets what the operators chose for a pool's service; the units are the service's own.
func (c *control) setPool(pool pomelorelay.PoolID) {
	service, ok := c.snapshot.PoolService(pool)
	if !ok {
		return
	}
	c.queues.SetPoolOptions(pool, pomelofair.PoolOptions{CatchUp: service.CatchUp, MaxWaiting: service.MaxWaiting, MaxWaitingBytes: service.MaxWaitingBytes})
	c.asker.SetSpill(pool, pomeloslot.SpillOptions{DomainMargin: service.SpillDomain, RegionMargin: service.SpillRegion})
}

// publishTraffic gives the traffic path its view.
func (c *control) publishTraffic() {
	view := &trafficView{
		snapshot: c.snapshot,
		pools:    make(map[pomelorelay.PoolID][]*pomeloconfig.Upstream),
		left:     maps.Clone(c.left),
	}
	for _, u := range c.upstreams {
		view.pools[u.Pool()] = append(view.pools[u.Pool()], u)
	}
	c.n.traffic.Store(view)
}

// longestRetention returns how long claims must be kept: a shard holds claims of every service.
func longestRetention(s *pomeloconfig.Snapshot) time.Duration {
	var longest time.Duration
	for _, service := range s.Services() {
		longest = max(longest, service.Retention)
	}
	return longest
}
