package pomeloentry

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// logWarmups logs each upstream that has become cold or warm since the last check.
func (c *control) logWarmups(now time.Time) {
	cold := c.placer.ColdUpstreams(now)
	for id, s := range cold {
		if before, known := c.coldUpstreams[id]; known && before.Unreachable == s.Unreachable {
			continue
		}
		c.e.log(pomelorelay.EventUpstreamCold, field("Upstream", id), field("LeftMS", s.Remaining.Milliseconds()), field("Unreached", s.Unreachable), field("Holder", s.MaySendWhileCold))
	}
	for id := range c.coldUpstreams {
		if _, still := cold[id]; !still {
			c.e.log(pomelorelay.EventUpstreamWarm, field("Upstream", id))
		}
	}
	c.coldUpstreams = cold
	c.e.metrics.SetGauge("cold_upstreams", float64(len(cold)))
}
