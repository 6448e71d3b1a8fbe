package pomeloslot

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// spillRange says how far demand is carried: every owner up to the distance, and beyond it those whose last granted tag is
// above the margins.
type spillRange struct {
	maxDistance     pomelorelay.LinkClass
	domainThreshold pomelorelay.Tag
	regionThreshold pomelorelay.Tag
	// useDomainIdle and regionIdle tell whether idle slots further away may be used.
	useDomainIdle, useRegionIdle bool
}

// spillRange finds how far a pool's demand goes now: slots idle nearby are used first, then those of the region, then, when
// enough waits, those beyond; without a usable owner nearby the next distance counts as near.
func (r *Asker) spillRange(now time.Time, p *poolState) spillRange {
	var known, idle [pomelorelay.LinkClasses]bool
	highest := pomelorelay.Tag(0)
	for _, u := range p.upstreams {
		if !r.available(now, u) {
			continue
		}
		known[u.distance] = true
		idle[u.distance] = idle[u.distance] || u.idle > 0
		if u.distance == pomelorelay.LinkDomain {
			highest = max(highest, u.digest.LastTag)
		}
	}
	result := spillRange{domainThreshold: highest + p.spill.DomainMargin, regionThreshold: highest + p.spill.RegionMargin}
	result.useDomainIdle = !idle[pomelorelay.LinkDomain]
	enoughWaiting := p.demand.Waiting >= p.spill.RegionMinWaiting
	result.useRegionIdle = result.useDomainIdle && !idle[pomelorelay.LinkRegion] && enoughWaiting
	for result.maxDistance < pomelorelay.LinkCross && !known[result.maxDistance] {
		result.maxDistance++
	}
	return result
}

// allows reports whether an owner beyond the distance is worth its longer way.
func (r spillRange) allows(u *remoteUpstream) bool {
	if u.distance == pomelorelay.LinkRegion {
		return r.useDomainIdle && u.idle > 0 || u.digest.LastTag > r.domainThreshold
	}
	return r.useRegionIdle && u.idle > 0 || u.digest.LastTag > r.regionThreshold
}
