package pomeloplace

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelospeed"
)

// Speed is what a router has learnt of a service's engines.
type Speed struct {
	Service pomelorelay.ServiceID
	// Rate is how fast they read, Overhead what a first token takes besides.
	Rate     pomelospeed.Rate
	Overhead time.Duration
	// Pauses is how much it counts, from 0 to 1, that long reading makes streams pause for too long.
	Pauses float64
	// CopyPart is the time to copy a token from another engine, as a part of the time to read it.
	CopyPart float64
}

// Speeds returns what is known of each service of engines.
func (p *Placer) Speeds() []Speed {
	var all []Speed
	for name, s := range p.pools {
		if len(s.upstreams) == 0 || s.upstreams[0].engine == nil {
			continue
		}
		all = append(all, Speed{Service: name, Rate: s.speed.Rate(), Overhead: s.speed.Overhead(), Pauses: s.pauseWeight, CopyPart: s.copyFraction})
	}
	return all
}
