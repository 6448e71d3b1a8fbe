package pomeloconfig

import (
	"net/netip"

	"github.com/pomelorelay/pomelorelay"
)

// Seed is a router to contact before the host list has been read, or while the list is unavailable.
type Seed struct {
	Name          pomelorelay.NodeID   `yaml:"Name"`
	Address       netip.AddrPort       `yaml:"Address"`
	FailureDomain pomelorelay.DomainID `yaml:"FailureDomain"`
	Region        pomelorelay.RegionID `yaml:"Region"`
}

func checkSeeds(c *checker, seeds []Seed) {
	seen := make(map[string]string)
	for i, seed := range seeds {
		path := indexedPath("Seeds", i)
		c.name(path+".Name", string(seed.Name))
		c.address(path+".Address", seed.Address)
		c.name(path+".FailureDomain", string(seed.FailureDomain))
		c.name(path+".Region", string(seed.Region))
		c.unique(seen, path+".Name", string(seed.Name))
	}
}
