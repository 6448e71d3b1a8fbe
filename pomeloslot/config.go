package pomeloslot

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// OwnerConfig sets up an Owner.
type OwnerConfig struct {
	Node        pomelorelay.NodeID
	Domain      pomelorelay.DomainID
	Incarnation pomelorelay.Incarnation
	Grant       GrantOptions
	Limit       LimitOptions
}

// GrantOptions says how long an owner believes what it was told.
type GrantOptions struct {
	// TTL is how long after its arrival a grant may be used; default 500 ms.
	TTL time.Duration
	// ReplyTimeout is how long an owner waits for the reply to a grant before it asks what became of it; default 1 s.
	ReplyTimeout time.Duration
	// CheckInterval is how often an owner asks after requests that run; default 2 s.
	CheckInterval time.Duration
	// RecoveryTimeout is how long a new owner waits for the routers' reports before it grants without them; default 500 ms.
	RecoveryTimeout time.Duration
	// DemandTTL is how long a registration holds without a refresh; default 3 s.
	DemandTTL time.Duration
	// ReturnBackoff is how long a router that returned a grant although requests wait there gets no other; default 100 ms.
	ReturnBackoff time.Duration
	// PrefixMargin is how far above the lowest tag a router with a cached prefix may be preferred; default 1, negative means never.
	PrefixMargin pomelorelay.Tag
	// PrefixTTL is how long a prefix counts as cached after it was last seen; default 60 s.
	PrefixTTL time.Duration
	// MaxPrefixes is how many prefixes are remembered of an upstream; default 256.
	MaxPrefixes int
}

// LimitOptions says how an upstream's concurrency limit follows its latencies.
type LimitOptions struct {
	// FirstTokenTarget is the target for 95 in 100 first tokens; default 1.2 s.
	FirstTokenTarget time.Duration
	// TokenGapTarget is the target between tokens for 95 in 100 answers; default 51 ms.
	TokenGapTarget time.Duration
	// Window is how long latencies are gathered before the limit moves; default 2 s.
	Window time.Duration
	// MinSamples is how many answers a window needs before the limit moves; default 20.
	MinSamples int
	// ShrinkFactor is the factor of a lowered limit; default 0.9.
	ShrinkFactor float64
	// MaxLoadLag is how far a load report may lie behind; default 2 s.
	MaxLoadLag time.Duration
}

const (
	defaultTTL              = 500 * time.Millisecond
	defaultReplyTimeout     = time.Second
	defaultCheckInterval    = 2 * time.Second
	defaultRecoveryTimeout  = 500 * time.Millisecond
	defaultReturnBackoff    = 100 * time.Millisecond
	defaultDemandTTL        = 3 * time.Second
	defaultPrefixTTL        = time.Minute
	defaultMaxPrefixes      = 256
	defaultFirstTokenTarget = 1200 * time.Millisecond
	defaultTokenGapTarget   = 51 * time.Millisecond
	defaultWindow           = 2 * time.Second
	defaultMinSamples       = 20
	defaultPrefixMargin     = 1
	defaultShrinkFactor     = 0.9
	defaultMaxLoadLag       = 2 * time.Second
)

func durationOrDefault(d, def time.Duration) time.Duration {
	if d == 0 {
		return def
	}
	return d
}

func intOrDefault(n, def int) int {
	if n == 0 {
		return def
	}
	return n
}

func (o GrantOptions) withDefaults() GrantOptions {
	o.TTL = durationOrDefault(o.TTL, defaultTTL)
	o.ReplyTimeout = durationOrDefault(o.ReplyTimeout, defaultReplyTimeout)
	o.CheckInterval = durationOrDefault(o.CheckInterval, defaultCheckInterval)
	o.RecoveryTimeout = durationOrDefault(o.RecoveryTimeout, defaultRecoveryTimeout)
	o.ReturnBackoff = durationOrDefault(o.ReturnBackoff, defaultReturnBackoff)
	o.DemandTTL = durationOrDefault(o.DemandTTL, defaultDemandTTL)
	o.PrefixTTL = durationOrDefault(o.PrefixTTL, defaultPrefixTTL)
	o.MaxPrefixes = intOrDefault(o.MaxPrefixes, defaultMaxPrefixes)
	if o.PrefixMargin == 0 {
		o.PrefixMargin = defaultPrefixMargin
	}
	return o
}

func (o LimitOptions) withDefaults() LimitOptions {
	o.FirstTokenTarget = durationOrDefault(o.FirstTokenTarget, defaultFirstTokenTarget)
	o.TokenGapTarget = durationOrDefault(o.TokenGapTarget, defaultTokenGapTarget)
	o.Window = durationOrDefault(o.Window, defaultWindow)
	o.MinSamples = intOrDefault(o.MinSamples, defaultMinSamples)
	o.MaxLoadLag = durationOrDefault(o.MaxLoadLag, defaultMaxLoadLag)
	if o.ShrinkFactor == 0 {
		o.ShrinkFactor = defaultShrinkFactor
	}
	return o
}

