package pomeloentry

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloforward"
	"github.com/pomelorelay/pomelorelay/pomeloplace"
)

// Events of one stream must come from upstreams of one software version, and upstreams do not check this. Each router remembers at which
// version streams began and tells the others in its load reports, because callers resume streams at any router, also after the first
// one has failed.

// unknownVersionRetryAfter is the Retry-After of a resumed stream whose origin is unknown: two intervals of load reports, in which a report on
// its way may arrive.
const unknownVersionRetryAfter = 2 * directReportInterval

// defaultResumeWindow is the time within which callers may resume a stream while the configuration bounds it with no timeout.
const defaultResumeWindow = time.Minute

// resumeWindow returns the longest time within which callers may resume a stream.
func (c *control) resumeWindow() time.Duration {
	window := time.Duration(0)
	if c.config == nil {
		return defaultResumeWindow
	}
	for i := range c.config.Routes {
		route := &c.config.Routes[i]
		if route.Kind != pomelorelay.RouteStream || !route.Resumable {
			continue
		}
		if route.Timeout <= 0 {
			return defaultResumeWindow
		}
		window = max(window, route.Timeout)
	}
	return window
}

// fixVersion sets the version at which a resumed stream must continue. It returns false if that version is unknown and the service has
// upstreams of several.
func (c *control) fixVersion(now time.Time, req *pomeloforward.PlacementRequest, r *pomeloplace.Request) bool {
	if !req.Stream.Resumed || r.VersionFixed {
		return true
	}
	if req.Stream.OriginNamed {
		if version, known := c.streams.Version(req.Stream.Origin); known {
			r.Version, r.VersionFixed = version, true
			return true
		}
	}
	return !c.versions.Several(now, r.Service, c.resumeWindow())
}

// recordOrigin records the version at which a resumable stream began.
func (c *control) recordOrigin(now time.Time, stream pomeloforward.StreamProgress, version pomelorelay.SoftwareVersion) {
	if !stream.Resumable || !stream.OriginNamed {
		return
	}
	c.streams.Record(now, pomelorelay.StreamOrigin{Stream: stream.Origin, Version: version, TimeLeft: stream.TimeLeft})
}
