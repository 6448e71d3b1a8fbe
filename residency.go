package pomelorelay

import (
	"slices"
	"strings"
)

// Residency is the set of regions in which a request may be served, cached and copied; the zero value allows all regions.
type Residency struct {
	// Restricted restricts the request to Regions; if Regions is empty, no region is allowed.
	Restricted bool
	Regions    []RegionID
}

// NewResidency returns the Residency for a list of allowed regions; an empty list allows all regions.
func NewResidency(regions []RegionID) Residency {
	if len(regions) == 0 {
		return Residency{}
	}
	return Residency{Restricted: true, Regions: slices.Clone(regions)}
}

// Allows reports whether the region is allowed; a restricted Residency does not allow the empty name, which stands for an unknown region.
func (r Residency) Allows(region RegionID) bool {
	return !r.Restricted || (region != "" && slices.Contains(r.Regions, region))
}

// Intersect returns the intersection of two residencies.
func (r Residency) Intersect(o Residency) Residency {
	if !r.Restricted {
		return o
	}
	if !o.Restricted {
		return r
	}
	common := Residency{Restricted: true}
	for _, region := range r.Regions {
		if o.Allows(region) {
			common.Regions = append(common.Regions, region)
		}
	}
	return common
}

// String returns the allowed regions separated by spaces, for log lines; it is empty if all regions are allowed.
func (r Residency) String() string {
	names := make([]string, 0, len(r.Regions))
	for _, region := range r.Regions {
		names = append(names, string(region))
	}
	return strings.Join(names, " ")
}

// Empty reports whether no region is allowed.
func (r Residency) Empty() bool { return r.Restricted && len(r.Regions) == 0 }
