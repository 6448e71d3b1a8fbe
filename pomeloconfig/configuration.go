package pomeloconfig

import (
	"net/netip"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Configuration is what the operators decide, the same on every router.
type Configuration struct {
	Regions   []Region
	Services  []Service
	Upstreams []Upstream
	Accounts  []Account
}

// Region is a group of failure domains.
type Region struct {
	Name           pomelorelay.RegionID
	FailureDomains []pomelorelay.DomainID
}

// ServiceKind tells how a service is spoken to.
type ServiceKind string

// The kinds of service.
const (
	ServiceModel ServiceKind = "ModelEngine"
	ServicePlain ServiceKind = "Plain"
)

// Service is something that client accounts call.
type Service struct {
	Name pomelorelay.ServiceID
	Team string
	Kind ServiceKind
	// NonIdempotent tells that a call may run at most once.
	NonIdempotent bool
	// KeyOptional lets a non-idempotent call come without an Idempotency-Key; it is then sent once and a caller's resend is a new call.
	KeyOptional bool
	// InputCost and OutputCost weigh one token of a model engine; a plain service costs its slot seconds.
	InputCost  pomelorelay.Cost
	OutputCost pomelorelay.Cost
	// MaxCost bounds the cost of one request, for the fairness bound.
	MaxCost pomelorelay.Cost
	// MaxBody bounds a request's body.
	MaxBody pomelorelay.Bytes
	// MaxWaiting, MaxWaitingBytes and MaxWait bound an account's queue at one router.
	MaxWaiting      int
	MaxWaitingBytes pomelorelay.Bytes
	MaxWait         time.Duration
	// Timeout bounds one attempt at an upstream.
	Timeout time.Duration
	// SpillDomain and SpillRegion are how far the tag granted elsewhere must be above the local one before demand goes there.
	SpillDomain pomelorelay.Tag
	SpillRegion pomelorelay.Tag
	// CatchUp caps how far an account may be behind the others and still be owed the difference.
	CatchUp pomelorelay.Tag
	// RetryBudget is the fraction of requests that may be sent a second time.
	RetryBudget float64
	// Retention is how long claims and outcomes of non-idempotent calls are kept.
	Retention time.Duration
	// QuarantineFor is how long a request that crashes upstreams is refused.
	QuarantineFor time.Duration
}

// Upstream is one server of a service; it serves one model at most.
type Upstream struct {
	Name          pomelorelay.UpstreamID
	Service       pomelorelay.ServiceID
	Model         pomelorelay.ModelID
	Address       netip.AddrPort
	FailureDomain pomelorelay.DomainID
	Region        pomelorelay.RegionID
	// MinSlots and MaxSlots bound the learnt concurrency limit.
	MinSlots pomelorelay.Slots
	MaxSlots pomelorelay.Slots
	// Resumes tells that a broken stream can be taken up again.
	Resumes bool
}

// Account is a client account.
type Account struct {
	Name pomelorelay.AccountID
	Team string
	// Share is the account's weight in every service of its team that Shares does not name.
	Share pomelorelay.Weight
	// Shares gives the weight by service.
	Shares map[pomelorelay.ServiceID]pomelorelay.Weight
	// TokenHashes are the SHA-256 digests, in hexadecimal, of the bearer tokens.
	TokenHashes []string
}

// Pool returns the pool that the upstream serves.
func (u Upstream) Pool() pomelorelay.PoolID { return pomelorelay.Pool(u.Service, u.Model) }
