package pomeloentry

import "time"

// A change of the store must be in force at every router within the change wait, whatever failed between a router and the one that reads the
// store. ownReadFraction, ownReadSpread and readTimeoutFraction, for a read that is not answered, leave a quarter of the change wait for the read
// that follows.
const (
	// readIntervalFraction is the minimum time between two reads, as a fraction of the change wait. Upstreams write all the time, so without
	// a minimum a watch would return continuously.
	readIntervalFraction = 0.2
	// watchWaitFraction is how long a read waits for a change, as a fraction of the change wait.
	watchWaitFraction = 0.12
	// takeoverFraction is the time without updates after which the second relay in the read order reads the store, as a fraction of the
	// change wait; those of the later relays are spread evenly over takeoverSpread. While the router that reads the store works, the time
	// without updates is at most its read interval plus its watch wait.
	takeoverFraction = 0.42
	takeoverSpread   = 0.08
	// ownReadFraction is the time without updates after which a router that is not a relay reads the store, as a fraction of the change
	// wait; these times are spread over ownReadSpread by a hash. A relay that takes over sends its update before any of them.
	ownReadFraction = 0.54
	ownReadSpread   = 0.12
	// readTimeoutFraction is how long a read may take beyond its wait before it is made once more, as a fraction of the change wait.
	readTimeoutFraction = 0.1
	// defaultChangeWait is the change wait if the settings have neither DrainTimeout nor ConfigApplyTimeout.
	defaultChangeWait = 2500 * time.Millisecond
)

// scaledChangeWait returns a fraction of the change wait, the time within which a change of the store must have its effect on every router: the
// shorter one of DrainTimeout and ConfigApplyTimeout.
func (e *Router) scaledChangeWait(fraction float64) time.Duration {
	wait := time.Duration(0)
	for _, bound := range []time.Duration{e.cfg.Settings.DrainTimeout, e.cfg.Settings.ConfigApplyTimeout} {
		if bound > 0 && (wait == 0 || bound < wait) {
			wait = bound
		}
	}
	if wait == 0 {
		wait = defaultChangeWait
	}
	return time.Duration(fraction * float64(wait))
}
