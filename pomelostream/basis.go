package pomelostream

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Basis is why a resumed stream may continue at a version, or why its version is unknown.
type Basis string

// Values of Basis.
const (
	// BasisNone means that the stream is not resumed.
	BasisNone Basis = ""
	// BasisAnswer means that the first event of the same answer came from an upstream of the version.
	BasisAnswer Basis = "Answer"
	// BasisOrigin means that a router reported at which version the stream began.
	BasisOrigin Basis = "Origin"
	// BasisOnlyVersion means that the origin is unknown and the service has had one version for as long as streams may be resumed.
	BasisOnlyVersion Basis = "OnlyVersion"
	// BasisSeveralVersions means that the origin is unknown and the service has, or had lately, several versions.
	BasisSeveralVersions Basis = "SeveralVersions"
	// BasisUnconfirmed means that the origin is unknown and a read of the store that began after the request arrived is missing: versions may be news to
	// the router.
	BasisUnconfirmed Basis = "Unconfirmed"
	// BasisReplaced means that the upstream at which the stream began has been registered with another version since.
	BasisReplaced Basis = "Replaced"
	// BasisRecent means that the origin is unknown and the router has not known the versions for as long as streams may be resumed.
	BasisRecent Basis = "Recent"
)

// Known reports whether the stream may continue.
func (b Basis) Known() bool {
	switch b {
	case BasisSeveralVersions, BasisUnconfirmed, BasisReplaced, BasisRecent:
		return false
	}
	return true
}

// Evidence is what a router knew when it decided at which version a resumed stream may continue.
type Evidence struct {
	Basis       Basis
	OriginNamed bool
	// Version is the version at which the stream must continue, unless it is unknown.
	Version pomelorelay.SoftwareVersion
	// Versions is the number of versions that the service has, or had within the time for which streams may be resumed.
	Versions int
	// KnownFor is how long the router has known all versions.
	KnownFor time.Duration
	// ReadAge is the time since the read of the store that produced the router's list of upstreams, LastMessageAge that since the last message of another
	// router; negative if there was none.
	ReadAge, LastMessageAge time.Duration
}
