package pomelorelay

import (
	"net/netip"
	"time"
)

// FleetSettings holds the settings that a router process reads from the platform at its start.
type FleetSettings struct {
	// Self is this router; its address is the one that other routers connect to.
	Self    Peer
	Regions map[DomainID]RegionID
	// Seeds are addresses of routers to contact first; they may include routers that are gone, and this one.
	Seeds []netip.AddrPort
	// Listen addresses for callers' requests, for readiness checks and for metrics.
	Callers   netip.AddrPort
	Readiness netip.AddrPort
	Metrics   netip.AddrPort
	// Store is the address of the platform's store.
	Store netip.AddrPort
	// Memory is the memory limit of the process.
	Memory Bytes
	// MaxFDs is the maximum number of open file descriptors of the process.
	MaxFDs int
	// StopWait is the time between the stop signal and the killing of the process.
	StopWait time.Duration
	// DrainWait is the time after which an upstream that announced its departure must get no more requests.
	DrainWait time.Duration
	// ConfigWait is the time within which a new configuration must be in force on all routers.
	ConfigWait time.Duration
	// RetryRatio and RetrySlack limit the fleet's retries of a service's requests, to a fraction of the requests plus a constant.
	RetryRatio float64
	RetrySlack float64
	// Cold limits the requests that the fleet sends to cold upstreams.
	Cold ColdBounds
	// ShareWindow is the time window over which accounts' shares of the engines are computed.
	ShareWindow time.Duration
}
