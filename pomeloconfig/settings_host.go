package pomeloconfig

import "github.com/pomelorelay/pomelorelay"

// HostSettings identifies the router and its location.
type HostSettings struct {
	// Name is the router's name on the host list.
	Name          pomelorelay.NodeID   `yaml:"Name"`
	FailureDomain pomelorelay.DomainID `yaml:"FailureDomain"`
	Region        pomelorelay.RegionID `yaml:"Region"`
}

func (h HostSettings) check(c *checker) {
	c.name("Host.Name", string(h.Name))
	c.name("Host.FailureDomain", string(h.FailureDomain))
	c.name("Host.Region", string(h.Region))
}
