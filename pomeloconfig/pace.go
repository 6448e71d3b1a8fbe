package pomeloconfig

import "time"

// MaxPeriodicMessagesPerSecond is how many messages of one periodic kind a router sends its failure domain at most.
const MaxPeriodicMessagesPerSecond = 55

// PeriodicInterval returns the interval at which a router tells the others of its failure domain something: the setting's, or what keeps
// to MessagesPerSecond where that is longer. With a fixed interval what a router sends would grow with its domain, and be seen
// as a control budget that 60 routers use up with digests alone.
func PeriodicInterval(interval time.Duration, routers int) time.Duration {
	return max(interval, time.Duration(routers)*time.Second/MaxPeriodicMessagesPerSecond)
}

// hostListReads is how often a second the whole fleet reads the host list at most.
const hostListReads = 24

// ReadInterval returns how often a router reads the host list in a fleet of so many: the platform counts reads, and the list itself grows
// with the fleet. The first router that sees an upstream leave tells all, so the fleet knows of it as soon as before.
func (h HostListSettings) ReadInterval(routers int) time.Duration {
	return max(h.Interval, time.Duration(routers)*time.Second/hostListReads)
}
