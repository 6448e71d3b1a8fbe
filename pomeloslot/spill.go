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
func (a *Asker) spillRange(now time.Time, p *poolState) spillRange {
	var known, idle [pomelorelay.LinkClasses]bool
	highest := pomelorelay.Tag(0)
	for _, w := range p.upstreams {
		if !a.available(now, w) {
			continue
		}
		known[w.distance] = true
		idle[w.distance] = idle[w.distance] || w.idle > 0
		if w.distance == pomelorelay.LinkDomain {
			highest = max(highest, w.digest.LastTag)
		}
	}
	r := spillRange{domainThreshold: highest + p.spill.DomainMargin, regionThreshold: highest + p.spill.RegionMargin}
	r.useDomainIdle = !idle[pomelorelay.LinkDomain]
	enoughWaiting := p.demand.Waiting >= p.spill.RegionMinWaiting
	r.useRegionIdle = r.useDomainIdle && !idle[pomelorelay.LinkRegion] && enoughWaiting
	for r.maxDistance < pomelorelay.LinkCross && !known[r.maxDistance] {
		r.maxDistance++
	}
	return r
}

// allows reports whether an owner beyond the distance is worth its longer way.
func (r spillRange) allows(w *remoteUpstream) bool {
	if w.distance == pomelorelay.LinkRegion {
		return r.useDomainIdle && w.idle > 0 || w.digest.LastTag > r.domainThreshold
	}
	return r.useRegionIdle && w.idle > 0 || w.digest.LastTag > r.regionThreshold
}
