package pomeloentry

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloforward"
	"github.com/pomelorelay/pomelorelay/pomelostream"
)

// Events of one stream must come from upstreams of one software version, and upstreams do not check this. Each router remembers at which
// version streams began and tells the others in its load reports, because callers resume streams at any router, also after the first
// one has failed.

// unknownVersionRetryAfter is the Retry-After of a resumed stream whose origin is unknown: two intervals of load reports, in which a report on
// its way may arrive.
const unknownVersionRetryAfter = 2 * directReportInterval

// defaultResumeWindow is the time within which callers may resume a stream while the configuration bounds it with no timeout.
const defaultResumeWindow = time.Minute

const (
	// streamRequestInterval is the minimum time between two requests for the streams that other routers know.
	streamRequestInterval = time.Second
	// streamSettleTime is how long after its start a router goes on asking: until then some routers do not know it and do not report to it.
	streamSettleTime = 2 * time.Second
	// maxStreamsPerMessage bounds the streams in one message to a router that has started.
	maxStreamsPerMessage = 4096
)

// streams holds what this router knows of streams that callers may resume.
type streams struct {
	origins  *pomelostream.Origins
	versions *pomelostream.Versions
	listings *pomelostream.Listings
	coverage *pomelostream.Coverage
	check    versionCheck
	// startedAt is the router's start, requestedAt its last request for streams; told is set once another router has told them all after
	// streamSettleTime.
	startedAt   time.Time
	requestedAt time.Time
	told        bool
	// earlierWindow is the resume window of earlier configurations, which remains in force until earlierUntil.
	earlierWindow time.Duration
	earlierUntil  time.Time
	// earlierRoutes holds where resumable routes of earlier configurations sent to, with the time until which their streams may be resumed.
	earlierRoutes map[earlierRoute]time.Time
}

// earlierRoute is a service to which a route sent its requests.
type earlierRoute struct {
	host, prefix string
	service      pomelorelay.ServiceID
}

// overlaps reports whether requests of the route may have been requests of the earlier one.
func (e earlierRoute) overlaps(r *pomelorelay.Route) bool {
	return e.host == r.Host && (strings.HasPrefix(e.prefix, r.Prefix) || strings.HasPrefix(r.Prefix, e.prefix))
}

func newStreams(now time.Time) streams {
	return streams{
		origins: pomelostream.NewOrigins(now), versions: pomelostream.NewVersions(), listings: pomelostream.NewListings(), coverage: pomelostream.NewCoverage(now), startedAt: now,
		earlierRoutes: make(map[earlierRoute]time.Time),
	}
}

// requestStreams asks another router for the streams that began before this router started.
func (c *control) requestStreams(now time.Time) {
	s := &c.streams
	if s.told || now.Sub(s.requestedAt) < streamRequestInterval {
		return
	}
	to, ok := c.streamSource(now)
	if !ok {
		return
	}
	s.requestedAt = now
	c.send(to, &pomelorelay.StateAsk{Above: c.version(), Streams: true})
}

// streamSource returns the relay of this router's failure domain, or any other router if this one is the relay.
func (c *control) streamSource(now time.Time) (pomelorelay.NodeID, bool) {
	self := c.e.cfg.Settings.Self
	if relay, ok := c.relayOf(now, self.Domain); ok && relay != self.Node {
		return relay, true
	}
	// Each request may reach another router, because any single one may have started too.
	for node, p := range c.peers.byNode {
		if p.registered {
			return node, true
		}
	}
	return "", false
}

// sendStreams sends a router that has started the streams and versions that this router knows.
func (c *control) sendStreams(now time.Time, to pomelorelay.NodeID) {
	all := c.streams.origins.All(now)
	for len(all) > maxStreamsPerMessage {
		c.send(to, &pomelorelay.StreamState{Streams: all[:maxStreamsPerMessage]})
		all = all[maxStreamsPerMessage:]
	}
	c.send(to, &pomelorelay.StreamState{
		Streams: all, Versions: c.streams.versions.Seen(now, c.versionMemory(now)), KnownFor: c.streams.coverage.KnownFor(now), Revision: c.streams.coverage.UpTo(),
	})
}

func (c *control) applyStreamState(now time.Time, m *pomelorelay.StreamState) {
	s := &c.streams
	s.origins.Merge(now, m.Streams)
	s.versions.Merge(now, max(m.Revision, c.e.cursor.get()), m.Versions)
	if m.KnownFor <= 0 {
		return
	}
	complete := s.coverage.Adopt(now.Add(-m.KnownFor), m.Revision)
	// Earlier builds report no revision; asking them again gives no more.
	s.told = (complete || m.Revision == 0) && now.Sub(s.startedAt) >= streamSettleTime
}

// resumeWindow returns the longest time within which callers may resume a stream, also one that began under an earlier configuration. Callers may wait for
// longer than the route's timeout.
func (c *control) resumeWindow(now time.Time) time.Duration {
	if c.config == nil {
		return defaultResumeWindow
	}
	window := max(c.configuredWindow(), c.streams.origins.LongestWindow())
	if now.Before(c.streams.earlierUntil) {
		window = max(window, c.streams.earlierWindow)
	}
	return window
}

