package pomeloplace

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelospeed"
)

// Speed is the learnt speed of a service's engines.
type Speed struct {
	Service pomelorelay.ServiceID
	// PrefillRate is the prefill rate in tokens per millisecond.
	PrefillRate pomelospeed.PrefillRate
	// FirstTokenOverhead is the part of the time to first token besides prefill.
	FirstTokenOverhead time.Duration
	// PauseWeight is the weight, from 0 to 1, of the cost of long prefills to concurrent streams.
	PauseWeight float64
	// CopyFraction is the time to copy a token from another engine, as a fraction of the time to prefill it.
	CopyFraction float64
}

// Speeds returns the learnt speed of each service with model engines.
func (p *Placer) Speeds() []Speed {
	var all []Speed
	for name, s := range p.pools {
		if len(s.upstreams) == 0 || s.upstreams[0].engine == nil {
			continue
		}
		all = append(all, Speed{Service: name, PrefillRate: s.speed.PrefillRate(), FirstTokenOverhead: s.speed.Overhead(), PauseWeight: s.pauseWeight, CopyFraction: s.copyFraction})
	}
	return all
}
