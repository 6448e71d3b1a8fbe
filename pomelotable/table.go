package pomelotable

import (
	"cmp"
	"net"
	"slices"
	"strings"

	"github.com/pomelorelay/pomelorelay"

	"github.com/cespare/xxhash/v2"
)

// Table is one version of the configuration, ready for lookups.
type Table struct {
	config *pomelorelay.FleetConfig
	// hosts holds the routes of each host name, longest prefix first.
	hosts    map[string][]*pomelorelay.Route
	accounts map[string]*pomelorelay.AccountSpec
	services map[pomelorelay.ServiceID]*pomelorelay.ServiceSpec
}

// New compiles a configuration, which must not change any more.
func New(config *pomelorelay.FleetConfig) *Table {
	t := &Table{
		config:   config,
		hosts:    make(map[string][]*pomelorelay.Route),
		accounts: make(map[string]*pomelorelay.AccountSpec),
		services: make(map[pomelorelay.ServiceID]*pomelorelay.ServiceSpec, len(config.Services)),
	}
	for i := range config.Routes {
		r := &config.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *pomelorelay.Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range config.Accounts {
		for _, key := range config.Accounts[i].Keys {
			t.accounts[key] = &config.Accounts[i]
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

// Limits returns the bounds of what callers may send.
func (t *Table) Limits() pomelorelay.CallerLimits { return t.config.Limits }

// Route returns the route of the host name with the longest prefix that begins the path.
func (t *Table) Route(host, path string) (*pomelorelay.Route, bool) {
	for _, r := range t.hosts[hostName(host)] {
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

// Account returns the client account that holds the key.
func (t *Table) Account(key string) (*pomelorelay.AccountSpec, bool) {
	a, ok := t.accounts[key]
	return a, ok
}

// Service returns what the configuration says of a service.
func (t *Table) Service(id pomelorelay.ServiceID) (*pomelorelay.ServiceSpec, bool) {
	s, ok := t.services[id]
	return s, ok
}

// PickService returns the service that a request with the id goes to, by the weights of the route's shares.
func (t *Table) PickService(r *pomelorelay.Route, id string) (pomelorelay.ServiceID, bool) {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	// The upper bits of the hash as a fraction: the same request always gets the same service.
	point := float64(xxhash.Sum64String(id)>>11) / (1 << 53) * total
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
