package pomelostream

import (
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Versions tracks which software versions of each service there are, or were until lately.
type Versions struct {
	// present counts the upstreams of each version; left holds the versions that have none any more.
	present map[serviceVersion]int
	left    map[serviceVersion]departure
	// applied is the store revision up to which all routers are known to have applied the changes.
	applied pomelorelay.Revision
}

// departure is the end of a version. While a router may not have applied the removal of its last upstream, that router begins streams there, and the version
// counts as if it were present.
type departure struct {
	// at is when all routers were known to have applied the changes up to the revision.
	at       time.Time
	revision pomelorelay.Revision
}

type serviceVersion struct {
	service pomelorelay.ServiceID
	version pomelorelay.SoftwareVersion
}

// NewVersions returns Versions without upstreams.
func NewVersions() *Versions {
	return &Versions{present: make(map[serviceVersion]int), left: make(map[serviceVersion]departure)}
}

// Add records a registered upstream.
func (v *Versions) Add(u pomelorelay.FleetUpstream) {
	v.present[serviceVersion{u.Service, u.Version}]++
}

// Remove records that an upstream is no longer registered at a revision of the store.
func (v *Versions) Remove(now time.Time, revision pomelorelay.Revision, u pomelorelay.FleetUpstream) {
	key := serviceVersion{u.Service, u.Version}
	if v.present[key]--; v.present[key] <= 0 {
		delete(v.present, key)
		v.left[key] = departure{now, revision}
	}
}

// SetApplied records the store revision up to which all routers are known to have applied the changes. Versions that left by then count for as long as the
// callers of Seen and Count say from now on.
func (v *Versions) SetApplied(now time.Time, revision pomelorelay.Revision) {
	if revision <= v.applied {
		return
	}
	for key, d := range v.left {
		if v.held(d) && d.revision <= revision {
			v.left[key] = departure{now, d.revision}
		}
	}
	v.applied = revision
}

// held reports whether a router may not have applied the removal of a version's last upstream.
func (v *Versions) held(d departure) bool { return d.revision > v.applied }

// age returns the time since a version has left; zero while a router may use it.
func (v *Versions) age(now time.Time, d departure) time.Duration {
	if v.held(d) {
		return 0
	}
	return now.Sub(d.at)
}

// Seen returns the versions that have upstreams, or had one within the given time before now.
func (v *Versions) Seen(now time.Time, within time.Duration) []pomelorelay.VersionSeen {
	var seen []pomelorelay.VersionSeen
	for key := range v.present {
		seen = append(seen, pomelorelay.VersionSeen{Service: key.service, Version: key.version})
	}
	for key, d := range v.left {
		if ago := v.age(now, d); ago <= within && v.present[key] == 0 {
			seen = append(seen, pomelorelay.VersionSeen{Service: key.service, Version: key.version, Ago: ago})
		}
	}
	return seen
}

// Merge records versions that were seen by another router, or whose upstreams came and went between two reads, up to a revision of the store.
func (v *Versions) Merge(now time.Time, revision pomelorelay.Revision, seen []pomelorelay.VersionSeen) {
	for _, s := range seen {
		key, at := serviceVersion{s.Service, s.Version}, now.Add(-s.Ago)
		if at.After(v.left[key].at) {
			v.left[key] = departure{at, max(revision, v.left[key].revision)}
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
	for key, d := range v.left {
		if v.age(now, d) > within {
			delete(v.left, key)
			continue
		}
		add(key)
	}
	return len(found), version
}
