package pomelostream

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Coverage is the span of time in which no version can have been in the platform's store without the router knowing it. Changes after the router's own
// last read may be missing, however recent the messages of other routers are: they may lack the same changes.
type Coverage struct {
	since time.Time
	// from and upTo are the store revisions between which the router has read all changes.
	from, upTo pomelorelay.Revision
	// confirmed is set once all routers are known to have applied the changes up to from, or another router's span was adopted. Until then, held is set:
	// a router may begin streams at versions that left before the span.
	confirmed, held bool
	// adoptedSince and adoptedUpTo are the span that another router reported.
	adoptedSince time.Time
	adoptedUpTo  pomelorelay.Revision
	// readAt is when the last read began that the span includes, in time since a fixed moment.
	readAt time.Duration
}

// NewCoverage returns the Coverage of a router that has read nothing.
func NewCoverage(now time.Time) *Coverage { return &Coverage{since: now, readAt: -time.Hour} }

// Begin begins the span with a complete state of the store, unless it has begun.
func (c *Coverage) Begin(now time.Time, at pomelorelay.Revision) {
	if c.upTo == 0 {
		c.Restart(now, at)
	}
}

// Restart begins the span anew with a complete state of the store: what came and went before it is unknown.
func (c *Coverage) Restart(now time.Time, at pomelorelay.Revision) {
	c.since, c.from, c.upTo, c.confirmed = now, at, at, false
	c.extend()
}

// Advance extends the span by the changes between two revisions, unless changes before them are missing.
func (c *Coverage) Advance(after, at pomelorelay.Revision) {
	if after <= c.upTo {
		c.upTo = max(c.upTo, at)
	}
}

// SetApplied records the store revision up to which all routers are known to have applied the changes. The time in which versions are known does not begin
// before they have applied those before the span.
func (c *Coverage) SetApplied(now time.Time, revision pomelorelay.Revision) {
	if c.confirmed || c.upTo == 0 {
		return
	}
	if c.held = revision < c.from; !c.held {
		c.since, c.confirmed = now, true
	}
}

// UpTo returns the store revision at which the span ends; zero if it has not begun.
func (c *Coverage) UpTo() pomelorelay.Revision { return c.upTo }

// Adopt extends the span by that of another router, which has known all versions since a time and up to a revision. It reports whether that leaves no gap.
func (c *Coverage) Adopt(since time.Time, upTo pomelorelay.Revision) bool {
	c.adoptedSince, c.adoptedUpTo = since, upTo
	return c.extend()
}

func (c *Coverage) extend() bool {
	if c.adoptedUpTo == 0 || c.adoptedUpTo < c.from {
		return false
	}
	if c.held || c.adoptedSince.Before(c.since) {
		c.since = c.adoptedSince
	}
	c.confirmed, c.held = true, false
	return true
}

// Read records when a read of the store began that the span includes.
func (c *Coverage) Read(began time.Duration) { c.readAt = max(c.readAt, began) }

// Includes reports whether the span includes a read that began at or after the given time.
func (c *Coverage) Includes(at time.Duration) bool { return c.readAt >= at }

// KnownFor returns for how long all versions have been known.
func (c *Coverage) KnownFor(now time.Time) time.Duration {
	if c.held {
		return 0
	}
	return now.Sub(c.since)
}
