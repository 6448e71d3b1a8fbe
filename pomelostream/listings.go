package pomelostream

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Listings tracks the software versions with which upstreams are registered. An upstream that starts again may keep its ID and address; until its new
// registration is read, streams that begin at it are recorded at its former version.
type Listings struct {
	upstreams map[pomelorelay.UpstreamHash]*listing
}

// listing holds the changes of an upstream's version, the last one first. leftAt is when the upstream was removed; zero while it is registered.
type listing struct {
	changes []versionChange
	leftAt  time.Time
}

type versionChange struct {
	version pomelorelay.SoftwareVersion
	at      time.Time
}

// NewListings returns Listings without upstreams.
func NewListings() *Listings {
	return &Listings{upstreams: make(map[pomelorelay.UpstreamHash]*listing)}
}

// Put records a registered upstream.
func (l *Listings) Put(now time.Time, u pomelorelay.FleetUpstream) {
	entry := l.upstreams[u.ID.Hash()]
	if entry == nil {
		entry = &listing{}
		l.upstreams[u.ID.Hash()] = entry
	}
	entry.leftAt = time.Time{}
	if len(entry.changes) == 0 || entry.changes[0].version != u.Version {
		entry.changes = append([]versionChange{{u.Version, now}}, entry.changes...)
	}
}

// Remove records that an upstream is no longer registered.
func (l *Listings) Remove(now time.Time, id pomelorelay.UpstreamID) {
	if u := l.upstreams[id.Hash()]; u != nil {
		u.leftAt = now
	}
}

// Expire forgets what lies further back than the given time, except the last version of each registered upstream.
func (l *Listings) Expire(now time.Time, within time.Duration) {
	for hash, u := range l.upstreams {
		if !u.leftAt.IsZero() && now.Sub(u.leftAt) > within {
			delete(l.upstreams, hash)
			continue
		}
		for n := len(u.changes) - 1; n > 0 && now.Sub(u.changes[n].at) > within; n-- {
			u.changes = u.changes[:n]
		}
	}
}

// replaced reports whether an upstream is registered, or was registered after the given time, with another version.
func (l *Listings) replaced(upstream pomelorelay.UpstreamHash, version pomelorelay.SoftwareVersion, since time.Time) bool {
	u := l.upstreams[upstream]
	if u == nil {
		return false
	}
	for i, c := range u.changes {
		if c.version != version && (i == 0 || c.at.After(since)) {
			return true
		}
	}
	return false
}
