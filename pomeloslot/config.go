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
	// Answer is how long an owner waits for the reply to a grant before it asks what became of it; default 1 s.
	Answer time.Duration
	// Check is how often an owner asks after requests that run; default 2 s.
	Check time.Duration
	// Careful is how long a new owner waits for the routers' reports before it grants without them; default 500 ms.
	Careful time.Duration
	// DemandTTL is how long a registration holds without a refresh; default 3 s.
	DemandTTL time.Duration
	// Rest is how long a router that returned a grant although requests wait there gets no other; default 100 ms.
	Rest time.Duration
	// PrefixMargin is how far above the lowest tag a router with a cached prefix may be preferred; default 1, negative means never.
	PrefixMargin pomelorelay.Tag
	// PrefixTTL is how long a prefix counts as cached after it was last seen; default 60 s.
	PrefixTTL time.Duration
	// Prefixes is how many prefixes are remembered of an upstream; default 256.
	Prefixes int
}

// LimitOptions says how an upstream's concurrency limit follows its latencies.
type LimitOptions struct {
	// FirstToken is the target for 95 in 100 first tokens; default 1.2 s.
	FirstToken time.Duration
	// TokenGap is the target between tokens for 95 in 100 answers; default 51 ms.
	TokenGap time.Duration
	// Window is how long latencies are gathered before the limit moves; default 2 s.
	Window time.Duration
	// Samples is how many answers a window needs before the limit moves; default 20.
	Samples int
	// Shrink is the factor of a lowered limit; default 0.9.
	Shrink float64
	// Lag is how far a load report may lie behind; default 2 s.
	Lag time.Duration
}

const (
	defaultTTL          = 500 * time.Millisecond
	defaultAnswer       = time.Second
	defaultCheck        = 2 * time.Second
	defaultCareful      = 500 * time.Millisecond
	defaultRest         = 100 * time.Millisecond
	defaultDemandTTL    = 3 * time.Second
	defaultPrefixTTL    = time.Minute
	defaultPrefixes     = 256
	defaultFirstToken   = 1200 * time.Millisecond
	defaultTokenGap     = 51 * time.Millisecond
	defaultWindow       = 2 * time.Second
	defaultSamples      = 20
	defaultPrefixMargin = 1
	defaultShrink       = 0.9
	defaultLag          = 2 * time.Second
)

func orDuration(d, standard time.Duration) time.Duration {
	if d == 0 {
		return standard
	}
	return d
}

func orInt(n, standard int) int {
	if n == 0 {
		return standard
	}
	return n
}

func (o GrantOptions) withDefaults() GrantOptions {
	o.TTL = orDuration(o.TTL, defaultTTL)
	o.Answer = orDuration(o.Answer, defaultAnswer)
	o.Check = orDuration(o.Check, defaultCheck)
	o.Careful = orDuration(o.Careful, defaultCareful)
	o.Rest = orDuration(o.Rest, defaultRest)
	o.DemandTTL = orDuration(o.DemandTTL, defaultDemandTTL)
	o.PrefixTTL = orDuration(o.PrefixTTL, defaultPrefixTTL)
	o.Prefixes = orInt(o.Prefixes, defaultPrefixes)
	if o.PrefixMargin == 0 {
		o.PrefixMargin = defaultPrefixMargin
	}
	return o
}

func (o LimitOptions) withDefaults() LimitOptions {
	o.FirstToken = orDuration(o.FirstToken, defaultFirstToken)
	o.TokenGap = orDuration(o.TokenGap, defaultTokenGap)
	o.Window = orDuration(o.Window, defaultWindow)
	o.Samples = orInt(o.Samples, defaultSamples)
	o.Lag = orDuration(o.Lag, defaultLag)
	if o.Shrink == 0 {
		o.Shrink = defaultShrink
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

// RequesterConfig sets up an Asker.
type RequesterConfig struct {
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
	// Base is the least number of owners to register at; default 4.
	Base int
	// PerWaiting is the number of waiting requests for which one more owner is tried; default 64.
	PerWaiting int
	// Spare is the number of further owners with idle slots, should other routers be first; default 2.
	Spare int
	// Refresh is the time between refreshes of registered tags that changed; default 250 ms.
	Refresh time.Duration
	// Keep is the time between refreshes of those that did not; default 1 s.
	Keep time.Duration
	// DigestTTL is how long an owner is believed to own without a digest; default 3 s.
	DigestTTL time.Duration
	// StartSpread is the time over which routers that start at once spread their first registrations; default 200 ms.
	StartSpread time.Duration
}

// SpillOptions says when demand is carried beyond the own failure domain.
type SpillOptions struct {
	// DomainMargin is how far the last granted tag of another domain must be above the own domain's; default 10.
	DomainMargin pomelorelay.Tag
	// RegionMargin is the same for another region, whose bytes are paid for; default 100.
	RegionMargin pomelorelay.Tag
	// RegionIdleWaiting is how many requests must wait before idle slots of another region are used; default 1.
	RegionIdleWaiting int
}

const (
	defaultBase              = 4
	defaultPerWaiting        = 64
	defaultSpare             = 2
	defaultRefresh           = 250 * time.Millisecond
	defaultKeep              = time.Second
	defaultDigestTTL         = 3 * time.Second
	defaultStartSpread       = 200 * time.Millisecond
	defaultDomainMargin      = 10
	defaultRegionMargin      = 100
	defaultRegionIdleWaiting = 1
)

func (o RegistrationOptions) withDefaults() RegistrationOptions {
	o.Base = orInt(o.Base, defaultBase)
	o.PerWaiting = orInt(o.PerWaiting, defaultPerWaiting)
	o.Spare = orInt(o.Spare, defaultSpare)
	o.Refresh = orDuration(o.Refresh, defaultRefresh)
	o.Keep = orDuration(o.Keep, defaultKeep)
	o.DigestTTL = orDuration(o.DigestTTL, defaultDigestTTL)
	o.StartSpread = orDuration(o.StartSpread, defaultStartSpread)
	return o
}

func (o SpillOptions) withDefaults() SpillOptions {
	if o.DomainMargin == 0 {
		o.DomainMargin = defaultDomainMargin
	}
	if o.RegionMargin == 0 {
		o.RegionMargin = defaultRegionMargin
	}
	o.RegionIdleWaiting = orInt(o.RegionIdleWaiting, defaultRegionIdleWaiting)
	return o
}

// PoolDemand is what a router has waiting in one pool.
type PoolDemand struct {
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
