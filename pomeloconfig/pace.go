package pomeloconfig

import "time"

// MessagesPerSecond is how many messages of one periodic kind a router sends its failure domain at most.
const MessagesPerSecond = 55

// Pace returns the interval at which a router tells the others of its failure domain something: the setting's, or what keeps
// to MessagesPerSecond where that is longer. With a fixed interval what a router sends would grow with its domain, and be seen
// as a control budget that 60 routers use up with digests alone.
func Pace(interval time.Duration, routers int) time.Duration {
	return max(interval, time.Duration(routers)*time.Second/MessagesPerSecond)
}

// maxHostListReadsPerSecond is how often a second the whole fleet reads the host list at most.
const maxHostListReadsPerSecond = 24

// Pace returns how often a router reads the host list in a fleet of so many: the platform counts reads, and the list itself grows
// with the fleet. The first router that sees an upstream leave tells all, so the fleet knows of it as soon as before.
func (h HostListSettings) Pace(routers int) time.Duration {
	return max(h.Interval, time.Duration(routers)*time.Second/maxHostListReadsPerSecond)
}
