package pomelowarmup

import (
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"

	"github.com/cespare/xxhash/v2"
)

// Gate limits one router's requests to cold upstreams; it is not safe for concurrent use.
type Gate struct {
	cfg   Config
	specs map[pomelorelay.ServiceID]coldSpec
	// routers are the registered routers of each region, including this one; routersVersion counts their changes.
	routers        map[pomelorelay.RegionID][]pomelorelay.NodeID
	routersVersion uint64
}

// New returns a Gate that knows no services and no other routers.
func New(cfg Config) *Gate {
	if cfg.Holders <= 0 {
		cfg.Holders = DefaultHolders
	}
	g := &Gate{cfg: cfg, specs: make(map[pomelorelay.ServiceID]coldSpec)}
	g.SetRouters(nil)
	return g
}

// SetServices replaces the configuration of the services.
func (g *Gate) SetServices(services []pomelorelay.ServiceSpec) {
	clear(g.specs)
	for _, s := range services {
		g.specs[s.Name] = coldSpec{duration: s.ColdPeriod, bound: g.cfg.Bounds.MaxRequests(s.ColdRate)}
	}
}

// SetRouters replaces the list of the other registered routers.
func (g *Gate) SetRouters(others []pomelorelay.Peer) {
	g.routersVersion++
	g.routers = make(map[pomelorelay.RegionID][]pomelorelay.NodeID)
	for _, p := range append(slices.Clone(others), g.cfg.Self) {
		g.routers[p.Region] = append(g.routers[p.Region], p.Node)
	}
}

// isHolder reports whether this router is one of the holders of the upstream, which may send to it while it is cold.
func (g *Gate) isHolder(u *Upstream) bool {
	if u.holderVersion != g.routersVersion {
		u.holderVersion, u.holder = g.routersVersion, g.ranksAsHolder(u)
	}
	return u.holder
}

// ranksAsHolder reports whether this router is among the first cfg.Holders routers of the upstream's region by rendezvous hash. If no router of
// that region is registered, the routers of this router's own region are ranked instead.
func (g *Gate) ranksAsHolder(u *Upstream) bool {
	region := g.routers[g.cfg.Regions[u.info.Domain]]
	if len(region) == 0 {
		region = g.routers[g.cfg.Self.Region]
	}
	ownWeight, higher := rendezvousWeight(g.cfg.Self.Node, u.info.ID), 0
	listed := false
	for _, node := range region {
		listed = listed || node == g.cfg.Self.Node
		if w := rendezvousWeight(node, u.info.ID); w > ownWeight {
			higher++
		}
	}
	return listed && higher < g.cfg.Holders
}

func rendezvousWeight(node pomelorelay.NodeID, id pomelorelay.UpstreamID) uint64 {
	return xxhash.Sum64String(string(node) + "/" + string(id))
}

// sameRegion reports whether this router is in the upstream's region.
func (g *Gate) sameRegion(u *Upstream) bool {
	return g.cfg.Regions[u.info.Domain] == g.cfg.Self.Region
}

// bucket returns the rate, in requests per second, and the burst of the token bucket with which a holder, a router that may send to a cold
// upstream, limits its requests.
func (g *Gate) bucket(u *Upstream) (rate, burst float64) {
	return g.specs[u.info.Service].bucket(g.cfg.Holders)
}

func (g *Gate) coldDuration(u *Upstream) time.Duration { return g.specs[u.info.Service].duration }
