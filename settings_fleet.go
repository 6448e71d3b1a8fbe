package pomelorelay

import (
	"net/netip"
	"time"
)

// FleetSettings is what a process of the fleet learns at its start from the platform it runs on.
type FleetSettings struct {
	// Self is this router; its address is where other routers reach it.
	Self    Peer
	Regions map[DomainID]RegionID
	// Seeds are addresses of routers, perhaps of some that are gone or of this one.
	Seeds []netip.AddrPort
	// CallerAddr, Readiness and Metrics are the addresses to listen on.
	CallerAddr   netip.AddrPort
	ReadinessAddr netip.AddrPort
	MetricsAddr   netip.AddrPort
	// StoreAddr is the address of the platform's store.
	StoreAddr netip.AddrPort
	// MemoryLimit is the most that the process may use.
	MemoryLimit Bytes
	// MaxFDs is the most file descriptors that the process may have.
	MaxFDs int
	// StopTimeout is the time from the signal to stop until the process is killed.
	StopTimeout time.Duration
	// DrainTimeout is the time after which an upstream that said it leaves must get no more requests.
	DrainTimeout time.Duration
	// ConfigApplyTimeout is the time within which a configuration is in force on every router.
	ConfigApplyTimeout time.Duration
	// RetryRatio and RetrySlack bound what the whole fleet sends again of one service's requests: a ratio of them, and a slack.
	RetryRatio float64
	RetrySlack float64
	// ColdBounds bounds what the whole fleet sends to cold upstreams.
	ColdBounds ColdBounds
	// ShareWindow is the time over which accounts' shares of the engines are reckoned.
	ShareWindow time.Duration
}
