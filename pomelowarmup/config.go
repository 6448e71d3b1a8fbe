package pomelowarmup

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// DefaultHolders is the number of routers that hold parts of an upstream's bound: with one, its end would leave nobody.
const DefaultHolders = 2

const (
	// boundFraction is the part of the bound that the holders use together. The rest is for routers that take others for the holders, as when the
	// registrations have just changed.
	boundFraction = 0.5
	// steadyFraction is the part of that which comes evenly, the rest in bursts.
	steadyFraction = 0.5
	// suspectDuration is how long an upstream that took no connection counts as one that may have started anew, unless something is learnt of it. The
	// holders try it again within that time.
	suspectDuration = 4 * time.Second
)

// Config holds what a Gate needs.
type Config struct {
	Self pomelorelay.Peer
	// Regions gives the region of each failure domain.
	Regions map[pomelorelay.DomainID]pomelorelay.RegionID
	// Bounds are what cold upstreams of each service accept beyond the services' own figures.
	Bounds pomelorelay.ColdBounds
	// Holders is the number of routers that hold parts of an upstream's bound; DefaultHolders when zero.
	Holders int
}

// coldSpec is what the configuration says of a service's cold upstreams.
type coldSpec struct {
	// duration is how long an upstream is cold after a start; zero where upstreams are not, unless one says so itself.
	duration time.Duration
	// bound is the most requests that the fleet may send to a cold upstream in any second.
	bound float64
}

// bucket returns the rate, in requests a second, and the burst of each of so many holders.
func (s coldSpec) bucket(holders int) (rate, burst float64) {
	perHolder := boundFraction * s.bound / float64(holders)
	return steadyFraction * perHolder, max(1, (1-steadyFraction)*perHolder)
}
