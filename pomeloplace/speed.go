package pomeloplace

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelospeed"
)

// Speed is what a router has learnt of a service's engines.
type Speed struct {
	Service pomelorelay.ServiceID
	// PrefillRate is how fast they read, Overhead what a first token takes besides.
	PrefillRate     pomelospeed.PrefillRate
	FirstTokenOverhead time.Duration
	// PauseWeight is how much it counts, from 0 to 1, that long reading makes streams pause for too long.
	PauseWeight float64
	// CopyFraction is the time to copy a token from another engine, as a part of the time to read it.
	CopyFraction float64
}

// Speeds returns what is known of each service of engines.
func (p *Placer) Speeds() []Speed {
	var all []Speed
	for name, s := range p.services {
		if len(s.list) == 0 || s.list[0].engine == nil {
			continue
		}
		all = append(all, Speed{Service: name, PrefillRate: s.line.PrefillRate(), FirstTokenOverhead: s.line.Overhead(), PauseWeight: s.pauseWeight, CopyFraction: s.copyPart})
	}
	return all
}
