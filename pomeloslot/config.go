package pomeloslot

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// OwnerConfig configures an Owner.
type OwnerConfig struct {
	Node        pomelorelay.NodeID
	Domain      pomelorelay.DomainID
	Incarnation pomelorelay.Incarnation
	Grant       GrantOptions
	Limit       LimitOptions
}

// GrantOptions holds the timeouts of grants and demand, and the settings for prefix affinity; zero fields take the defaults.
type GrantOptions struct {
	// TTL is how long after the arrival of a grant the router may send a request under it; default 500 ms.
	TTL time.Duration
	// ReplyTimeout is how long an owner waits for the reply to a grant before it queries the router for its grants;
	// default 1 s.
	ReplyTimeout time.Duration
	// CheckInterval is how long a running request may stay unconfirmed before the owner queries the router that sent
	// it; default 2 s.
	CheckInterval time.Duration
	// RecoveryTimeout is how long a new owner waits for the routers' reports of running requests before it grants slots
	// up to the limit without them; default 500 ms.
	RecoveryTimeout time.Duration
	// DemandTTL is how long a router's registered demand stays valid without a refresh; default 3 s.
	DemandTTL time.Duration
	// ReturnBackoff is how long a router receives no grants for an upstream after the router returned one unused
	// although it had requests waiting; default 100 ms.
	ReturnBackoff time.Duration
	// PrefixMargin limits the preference for routers whose prompt prefix the upstream has cached: such a router is
	// preferred while its lowest waiting tag exceeds the lowest of all routers by at most this amount; default 1,
	// negative disables the preference.
	PrefixMargin pomelorelay.Tag
	// PrefixTTL is how long a prefix is assumed to be cached after the last cache event or grant for it; default 60 s.
	PrefixTTL time.Duration
	// MaxPrefixes is the maximum number of prefixes tracked per upstream; default 256.
	MaxPrefixes int
}

// LimitOptions configures how an upstream's concurrency limit adapts to its latencies; zero fields take the defaults.
type LimitOptions struct {
	// FirstTokenTarget is the target for the 95th percentile of the time to first token; default 1.2 s.
	FirstTokenTarget time.Duration
	// TokenGapTarget is the target for the 95th percentile of the time between tokens; default 51 ms.
	TokenGapTarget time.Duration
	// Window is how long latencies are collected before the limit is adjusted; default 2 s.
	Window time.Duration
	// MinSamples is the minimum number of measured responses in a window for their latencies to change the limit;
	// default 20.
	MinSamples int
	// ShrinkFactor is the factor by which the limit is multiplied when it is lowered; default 0.9.
	ShrinkFactor float64
	// MaxLoadLag is the maximum age of an upstream's state by the time the owner receives the load report that
	// describes it; default 2 s.
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

// Upstream describes an upstream to its owner.
type Upstream struct {
	ID   pomelorelay.UpstreamID
	Pool pomelorelay.PoolID
	// Min and Max are the bounds of the concurrency limit.
	Min, Max pomelorelay.Slots
}

// LoadReport is the load that an upstream reports, with a delay of up to LimitOptions.MaxLoadLag.
type LoadReport struct {
	Running, Waiting int
	// Slots is the number of requests that the upstream can run concurrently; zero means unknown.
	Slots pomelorelay.Slots
}

// RequesterConfig configures a router's requester.
type RequesterConfig struct {
	Node   pomelorelay.NodeID
	Domain pomelorelay.DomainID
	// Regions maps each failure domain to its region.
	Regions      map[pomelorelay.DomainID]pomelorelay.RegionID
	Seed         uint64
	Registration RegistrationOptions
	Spill        SpillOptions
}

// RegistrationOptions configures at how many owners and how often a router registers its demand; zero fields take the
// defaults.
type RegistrationOptions struct {
	// BaseOwners is the number of owners without idle slots at which a router registers while idle slots do not cover
	// its waiting requests; default 4.
	BaseOwners int
	// WaitingPerOwner is the number of waiting requests that add one owner to BaseOwners; default 64.
	WaitingPerOwner int
	// SpareOwners is the number of owners with idle slots at which a router registers beyond those that cover its
	// waiting requests, in case other routers take the slots first; default 2.
	SpareOwners int
	// ChangeInterval is the minimum time between updates of a registration that changed; default 250 ms.
	ChangeInterval time.Duration
	// KeepAliveInterval is the time between refreshes of an unchanged registration; default 1 s.
	KeepAliveInterval time.Duration
	// DigestTTL is how long an upstream may be selected after its owner's last digest; default 3 s.
	DigestTTL time.Duration
	// StartJitter is the maximum random delay of a router's first registrations; default 200 ms.
	StartJitter time.Duration
}

// SpillOptions configures when demand spills over to other failure domains and regions; zero fields take the defaults.
type SpillOptions struct {
	// DomainMargin is the amount by which the last granted tag of an upstream in another domain of the region must
	// exceed the highest one in the local domain before demand spills to that upstream while it has no idle slots;
	// default 10.
	DomainMargin pomelorelay.Tag
	// RegionMargin is the corresponding amount for an upstream in another region; it is higher because traffic between
	// regions is billed; default 100.
	RegionMargin pomelorelay.Tag
	// RegionMinWaiting is the minimum number of waiting requests at which idle slots of another region are used;
	// default 1.
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

// PoolDemand is a router's demand in one pool.
type PoolDemand struct {
	Pool pomelorelay.PoolID
	// Head is the lowest tag of the pool's waiting accounts.
	Head pomelorelay.Tag
	// Waiting is the number of waiting requests.
	Waiting int
	// Prefixes holds hashes of the prompt prefixes of the requests at the head of the queue.
	Prefixes []uint64
}

// GrantOutcome is what a router reports about a grant: the outcome, the router's current demand and the latencies of the
// request.
type GrantOutcome struct {
	State pomelorelay.GrantState
	// Head and Waiting are the router's current demand in the pool: the lowest tag and the number of waiting requests;
	// zero Waiting means none.
	Head    pomelorelay.Tag
	Waiting int
	// FirstToken and TokenGap are the measured times to the first token and between tokens; zero if not measured.
	FirstToken, TokenGap time.Duration
}
