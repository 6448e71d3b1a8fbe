package pomelomember

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Config configures a View.
type Config struct {
	Self        pomelorelay.Peer
	Incarnation pomelorelay.Incarnation
	// Seeds are the routers named in the settings; they are contacted first while there is no host list.
	Seeds []pomelorelay.Peer
	// Seed is the seed of the random choices, such as the order of probes.
	Seed    uint64
	Options Options
}

// Options holds the intervals and limits of a View; a zero field means the default stated in its comment.
type Options struct {
	// DigestInterval is the minimum interval between periodic digests (membership heartbeats) to the routers of the domain; default 1 s.
	DigestInterval time.Duration
	// MaxDigestsPerSecond limits the number of periodic digests per second that a router sends to its failure domain; the interval grows
	// with the domain to stay within the limit; default 60.
	MaxDigestsPerSecond int
	// MinDigestInterval is the minimum time between the last digest and an early one that carries a status change; default 200 ms.
	MinDigestInterval time.Duration
	// ProbeInterval is the time between probes, each of which goes to one router of the failure domain; default 300 ms.
	ProbeInterval time.Duration
	// ProbeTimeout is the timeout of a direct probe, after which indirect probes are sent, and of the indirect probes, after which the
	// router is suspected; default 300 ms.
	ProbeTimeout time.Duration
	// SuspicionTimeout is the time that a suspected router has to refute before it is declared dead; default 1 s.
	SuspicionTimeout time.Duration
	// Helpers is the number of routers that probe an unresponsive router indirectly, and the number of routers that send the status of
	// all routers to a new one; default 3.
	Helpers int
	// Gateways is the number of routers of a failure domain that send digests to a given other domain; default 2.
	Gateways int
	// SyncInterval is the time between digests that carry the status of all routers; each such digest goes to one router; default 10 s.
	SyncInterval time.Duration
	// Retransmits is the number of digests that carry a status change; default 3.
	Retransmits int
	// DomainSilent is the time without messages after which a failure domain counts as unreachable; default 5 s.
	DomainSilent time.Duration
	// JoinInterval is the time between attempts to contact routers on the host list that are not known to be alive; default 1 s.
	JoinInterval time.Duration
	// DeadRetention is the time after a router's death or departure for which its record is kept if the host list lacks the router;
	// default 10 min.
	DeadRetention time.Duration
	// MaxRelayedSlots limits the number of SlotDigests (the slot state of one upstream) from other failure domains that a router relays; it
	// relays them in every fourth Digest that it sends; default 8.
	MaxRelayedSlots int
	// MaxAdvertisedSlots limits the number of SlotDigests (the slot state of one upstream) from this failure domain that a Digest to
	// another domain carries; default 16.
	MaxAdvertisedSlots int
}

func (o Options) withDefaults() Options {
	setDuration(&o.DigestInterval, time.Second)
	setCount(&o.MaxDigestsPerSecond, 60)
	setDuration(&o.MinDigestInterval, 200*time.Millisecond)
	setDuration(&o.ProbeInterval, 300*time.Millisecond)
	setDuration(&o.ProbeTimeout, 300*time.Millisecond)
	setDuration(&o.SuspicionTimeout, time.Second)
	setCount(&o.Helpers, 3)
	setCount(&o.Gateways, 2)
	setDuration(&o.SyncInterval, 10*time.Second)
	setCount(&o.Retransmits, 3)
	setDuration(&o.DomainSilent, 5*time.Second)
	setDuration(&o.JoinInterval, time.Second)
	setDuration(&o.DeadRetention, 10*time.Minute)
	setCount(&o.MaxRelayedSlots, 8)
	setCount(&o.MaxAdvertisedSlots, 16)
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
