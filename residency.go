package pomelorelay

import (
	"slices"
	"strings"
)

// Residency says in which regions a request may be served, kept and copied; the zero value allows every region.
type Residency struct {
	// Restricted tells that only Regions are allowed; without any, none is.
	Restricted bool
	Regions []RegionID
}

// NewResidency returns the residency of a list of allowed regions, where an empty list allows every region.
func NewResidency(regions []RegionID) Residency {
	if len(regions) == 0 {
		return Residency{}
	}
	return Residency{Restricted: true, Regions: slices.Clone(regions)}
}

// Allows reports whether the region is allowed; a limited residency does not allow the empty name of an unknown region.
func (r Residency) Allows(region RegionID) bool {
	return !r.Restricted || (region != "" && slices.Contains(r.Regions, region))
}

// Intersect returns the residency under which both hold.
func (r Residency) Intersect(o Residency) Residency {
	if !r.Restricted {
		return o
	}
	if !o.Restricted {
		return r
	}
	both := Residency{Restricted: true}
	for _, region := range r.Regions {
		if o.Allows(region) {
			both.Regions = append(both.Regions, region)
		}
	}
	return both
}

// String returns the allowed regions for a log line, empty where all are allowed.
func (r Residency) String() string {
	names := make([]string, 0, len(r.Regions))
	for _, region := range r.Regions {
		names = append(names, string(region))
	}
	return strings.Join(names, " ")
}

// Empty reports whether no region is allowed.
func (r Residency) Empty() bool { return r.Restricted && len(r.Regions) == 0 }
