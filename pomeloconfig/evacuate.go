package pomeloconfig

import (
	"slices"

	"github.com/pomelorelay/pomelorelay"
)

// Evacuate starts the evacuation of a failure domain, or ends it if cancel is set. It returns CodeConfigInvalid for an unknown
// domain and when there is nothing to change.
func (c *Configuration) Evacuate(domain pomelorelay.DomainID, cancel bool) error {
	known := slices.ContainsFunc(c.Regions, func(r Region) bool { return slices.Contains(r.FailureDomains, domain) })
	at := slices.Index(c.Evacuated, domain)
	switch {
	case !known:
		return evacuateError("no region has the failure domain " + quote(string(domain)))
	case cancel && at < 0:
		return evacuateError("the failure domain " + quote(string(domain)) + " is not under evacuation")
	case cancel:
		c.Evacuated = slices.Delete(slices.Clone(c.Evacuated), at, at+1)
	case at >= 0:
		return evacuateError("the failure domain " + quote(string(domain)) + " is already under evacuation")
	default:
		c.Evacuated = append(slices.Clone(c.Evacuated), domain)
	}
	return nil
}

func evacuateError(detail string) error {
	return pomelorelay.NewError(pomelorelay.CodeConfigInvalid, detail, nil)
}

// Evacuated returns the failure domains whose upstreams get no new requests; the caller must not modify the slice.
func (s *Snapshot) Evacuated() []pomelorelay.DomainID { return s.evacuated }
