package pomeloconfig

import (
	"net/netip"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Configuration is the fleet-wide configuration set by the operators, the same on every router.
type Configuration struct {
	Regions   []Region   `yaml:"Regions"`
	Services  []Service  `yaml:"Services"`
	Upstreams []Upstream `yaml:"Upstreams"`
	Accounts  []Account  `yaml:"Accounts"`
	Teams     []Team     `yaml:"Teams"`
	// Evacuated lists the failure domains whose upstreams get no new requests.
	Evacuated []pomelorelay.DomainID `yaml:"Evacuated,omitempty" json:",omitempty"`
}

// Team is a group of operators that owns services and accounts.
type Team struct {
	Name string `yaml:"Name"`
	// ShareTotal is the required sum of the shares of the team's accounts; zero disables the check.
	ShareTotal pomelorelay.Weight `yaml:"ShareTotal,omitempty" json:",omitempty"`
}

// Region is a group of failure domains.
type Region struct {
	Name           pomelorelay.RegionID   `yaml:"Name"`
	FailureDomains []pomelorelay.DomainID `yaml:"FailureDomains"`
}

// ServiceKind is the protocol of a service.
type ServiceKind string

// Kinds of service: an OpenAI-style model engine, or plain HTTP.
const (
	ServiceModel ServiceKind = "ModelEngine"
	ServicePlain ServiceKind = "Plain"
)

// Service is a service that client accounts call.
type Service struct {
	Name pomelorelay.ServiceID `yaml:"Name"`
	Team string                `yaml:"Team"`
	Kind ServiceKind           `yaml:"Kind"`
	// NonIdempotent limits each call to at most one execution.
	NonIdempotent bool `yaml:"NonIdempotent,omitempty" json:",omitempty"`
	// KeyOptional accepts a non-idempotent call without an Idempotency-Key; it is sent once, and a resend by the caller is a new call.
	KeyOptional bool `yaml:"KeyOptional,omitempty" json:",omitempty"`
	// InputCost and OutputCost are the costs of one token of a model engine; the cost of a plain service's call is its slot seconds.
	InputCost  pomelorelay.Cost `yaml:"InputCost"`
	OutputCost pomelorelay.Cost `yaml:"OutputCost"`
	// MaxCost is the maximum cost of one request, from which the fairness bound is derived.
	MaxCost pomelorelay.Cost `yaml:"MaxCost"`
	// MaxBody is the maximum size of a request's body in bytes.
	MaxBody pomelorelay.Bytes `yaml:"MaxBody"`
	// MaxWaiting, MaxWaitingBytes and MaxWait limit an account's queue at one router.
	MaxWaiting      int               `yaml:"MaxWaiting"`
	MaxWaitingBytes pomelorelay.Bytes `yaml:"MaxWaitingBytes"`
	MaxWait         time.Duration     `yaml:"MaxWait"`
	// Timeout is the time limit of one attempt at an upstream.
	Timeout time.Duration `yaml:"Timeout"`
	// SpillDomain and SpillRegion are margins in fair-queueing tags (normalised cost). Requests may go to another failure domain
	// or region once the last tag granted at an upstream there exceeds the highest one granted in the local domain by the margin.
	SpillDomain pomelorelay.Tag `yaml:"SpillDomain"`
	SpillRegion pomelorelay.Tag `yaml:"SpillRegion"`
	// CatchUp is the maximum amount of missed service, in normalised cost, that an account which fell behind the others may make up.
	CatchUp pomelorelay.Tag `yaml:"CatchUp"`
	// RetryBudget is the maximum fraction of requests that may be retried.
	RetryBudget float64 `yaml:"RetryBudget"`
	// Retention is how long claims and outcomes of non-idempotent calls are stored.
	Retention time.Duration `yaml:"Retention"`
	// QuarantineFor is how long a request that crashes upstreams is rejected.
	QuarantineFor time.Duration `yaml:"QuarantineFor"`
}

// Upstream is one server of a service; it serves at most one model.
type Upstream struct {
	Name          pomelorelay.UpstreamID `yaml:"Name"`
	Service       pomelorelay.ServiceID  `yaml:"Service"`
	Model         pomelorelay.ModelID    `yaml:"Model,omitempty" json:",omitempty"`
	Address       netip.AddrPort         `yaml:"Address"`
	FailureDomain pomelorelay.DomainID   `yaml:"FailureDomain"`
	Region        pomelorelay.RegionID   `yaml:"Region"`
	// MinSlots and MaxSlots bound the adaptive concurrency limit.
	MinSlots pomelorelay.Slots `yaml:"MinSlots"`
	MaxSlots pomelorelay.Slots `yaml:"MaxSlots"`
	// Resumes enables resuming a broken stream at this upstream.
	Resumes bool `yaml:"Resumes,omitempty" json:",omitempty"`
}

// Account is a client account with its shares and bearer tokens.
type Account struct {
	Name pomelorelay.AccountID `yaml:"Name"`
	Team string                `yaml:"Team"`
	// Share is the account's weight in every service of its team that Shares does not list.
	Share pomelorelay.Weight `yaml:"Share"`
	// Shares overrides the weight for single services.
	Shares map[pomelorelay.ServiceID]pomelorelay.Weight `yaml:"Shares,omitempty" json:",omitempty"`
	// TokenHashes are the SHA-256 digests of the bearer tokens, in hexadecimal.
	TokenHashes []string `yaml:"TokenHashes"`
}

// Pool returns the ID of the pool that the upstream belongs to.
func (u Upstream) Pool() pomelorelay.PoolID { return pomelorelay.Pool(u.Service, u.Model) }
