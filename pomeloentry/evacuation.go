package pomeloentry

import (
	"maps"
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// applyEvacuations applies the started and ended evacuations of failure domains. A change with the full state also ends the
// evacuations that it omits. source is the router that sent the change, or "store" if this router read it.
func (c *control) applyEvacuations(now time.Time, change *pomelorelay.FleetChange, source string) {
	for _, domain := range change.Evacuated {
		c.setEvacuated(now, domain, true, source)
	}
	for _, domain := range change.RestoredDomains {
		c.setEvacuated(now, domain, false, source)
	}
	if !change.Full {
		return
	}
	for _, domain := range slices.Sorted(maps.Keys(c.evacuated)) {
		if !slices.Contains(change.Evacuated, domain) {
			c.setEvacuated(now, domain, false, source)
		}
	}
}

func (c *control) setEvacuated(now time.Time, domain pomelorelay.DomainID, evacuated bool, source string) {
	if c.evacuated[domain] == evacuated {
		return
	}
	event := pomelorelay.EventDomainRestored
	if evacuated {
		event = pomelorelay.EventDomainEvacuated
		c.evacuated[domain] = true
	} else {
		delete(c.evacuated, domain)
	}
	c.placer.SetEvacuated(now, domain, evacuated)
	c.e.log(event, field("Domain", domain), field("Source", source), field("Revision", uint64(c.e.cursor.get())))
}
