package pomeloconfig

import "time"

// MaxPeriodicMessagesPerSecond is the maximum rate at which a router sends messages of one periodic kind to its failure domain.
const MaxPeriodicMessagesPerSecond = 55

// RateLimitedInterval returns the interval at which a router sends one kind of periodic message to every router of its failure domain: the
// configured interval, or a longer one that keeps to MaxPeriodicMessagesPerSecond. With a fixed interval a router's traffic would grow
// with its domain, and in a domain of 60 routers digests alone would use up the byte budget for control messages.
func RateLimitedInterval(interval time.Duration, routers int) time.Duration {
	return max(interval, time.Duration(routers)*time.Second/MaxPeriodicMessagesPerSecond)
}

// maxHostListReadsPerSecond is the maximum rate of host list reads of the whole fleet.
const maxHostListReadsPerSecond = 24

// ReadInterval returns the interval at which a router reads the host list in a fleet of the given size. The platform meters reads, and
// the list grows with the fleet. The first router to see an upstream leave notifies all others, so a longer interval per router
// does not delay detection by the fleet.
func (h HostListSettings) ReadInterval(routers int) time.Duration {
	return max(h.Interval, time.Duration(routers)*time.Second/maxHostListReadsPerSecond)
}
