package pomelowarmup

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// DefaultHolders is the default of Config.Holders, the number of routers that may send to a cold upstream. With only one holder, its failure
// would leave no router that may send to the upstream.
const DefaultHolders = 2

const (
	// boundFraction is the fraction of a cold upstream's request limit that its holders, the routers that may send to it, use together. The
	// remainder covers routers that compute different holders, for example just after the registrations have changed.
	boundFraction = 0.5
	// steadyFraction is the fraction of a router's part of the limit that refills its token bucket each second; the remainder is the burst.
	steadyFraction = 0.5
	// suspectDuration is how long an upstream that accepted no connection counts as possibly restarted, unless newer information arrives. The
	// routers that may send to cold upstreams try it again within that time.
	suspectDuration = 4 * time.Second
)

// Config holds the settings of a Gate.
type Config struct {
	Self pomelorelay.Peer
	// Regions maps each failure domain to its region.
	Regions map[pomelorelay.DomainID]pomelorelay.RegionID
	// Bounds determines the request limit of a cold upstream from the request rate that its service is configured to accept while cold.
	Bounds pomelorelay.ColdBounds
	// Holders is the number of routers that may send to a cold upstream, each within an equal part of its request limit; DefaultHolders when
	// zero.
	Holders int
}

// coldSpec is the configuration of a service's cold upstreams.
type coldSpec struct {
	// duration is how long an upstream is cold after a start; if zero, only upstreams that register as cold are.
	duration time.Duration
	// bound is the maximum number of requests that the fleet may send to a cold upstream in any second.
	bound float64
}

// bucket returns the rate, in requests per second, and the burst of the token bucket of each holder, a router that may send to a cold upstream.
func (s coldSpec) bucket(holders int) (rate, burst float64) {
	perHolder := boundFraction * s.bound / float64(holders)
	return steadyFraction * perHolder, max(1, (1-steadyFraction)*perHolder)
}
