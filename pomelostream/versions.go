package pomelostream

import (
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Versions tracks which software versions of each service there are, or were until lately.
type Versions struct {
	// present counts the upstreams of each version; leftAt is when the last one of a version was removed.
	present map[serviceVersion]int
	leftAt  map[serviceVersion]time.Time
}

type serviceVersion struct {
	service pomelorelay.ServiceID
	version pomelorelay.SoftwareVersion
}

// NewVersions returns Versions without upstreams.
func NewVersions() *Versions {
	return &Versions{present: make(map[serviceVersion]int), leftAt: make(map[serviceVersion]time.Time)}
}

// Add records a registered upstream.
func (v *Versions) Add(u pomelorelay.FleetUpstream) {
	v.present[serviceVersion{u.Service, u.Version}]++
}

// Remove records that an upstream is no longer registered.
func (v *Versions) Remove(now time.Time, u pomelorelay.FleetUpstream) {
	key := serviceVersion{u.Service, u.Version}
	if v.present[key]--; v.present[key] <= 0 {
		delete(v.present, key)
		v.leftAt[key] = now
	}
}

// Seen returns the versions that have upstreams, or had one within the given time before now.
func (v *Versions) Seen(now time.Time, within time.Duration) []pomelorelay.VersionSeen {
	var seen []pomelorelay.VersionSeen
	for key := range v.present {
		seen = append(seen, pomelorelay.VersionSeen{Service: key.service, Version: key.version})
	}
	for key, at := range v.leftAt {
		if ago := now.Sub(at); ago <= within && v.present[key] == 0 {
			seen = append(seen, pomelorelay.VersionSeen{Service: key.service, Version: key.version, Ago: ago})
		}
	}
	return seen
}

// Merge records versions that were seen by another router, or whose upstreams came and went between two reads.
func (v *Versions) Merge(now time.Time, seen []pomelorelay.VersionSeen) {
	for _, s := range seen {
		key, at := serviceVersion{s.Service, s.Version}, now.Add(-s.Ago)
		if at.After(v.leftAt[key]) {
			v.leftAt[key] = at
		}
	}
}

// Several reports whether a service has, or had within the given time before now, upstreams of more than one version.
func (v *Versions) Several(now time.Time, service pomelorelay.ServiceID, within time.Duration) bool {
	n, _ := v.Count(now, within, service)
	return n > 1
}

// Count returns the number of versions of which the services have, or had within the given time before now, upstreams, and one of these versions.
func (v *Versions) Count(now time.Time, within time.Duration, services ...pomelorelay.ServiceID) (int, pomelorelay.SoftwareVersion) {
	found := make(map[pomelorelay.SoftwareVersion]bool)
	version := pomelorelay.SoftwareVersion("")
	add := func(key serviceVersion) {
		if slices.Contains(services, key.service) {
			found[key.version], version = true, key.version
		}
	}
	for key := range v.present {
		add(key)
	}
	for key, at := range v.leftAt {
		if now.Sub(at) > within {
			delete(v.leftAt, key)
			continue
		}
		add(key)
	}
	return len(found), version
}
