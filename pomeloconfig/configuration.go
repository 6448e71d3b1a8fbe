package pomeloconfig

import (
	"net/netip"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Configuration is what the operators decide, the same on every router.
type Configuration struct {
	Regions   []Region   `yaml:"Regions"`
	Services  []Service  `yaml:"Services"`
	Upstreams []Upstream `yaml:"Upstreams"`
	Accounts  []Account  `yaml:"Accounts"`
	Teams     []Team     `yaml:"Teams"`
	// Evacuated are the failure domains whose upstreams get nothing new.
	Evacuated []pomelorelay.DomainID `yaml:"Evacuated,omitempty" json:",omitempty"`
}

// Team is a group of operators with its own services and accounts.
type Team struct {
	Name string `yaml:"Name"`
	// ShareTotal is what the shares of the team's accounts add up to; zero leaves the sum unchecked.
	ShareTotal pomelorelay.Weight `yaml:"ShareTotal,omitempty" json:",omitempty"`
}

// Region is a group of failure domains.
type Region struct {
	Name           pomelorelay.RegionID   `yaml:"Name"`
	FailureDomains []pomelorelay.DomainID `yaml:"FailureDomains"`
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
	Name pomelorelay.ServiceID `yaml:"Name"`
	Team string                `yaml:"Team"`
	Kind ServiceKind           `yaml:"Kind"`
	// NonIdempotent tells that a call may run at most once.
	NonIdempotent bool `yaml:"NonIdempotent,omitempty" json:",omitempty"`
	// KeyOptional lets a non-idempotent call come without an Idempotency-Key; it is then sent once and a caller's resend is a new call.
	KeyOptional bool `yaml:"KeyOptional,omitempty" json:",omitempty"`
	// InputCost and OutputCost weigh one token of a model engine; a plain service costs its slot seconds.
	InputCost  pomelorelay.Cost `yaml:"InputCost"`
	OutputCost pomelorelay.Cost `yaml:"OutputCost"`
	// MaxCost bounds the cost of one request, for the fairness bound.
	MaxCost pomelorelay.Cost `yaml:"MaxCost"`
	// MaxBody bounds a request's body.
	MaxBody pomelorelay.Bytes `yaml:"MaxBody"`
	// MaxWaiting, MaxWaitingBytes and MaxWait bound an account's queue at one router.
	MaxWaiting      int               `yaml:"MaxWaiting"`
	MaxWaitingBytes pomelorelay.Bytes `yaml:"MaxWaitingBytes"`
	MaxWait         time.Duration     `yaml:"MaxWait"`
	// Timeout bounds one attempt at an upstream.
	Timeout time.Duration `yaml:"Timeout"`
	// SpillDomain and SpillRegion are how far the tag granted elsewhere must be above the local one before demand goes there.
	SpillDomain pomelorelay.Tag `yaml:"SpillDomain"`
	SpillRegion pomelorelay.Tag `yaml:"SpillRegion"`
	// CatchUp caps how far an account may be behind the others and still be owed the difference.
	CatchUp pomelorelay.Tag `yaml:"CatchUp"`
	// RetryBudget is the fraction of requests that may be sent a second time.
	RetryBudget float64 `yaml:"RetryBudget"`
	// Retention is how long claims and outcomes of non-idempotent calls are kept.
	Retention time.Duration `yaml:"Retention"`
	// QuarantineFor is how long a request that crashes upstreams is refused.
	QuarantineFor time.Duration `yaml:"QuarantineFor"`
}

// Upstream is one server of a service; it serves one model at most.
type Upstream struct {
	Name          pomelorelay.UpstreamID `yaml:"Name"`
	Service       pomelorelay.ServiceID  `yaml:"Service"`
	Model         pomelorelay.ModelID    `yaml:"Model,omitempty" json:",omitempty"`
	Address       netip.AddrPort         `yaml:"Address"`
	FailureDomain pomelorelay.DomainID   `yaml:"FailureDomain"`
	Region        pomelorelay.RegionID   `yaml:"Region"`
	// MinSlots and MaxSlots bound the learnt concurrency limit.
	MinSlots pomelorelay.Slots `yaml:"MinSlots"`
	MaxSlots pomelorelay.Slots `yaml:"MaxSlots"`
	// Resumes tells that a broken stream can be taken up again.
	Resumes bool `yaml:"Resumes,omitempty" json:",omitempty"`
}

// Account is a client account.
type Account struct {
	Name pomelorelay.AccountID `yaml:"Name"`
	Team string                `yaml:"Team"`
	// Share is the account's weight in every service of its team that Shares does not name.
	Share pomelorelay.Weight `yaml:"Share"`
	// Shares gives the weight by service.
	Shares map[pomelorelay.ServiceID]pomelorelay.Weight `yaml:"Shares,omitempty" json:",omitempty"`
	// TokenHashes are the SHA-256 digests, in hexadecimal, of the bearer tokens.
	TokenHashes []string `yaml:"TokenHashes"`
}

// Pool returns the pool that the upstream serves.
func (u Upstream) Pool() pomelorelay.PoolID { return pomelorelay.Pool(u.Service, u.Model) }
