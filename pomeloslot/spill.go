package pomeloslot

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// reach says how far demand is carried: every owner up to the distance, and beyond it those whose last granted tag is
// above the margins.
type reach struct {
	distance pomelorelay.LinkClass
	domain   pomelorelay.Tag
	region   pomelorelay.Tag
	// domainIdle and regionIdle tell whether idle slots further away may be used.
	domainIdle, regionIdle bool
}

// reach finds how far a pool's demand goes now: slots idle nearby are used first, then those of the region, then, when
// enough waits, those beyond; without a usable owner nearby the next distance counts as near.
func (a *Requester) reach(now time.Time, p *askerPool) reach {
	var known, idle [pomelorelay.LinkClassCount]bool
	highest := pomelorelay.Tag(0)
	for _, w := range p.owners {
		if !a.usable(now, w) {
			continue
		}
		known[w.distance] = true
		idle[w.distance] = idle[w.distance] || w.idle > 0
		if w.distance == pomelorelay.LinkSameDomain {
			highest = max(highest, w.digest.LastTag)
		}
	}
	r := reach{domain: highest + p.spill.DomainMargin, region: highest + p.spill.RegionMargin}
	r.domainIdle = !idle[pomelorelay.LinkSameDomain]
	enough := p.demand.Waiting >= p.spill.RegionIdleWaiting
	r.regionIdle = r.domainIdle && !idle[pomelorelay.LinkSameRegion] && enough
	for r.distance < pomelorelay.LinkCrossRegion && !known[r.distance] {
		r.distance++
	}
	return r
}

// allows reports whether an owner beyond the distance is worth its longer way.
func (r reach) allows(w *owned) bool {
	if w.distance == pomelorelay.LinkSameRegion {
		return r.domainIdle && w.idle > 0 || w.digest.LastTag > r.domain
	}
	return r.regionIdle && w.idle > 0 || w.digest.LastTag > r.region
}
