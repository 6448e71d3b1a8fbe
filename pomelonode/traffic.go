package pomelonode

import (
	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloconfig"
	"github.com/pomelorelay/pomelorelay/pomeloroute"
)

var _ pomeloroute.Snapshot = (*trafficView)(nil)

// Authenticate returns the account of a bearer token.
func (v *trafficView) Authenticate(token string) (pomelorelay.AccountID, bool) {
	return v.snapshot.Authenticate(token)
}

// MayCall reports whether the account may call the service.
func (v *trafficView) MayCall(account pomelorelay.AccountID, service pomelorelay.ServiceID) bool {
	return v.snapshot.MayCall(account, service)
}

// Service returns the service with the given name.
func (v *trafficView) Service(name pomelorelay.ServiceID) (*pomeloconfig.Service, bool) {
	service, ok := v.snapshot.Service(name)
	return &service, ok
}

// HasPool reports whether any upstream serves the pool.
func (v *trafficView) HasPool(pool pomelorelay.PoolID) bool { return len(v.pools[pool]) > 0 }

func (c *control) isPlain(service pomelorelay.ServiceID) bool {
	s, ok := c.snapshot.Service(service)
	return ok && s.Kind == pomeloconfig.ServicePlain
}
