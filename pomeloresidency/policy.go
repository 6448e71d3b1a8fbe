package pomeloresidency

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Config holds what a Policy needs.
type Config struct {
	// Overlap is how long after a change of the configuration other routers may still apply the version before.
	Overlap time.Duration
}

// Policy is the residency that the configuration in force demands; it is not safe for concurrent use.
type Policy struct {
	cfg     Config
	current rules
	// previous is the version before, which binds until previousEnds.
	previous     rules
	previousEnds time.Time
}

// rules are the limited residencies of one version.
type rules struct {
	routes   map[pomelorelay.RouteID]pomelorelay.Residency
	accounts map[pomelorelay.AccountID]pomelorelay.Residency
}

// New returns a Policy that allows every region.
func New(cfg Config) *Policy { return &Policy{cfg: cfg} }

// SetConfig puts a version in force.
func (p *Policy) SetConfig(now time.Time, config *pomelorelay.FleetConfig) {
	p.previous, p.previousEnds = p.current, now.Add(p.cfg.Overlap)
	p.current = rulesOf(config)
}

func rulesOf(config *pomelorelay.FleetConfig) rules {
	r := rules{
		routes:   make(map[pomelorelay.RouteID]pomelorelay.Residency),
		accounts: make(map[pomelorelay.AccountID]pomelorelay.Residency),
	}
	for _, route := range config.Routes {
		if len(route.Regions) > 0 {
			r.routes[route.Name] = pomelorelay.NewResidency(route.Regions)
		}
	}
	for _, account := range config.Accounts {
		if len(account.Regions) > 0 {
			r.accounts[account.Name] = pomelorelay.NewResidency(account.Regions)
		}
	}
	return r
}

func (r rules) of(route pomelorelay.RouteID, account pomelorelay.AccountID) pomelorelay.Residency {
	return r.routes[route].And(r.accounts[account])
}

// Residency returns where a request of the account on the route may be served; the account is empty where there is none. Shortly after a change both
// versions bind, or the newer one alone where they have no region in common.
func (p *Policy) Residency(now time.Time, route pomelorelay.RouteID, account pomelorelay.AccountID) pomelorelay.Residency {
	current := p.current.of(route, account)
	if !now.Before(p.previousEnds) {
		return current
	}
	if both := current.And(p.previous.of(route, account)); !both.Empty() {
		return both
	}
	return current
}
