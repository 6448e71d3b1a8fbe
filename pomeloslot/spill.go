package pomeloslot

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// spillRange selects the upstreams that a pool's demand may use: all up to maxDistance, and more distant ones whose last
// granted tag is above the threshold of their distance or whose idle slots may be used.
type spillRange struct {
	maxDistance     pomelorelay.LinkClass
	domainThreshold pomelorelay.Tag
	regionThreshold pomelorelay.Tag
	// useDomainIdle and useRegionIdle allow the use of idle slots in other domains of the region and in other regions,
	// respectively.
	useDomainIdle, useRegionIdle bool
}

// spillRange returns the current spill range of a pool. Idle slots are used in the local domain first, then in other
// domains of the region, and in other regions only if enough requests wait. maxDistance is the nearest distance with an
// available upstream.
func (r *Requester) spillRange(now time.Time, p *poolState) spillRange {
	var known, idle [pomelorelay.LinkClassCount]bool
	highest := pomelorelay.Tag(0)
	for _, u := range p.upstreams {
		if !r.available(now, u) {
			continue
		}
		known[u.distance] = true
		idle[u.distance] = idle[u.distance] || u.idle > 0
		if u.distance == pomelorelay.LinkSameDomain {
			highest = max(highest, u.digest.LastTag)
		}
	}
	result := spillRange{domainThreshold: highest + p.spill.DomainMargin, regionThreshold: highest + p.spill.RegionMargin}
	result.useDomainIdle = !idle[pomelorelay.LinkSameDomain]
	enoughWaiting := p.demand.Waiting >= p.spill.RegionMinWaiting
	result.useRegionIdle = result.useDomainIdle && !idle[pomelorelay.LinkSameRegion] && enoughWaiting
	for result.maxDistance < pomelorelay.LinkCrossRegion && !known[result.maxDistance] {
		result.maxDistance++
	}
	return result
}

// allows reports whether demand may use an upstream that is farther than maxDistance.
func (r spillRange) allows(u *remoteUpstream) bool {
	if u.distance == pomelorelay.LinkSameRegion {
		return r.useDomainIdle && u.idle > 0 || u.digest.LastTag > r.domainThreshold
	}
	return r.useRegionIdle && u.idle > 0 || u.digest.LastTag > r.regionThreshold
}
