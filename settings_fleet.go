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
	// Seeds are addresses of routers to contact first; they may include routers that are gone, and this router.
	Seeds []netip.AddrPort
	// CallerAddr, ReadinessAddr and MetricsAddr are the listen addresses for callers' requests, readiness checks and metrics.
	CallerAddr    netip.AddrPort
	ReadinessAddr netip.AddrPort
	MetricsAddr   netip.AddrPort
	// StoreAddr is the address of the platform's store.
	StoreAddr netip.AddrPort
	// MemoryLimit is the memory limit of the process.
	MemoryLimit Bytes
	// MaxFDs is the maximum number of open file descriptors of the process.
	MaxFDs int
	// StopTimeout is the time between the stop signal and the killing of the process.
	StopTimeout time.Duration
	// DrainTimeout is the time after which an upstream that announced its departure must get no more requests.
	DrainTimeout time.Duration
	// ConfigApplyTimeout is the time within which a new configuration must be in force on all routers.
	ConfigApplyTimeout time.Duration
	// RetryRatio and RetrySlack limit the number of the fleet's retries of a service's requests to RetryRatio times the number of requests
	// plus RetrySlack.
	RetryRatio float64
	RetrySlack float64
	// ColdBounds limits the number of requests per second that the fleet sends to a cold (recently started) upstream.
	ColdBounds ColdBounds
	// ShareWindow is the time window over which accounts' shares of the engines are computed.
	ShareWindow time.Duration
}
