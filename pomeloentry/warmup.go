package pomeloentry

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// noteWarmups writes a line for each upstream that was found cold or has become warm since the last look.
func (c *control) noteWarmups(now time.Time) {
	cold := c.placer.ColdUpstreams(now)
	for id, s := range cold {
		if before, known := c.cold[id]; known && before.Unreached == s.Unreached {
			continue
		}
		c.e.log(pomelorelay.EventUpstreamCold, field("Upstream", id), field("LeftMS", s.Remaining.Milliseconds()), field("Unreached", s.Unreached), field("Holder", s.Holder))
	}
	for id := range c.cold {
		if _, still := cold[id]; !still {
			c.e.log(pomelorelay.EventUpstreamWarm, field("Upstream", id))
		}
	}
	c.cold = cold
	c.e.metrics.SetGauge("cold_upstreams", float64(len(cold)))
}
