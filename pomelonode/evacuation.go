package pomelonode

import (
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// applyEvacuations starts and ends evacuations according to the active configuration. The upstreams of an evacuated failure domain get no
// new work, as if they were leaving; their running requests continue.
func (c *control) applyEvacuations(now time.Time) {
	domains := c.snapshot.Evacuated()
	for _, d := range domains {
		if !slices.Contains(c.evacuated, d) {
			c.n.log(pomelorelay.EventDomainEvacuated, field("Domain", string(d)), field("Generation", uint64(c.snapshot.Generation())))
		}
	}
	ended := slices.DeleteFunc(slices.Clone(c.evacuated), func(d pomelorelay.DomainID) bool { return slices.Contains(domains, d) })
	c.evacuated = domains
	for id, u := range c.upstreams {
		switch {
		case slices.Contains(domains, u.FailureDomain) && !c.leaving[id]:
			c.markLeaving(id)
		case slices.Contains(ended, u.FailureDomain) && c.leaving[id] && !c.n.listedLeaving(id):
			c.markStaying(now, id)
		}
	}
	for _, d := range ended {
		c.n.log(pomelorelay.EventDomainRestored, field("Domain", string(d)), field("Generation", uint64(c.snapshot.Generation())))
	}
}

// isEvacuated reports whether an upstream is in an evacuated failure domain.
func (c *control) isEvacuated(id pomelorelay.UpstreamID) bool {
	u := c.upstreams[id]
	return u != nil && slices.Contains(c.evacuated, u.FailureDomain)
}
