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
	// Callers, Readiness and Metrics are the addresses to listen on.
	Callers   netip.AddrPort
	Readiness netip.AddrPort
	Metrics   netip.AddrPort
	// Store is the address of the platform's store.
	Store netip.AddrPort
	// Memory is the most that the process may use.
	Memory Bytes
	// MaxFDs is the most file descriptors that the process may have.
	MaxFDs int
	// StopWait is the time from the signal to stop until the process is killed.
	StopWait time.Duration
	// DrainWait is the time after which an upstream that said it leaves must get no more requests.
	DrainWait time.Duration
	// ConfigWait is the time within which a configuration is in force on every router.
	ConfigWait time.Duration
	// RetryRatio and RetrySlack bound what the whole fleet sends again of one service's requests: a ratio of them, and a slack.
	RetryRatio float64
	RetrySlack float64
	// Cold bounds what the whole fleet sends to cold upstreams.
	Cold ColdBounds
	// ShareWindow is the time over which accounts' shares of the engines are reckoned.
	ShareWindow time.Duration
}