// versionMemory returns for how long a version counts once all routers know that its last upstream has left. Requests that were sent there before may begin
// their streams while it still serves, for DrainTimeout after its entry is removed.
func (c *control) versionMemory(now time.Time) time.Duration {
	return c.resumeWindow(now) + c.e.cfg.Settings.DrainTimeout
}

// keepResumable keeps the window and the resumable routes in force while streams that began before now may be resumed.
func (c *control) keepResumable(now time.Time) {
	if c.config == nil {
		return
	}
	s, window := &c.streams, c.resumeWindow(now)
	s.earlierWindow, s.earlierUntil = window, now.Add(window)
	maps.DeleteFunc(s.earlierRoutes, func(_ earlierRoute, until time.Time) bool { return !now.Before(until) })
	for i := range c.config.Routes {
		r := &c.config.Routes[i]
		if r.Kind != pomelorelay.RouteStream || !r.Resumable {
			continue
		}
		for _, share := range r.Shares {
			s.earlierRoutes[earlierRoute{r.Host, r.Prefix, share.Service}] = s.earlierUntil
		}
	}
}

// servicesOf returns the services at which the stream of a resumed request may have begun.
func (c *control) servicesOf(now time.Time, req *pomeloforward.PlacementRequest) []pomelorelay.ServiceID {
	services := []pomelorelay.ServiceID{req.Request.Service}
	if c.config == nil {
		return services
	}
	i := slices.IndexFunc(c.config.Routes, func(r pomelorelay.Route) bool { return r.Name == req.Route })
	if i < 0 {
		return services
	}
	route := &c.config.Routes[i]
	for _, share := range route.Shares {
		services = append(services, share.Service)
	}
	for earlier, until := range c.streams.earlierRoutes {
		if now.Before(until) && earlier.overlaps(route) {
			services = append(services, earlier.service)
		}
	}
	return services
}

func (c *control) configuredWindow() time.Duration {
	window := time.Duration(0)
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

// resumeEvidence returns at which version a request placed at the given time of the steady clock must continue its stream. The version is unknown if the
// stream may have begun at another one than the service has now: besides several versions, also at a router that has not known the versions for as long
// as streams may be resumed, because all routers that knew a version which has left since may have failed. It is unconfirmed until the router has read
// the store after the request came: upstreams serve only once they are in the store, so that no stream of the caller can have begun at a later version.
func (c *control) resumeEvidence(now time.Time, askedAt time.Duration, req *pomeloforward.PlacementRequest) pomelostream.Evidence {
	if !req.Stream.Resumed && !req.Request.VersionFixed {
		return pomelostream.Evidence{}
	}
	window := c.resumeWindow(now)
	versions, version := c.streams.versions.Count(now, c.versionMemory(now), c.servicesOf(now, req)...)
	ev := pomelostream.Evidence{
		OriginNamed: req.Stream.OriginNamed, Versions: versions, KnownFor: c.streams.coverage.KnownFor(now), ReadAge: c.e.storeReadAge(), LastMessageAge: c.peers.lastMessageAge(now),
	}
	origin, known, doubtful := pomelorelay.SoftwareVersion(""), false, false
	if req.Stream.OriginNamed {
		origin, known = c.streams.origins.Version(req.Stream.Origin)
		doubtful = c.streams.origins.Doubtful(req.Stream.Origin, c.streams.listings)
	}
	switch {
	case doubtful:
		ev.Basis = pomelostream.BasisReplaced
	case req.Request.VersionFixed:
		ev.Basis, ev.Version = pomelostream.BasisAnswer, req.Request.Version
	case known:
		ev.Basis, ev.Version = pomelostream.BasisOrigin, origin
	case versions > 1:
		ev.Basis = pomelostream.BasisSeveralVersions
	case ev.KnownFor < window:
		ev.Basis = pomelostream.BasisRecent
	case !c.streams.coverage.Includes(askedAt):
		ev.Basis = pomelostream.BasisUnconfirmed
	default:
		ev.Basis, ev.Version = pomelostream.BasisOnlyVersion, version
	}
	return ev
}

// versionRetryAfter returns the Retry-After of a resumed stream whose version is unknown. No report tells the version of a stream whose caller does not
// name its origin: it can continue only once the versions have been known for long enough.
func (c *control) versionRetryAfter(now time.Time, ev pomelostream.Evidence) time.Duration {
	switch {
	case ev.OriginNamed, ev.Basis == pomelostream.BasisUnconfirmed:
		return unknownVersionRetryAfter
	case ev.Basis == pomelostream.BasisRecent:
		return c.resumeWindow(now) - ev.KnownFor
	}
	return c.versionMemory(now)
}

// recordOrigin records the version at which a resumable stream began. It is certain if the process was confirmed to be the registered one.
func (c *control) recordOrigin(now time.Time, stream pomeloforward.StreamProgress, u pomelorelay.FleetUpstream, confirmed bool) {
	if !stream.Resumable || !stream.OriginNamed {
		return
	}
	origin := pomelorelay.StreamOrigin{Stream: stream.Origin, Version: u.Version, TimeLeft: stream.TimeLeft}
	if !confirmed {
		origin.Upstream = u.ID.Hash()
	}
	c.streams.origins.Record(now, origin)
}
