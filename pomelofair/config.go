package pomelofair

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Config configures a Queues.
type Config struct {
	// Weights provides the weights of the accounts; with nil, every account has weight 1.
	Weights pomelorelay.Weights
	Charge  ChargeOptions
	Limit   LimitOptions
}

// ChargeOptions configures how requests are charged before their final cost is known; zero fields take the defaults.
type ChargeOptions struct {
	// AdmissionFraction is the fraction of its expected cost that a request is charged when it is popped; default 0.35.
	AdmissionFraction float64
	// CatchUp is the maximum normalised cost by which a backlogged account may stay behind the virtual time; default 60.
	CatchUp pomelorelay.Tag
	// InitialCost is the expected cost before any request of the pool has finished; default 1.
	InitialCost pomelorelay.Cost
	// MeanSmoothing is the weight of the newest request in the moving average of the cost; default 0.125.
	MeanSmoothing float64
	// HintFactor limits a caller's cost hint to between 1/HintFactor and HintFactor times the account's mean cost;
	// default 2.
	HintFactor float64
}

// LimitOptions holds the limits on the waiting requests of one account in one pool at one router; zero fields take the
// defaults.
type LimitOptions struct {
	// MaxWaiting is the maximum number of waiting requests; default 256.
	MaxWaiting int
	// MaxWaitingBytes is the maximum total body size of the waiting requests; default 16 MiB.
	MaxWaitingBytes pomelorelay.Bytes
	// MaxWait is the maximum time that a request waits; default 60 s.
	MaxWait time.Duration
}

// PoolOptions overrides options for one pool, since the unit of cost differs between pools: tokens in one, slot seconds in another.
type PoolOptions struct {
	// CatchUp overrides ChargeOptions.CatchUp.
	CatchUp pomelorelay.Tag
	// MaxWaiting and MaxWaitingBytes override the limits of LimitOptions.
	MaxWaiting      int
	MaxWaitingBytes pomelorelay.Bytes
}

const (
	defaultAdmissionFraction = 0.35
	defaultCatchUp           = 60
	defaultInitialCost       = 1
	defaultMeanSmoothing     = 0.125
	defaultHintFactor        = 2
	defaultMaxWaiting        = 256
	defaultMaxWaitingBytes   = 16 << 20
	defaultMaxWait           = 60 * time.Second
)

func (o ChargeOptions) withDefaults() ChargeOptions {
	if o.AdmissionFraction == 0 {
		o.AdmissionFraction = defaultAdmissionFraction
	}
	if o.CatchUp == 0 {
		o.CatchUp = defaultCatchUp
	}
	if o.InitialCost == 0 {
		o.InitialCost = defaultInitialCost
	}
	if o.MeanSmoothing == 0 {
		o.MeanSmoothing = defaultMeanSmoothing
	}
	if o.HintFactor == 0 {
		o.HintFactor = defaultHintFactor
	}
	return o
}

func (o LimitOptions) withDefaults() LimitOptions {
	if o.MaxWaiting == 0 {
		o.MaxWaiting = defaultMaxWaiting
	}
	if o.MaxWaitingBytes == 0 {
		o.MaxWaitingBytes = defaultMaxWaitingBytes
	}
	if o.MaxWait == 0 {
		o.MaxWait = defaultMaxWait
	}
	return o
}

// Request describes a caller's request to be queued.
type Request struct {
	ID      pomelorelay.RequestID
	Pool    pomelorelay.PoolID
	Account pomelorelay.AccountID
	// Bytes is the body size.
	Bytes pomelorelay.Bytes
	// Hint is the caller's estimate of the cost; zero means none.
	Hint pomelorelay.Cost
}
