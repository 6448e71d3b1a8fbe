package pomelotable

import (
	"cmp"
	"net"
	"slices"
	"strings"

	"github.com/pomelorelay/pomelorelay"

	"github.com/cespare/xxhash/v2"
)

// Table is one version of the configuration, indexed for lookups.
type Table struct {
	config *pomelorelay.FleetConfig
	// routesByHost holds the routes of each lower-case host name, longest prefix first.
	routesByHost  map[string][]*pomelorelay.Route
	accountsByKey map[string]*pomelorelay.AccountSpec
	services      map[pomelorelay.ServiceID]*pomelorelay.ServiceSpec
}

// New indexes a configuration, which must not be modified afterwards.
func New(config *pomelorelay.FleetConfig) *Table {
	t := &Table{
		config:        config,
		routesByHost:  make(map[string][]*pomelorelay.Route),
		accountsByKey: make(map[string]*pomelorelay.AccountSpec),
		services:      make(map[pomelorelay.ServiceID]*pomelorelay.ServiceSpec, len(config.Services)),
	}
	for i := range config.Routes {
		r := &config.Routes[i]
		host := strings.ToLower(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	for _, routes := range t.routesByHost {
		slices.SortStableFunc(routes, func(a, b *pomelorelay.Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range config.Accounts {
		for _, key := range config.Accounts[i].Keys {
			t.accountsByKey[key] = &config.Accounts[i]
		}
	}
	for i := range config.Services {
		t.services[config.Services[i].Name] = &config.Services[i]
	}
	return t
}

// Version returns the configuration's version.
func (t *Table) Version() pomelorelay.Generation { return t.config.Version }

// Config returns the configuration.
func (t *Table) Config() *pomelorelay.FleetConfig { return t.config }

// Limits returns the limits on callers' requests.
func (t *Table) Limits() pomelorelay.CallerLimits { return t.config.Limits }

// Route returns the route of the host, with or without a port, whose prefix is the longest that matches the path.
func (t *Table) Route(host, path string) (*pomelorelay.Route, bool) {
	for _, r := range t.routesByHost[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// Account returns the client account that the API key belongs to.
func (t *Table) Account(key string) (*pomelorelay.AccountSpec, bool) {
	a, ok := t.accountsByKey[key]
	return a, ok
}

// Service returns the configuration of a service.
func (t *Table) Service(id pomelorelay.ServiceID) (*pomelorelay.ServiceSpec, bool) {
	s, ok := t.services[id]
	return s, ok
}

// PickService returns the service for a request, chosen by the weights of the route's shares and a hash of the request ID.
func (t *Table) PickService(r *pomelorelay.Route, requestID string) (pomelorelay.ServiceID, bool) {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	// The upper 53 bits of the hash as a fraction: the same request ID always gives the same service.
	point := float64(xxhash.Sum64String(requestID)>>11) / (1 << 53) * total
	for _, s := range r.Shares {
		if point < s.Weight {
			return s.Service, true
		}
		point -= s.Weight
	}
	if len(r.Shares) == 0 {
		return "", false
	}
	return r.Shares[len(r.Shares)-1].Service, true
}
