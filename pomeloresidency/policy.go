package pomeloresidency

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Config holds the settings of a Policy.
type Config struct {
	// Overlap is how long after a configuration change other routers may still apply the previous version.
	Overlap time.Duration
}

// Policy applies the residency rules of the current configuration; it is not safe for concurrent use.
type Policy struct {
	cfg     Config
	current rules
	// previous holds the rules of the previous version, which also apply until previousEnds.
	previous     rules
	previousEnds time.Time
}

// rules holds the allowed regions of the routes and accounts that one configuration version restricts.
type rules struct {
	routes   map[pomelorelay.RouteID]pomelorelay.Residency
	accounts map[pomelorelay.AccountID]pomelorelay.Residency
}

// New returns a Policy that allows every region.
func New(cfg Config) *Policy { return &Policy{cfg: cfg} }

// SetConfig replaces the current configuration.
func (p *Policy) SetConfig(now time.Time, config *pomelorelay.FleetConfig) {
	p.previous, p.previousEnds = p.current, now.Add(p.cfg.Overlap)
	p.current = newRules(config)
}

// Accounts returns the regions of the accounts that the current configuration restricts.
func (p *Policy) Accounts() map[pomelorelay.AccountID]pomelorelay.Residency {
	return p.current.accounts
}

func newRules(config *pomelorelay.FleetConfig) rules {
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

func (r rules) residency(route pomelorelay.RouteID, account pomelorelay.AccountID) pomelorelay.Residency {
	return r.routes[route].Intersect(r.accounts[account])
}

// Residency returns the regions in which a request of the account on the route may be served; the account may be empty. Within the overlap after
// a configuration change these are the regions allowed by both versions, or those of the current version if the two have none in common.
func (p *Policy) Residency(now time.Time, route pomelorelay.RouteID, account pomelorelay.AccountID) pomelorelay.Residency {
	current := p.current.residency(route, account)
	if !now.Before(p.previousEnds) {
		return current
	}
	if both := current.Intersect(p.previous.residency(route, account)); !both.Empty() {
		return both
	}
	return current
}
