package pomelomember

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Config holds what a View needs.
type Config struct {
	Self        pomelorelay.Peer
	Incarnation pomelorelay.Incarnation
	// Seeds are routers known from the settings, asked first when there is no host list.
	Seeds []pomelorelay.Peer
	// Seed feeds the choice of whom to probe.
	Seed    uint64
	Options Options
}

// Options holds the intervals and bounds of a View; a zero field takes the default that its comment gives.
type Options struct {
	// DigestInterval is the interval of digests to every router of the failure domain; 1 s.
	DigestInterval time.Duration
	// MaxDigestsPerSecond bounds the digests to the failure domain: past it the interval grows with the domain's routers; 60.
	MaxDigestsPerSecond int
	// EarlyDigest is the shortest wait before a digest that carries a new belief; 200 ms.
	EarlyDigest time.Duration
	// ProbeEvery is the interval of probes, each of one router of the failure domain; 300 ms.
	ProbeEvery time.Duration
	// ProbeTimeout is the wait for an answer before others are asked to probe, and again before the router is suspected; 300 ms.
	ProbeTimeout time.Duration
	// SuspicionTimeout is how long a suspected router may refute before it counts as dead; 1 s.
	SuspicionTimeout time.Duration
	// Helpers is the number of routers asked to probe another; 3.
	Helpers int
	// Gateways is the number of routers of a failure domain that keep a link to each other domain; 2.
	Gateways int
	// SyncEvery is the interval at which everything known is sent to one router; 10 s.
	SyncEvery time.Duration
	// Repeats is the number of digests that carry a changed belief; 3.
	Repeats int
	// DomainSilent is how long a failure domain may be silent before it counts as unreachable; 5 s.
	DomainSilent time.Duration
	// JoinEvery is the interval at which routers not yet heard are asked; 1 s.
	JoinEvery time.Duration
	// ForgetAfter is how long a dead router is remembered once it has left the host list; 10 min.
	ForgetAfter time.Duration
	// RelayedSlots bounds the slots of other failure domains that a gateway passes on in every fourth digest; 8.
	RelayedSlots int
	// OutwardSlots bounds the slots of this failure domain that a gateway tells another; 16.
	OutwardSlots int
}

func (o Options) withDefaults() Options {
	setDuration(&o.DigestInterval, time.Second)
	setCount(&o.MaxDigestsPerSecond, 60)
	setDuration(&o.EarlyDigest, 200*time.Millisecond)
	setDuration(&o.ProbeEvery, 300*time.Millisecond)
	setDuration(&o.ProbeTimeout, 300*time.Millisecond)
	setDuration(&o.SuspicionTimeout, time.Second)
	setCount(&o.Helpers, 3)
	setCount(&o.Gateways, 2)
	setDuration(&o.SyncEvery, 10*time.Second)
	setCount(&o.Repeats, 3)
	setDuration(&o.DomainSilent, 5*time.Second)
	setDuration(&o.JoinEvery, time.Second)
	setDuration(&o.ForgetAfter, 10*time.Minute)
	setCount(&o.RelayedSlots, 8)
	setCount(&o.OutwardSlots, 16)
	return o
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

func setCount(n *int, value int) {
	if *n == 0 {
		*n = value
	}
}