// Upstream is an upstream as an owner takes it on.
type Upstream struct {
	ID   pomelorelay.UpstreamID
	Pool pomelorelay.PoolID
	// Min and Max bound the concurrency limit.
	Min, Max pomelorelay.Slots
}

// LoadReport is what an upstream says of itself, which lags.
type LoadReport struct {
	Running, Waiting int
	// Slots is how many requests it can run at once; zero means that it does not say.
	Slots pomelorelay.Slots
}

// AskerConfig sets up an Asker.
type AskerConfig struct {
	Node   pomelorelay.NodeID
	Domain pomelorelay.DomainID
	// Regions gives the region of each failure domain.
	Regions      map[pomelorelay.DomainID]pomelorelay.RegionID
	Seed         uint64
	Registration RegistrationOptions
	Spill        SpillOptions
}

// RegistrationOptions says how widely and how often a router registers.
type RegistrationOptions struct {
	// BaseOwners is the least number of owners to register at; default 4.
	BaseOwners int
	// WaitingPerOwner is the number of waiting requests for which one more owner is tried; default 64.
	WaitingPerOwner int
	// SpareOwners is the number of further owners with idle slots, should other routers be first; default 2.
	SpareOwners int
	// ChangeInterval is the time between refreshes of registered tags that changed; default 250 ms.
	ChangeInterval time.Duration
	// KeepAliveInterval is the time between refreshes of those that did not; default 1 s.
	KeepAliveInterval time.Duration
	// DigestTTL is how long an owner is believed to own without a digest; default 3 s.
	DigestTTL time.Duration
	// StartJitter is the time over which routers that start at once spread their first registrations; default 200 ms.
	StartJitter time.Duration
}

// SpillOptions says when demand is carried beyond the own failure domain.
type SpillOptions struct {
	// DomainMargin is how far the last granted tag of another domain must be above the own domain's; default 10.
	DomainMargin pomelorelay.Tag
	// RegionMargin is the same for another region, whose bytes are paid for; default 100.
	RegionMargin pomelorelay.Tag
	// RegionMinWaiting is how many requests must wait before idle slots of another region are used; default 1.
	RegionMinWaiting int
}

const (
	defaultBaseOwners        = 4
	defaultWaitingPerOwner   = 64
	defaultSpareOwners       = 2
	defaultChangeInterval    = 250 * time.Millisecond
	defaultKeepAliveInterval = time.Second
	defaultDigestTTL         = 3 * time.Second
	defaultStartJitter       = 200 * time.Millisecond
	defaultDomainMargin      = 10
	defaultRegionMargin      = 100
	defaultRegionMinWaiting  = 1
)

func (o RegistrationOptions) withDefaults() RegistrationOptions {
	o.BaseOwners = intOrDefault(o.BaseOwners, defaultBaseOwners)
	o.WaitingPerOwner = intOrDefault(o.WaitingPerOwner, defaultWaitingPerOwner)
	o.SpareOwners = intOrDefault(o.SpareOwners, defaultSpareOwners)
	o.ChangeInterval = durationOrDefault(o.ChangeInterval, defaultChangeInterval)
	o.KeepAliveInterval = durationOrDefault(o.KeepAliveInterval, defaultKeepAliveInterval)
	o.DigestTTL = durationOrDefault(o.DigestTTL, defaultDigestTTL)
	o.StartJitter = durationOrDefault(o.StartJitter, defaultStartJitter)
	return o
}

func (o SpillOptions) withDefaults() SpillOptions {
	if o.DomainMargin == 0 {
		o.DomainMargin = defaultDomainMargin
	}
	if o.RegionMargin == 0 {
		o.RegionMargin = defaultRegionMargin
	}
	o.RegionMinWaiting = intOrDefault(o.RegionMinWaiting, defaultRegionMinWaiting)
	return o
}

// PoolHead is what a router has waiting in one pool.
type PoolHead struct {
	Pool    pomelorelay.PoolID
	Head    pomelorelay.Tag
	Waiting int
	// Prefixes holds hashes of the prompt prefixes at the head.
	Prefixes []uint64
}

// Settlement says what became of a grant and what the router has waiting now.
type Settlement struct {
	State pomelorelay.GrantState
	// Head and Waiting are the pool's fresh demand; Waiting zero means none.
	Head    pomelorelay.Tag
	Waiting int
	// FirstToken and TokenGap are measured latencies, zero when there are none.
	FirstToken, TokenGap time.Duration
}
