package pomelofair

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Config sets up a Queues.
type Config struct {
	// Weights gives the accounts' shares; nil counts every account as one.
	Weights pomelorelay.Weights
	Charge  ChargeOptions
	Limit   LimitOptions
}

// ChargeOptions says how a request is charged whose cost is known only at its end.
type ChargeOptions struct {
	// AdmissionFraction is the part of the expected cost that is charged when a request is popped; default 0.35.
	AdmissionFraction float64
	// CatchUp is how far behind the virtual time a backlogged account may stay, in normalised cost; default 60.
	CatchUp pomelorelay.Tag
	// FirstCost is the expected cost before any request of the pool ended; default 1.
	FirstCost pomelorelay.Cost
	// MeanShare is the weight of the newest request in the running mean; default 0.125.
	MeanShare float64
	// HintFactor bounds a caller's hint to between mean/HintFactor and mean*HintFactor; default 2.
	HintFactor float64
}

// LimitOptions bounds what one account may have waiting in one pool at one router.
type LimitOptions struct {
	// Count is the number of waiting requests; default 256.
	Count int
	// Bytes is the sum of the bodies of waiting requests; default 16 MiB.
	Bytes pomelorelay.Bytes
	// MaxWait is the longest that a request waits; default 60 s.
	MaxWait time.Duration
}

// PoolOptions are what differs from pool to pool: the unit of cost is a token in one and a slot second in another.
type PoolOptions struct {
	// CatchUp stands for ChargeOptions.CatchUp.
	CatchUp pomelorelay.Tag
	// MaxWaiting and Bytes stand for those of LimitOptions.
	MaxWaiting int
	MaxWaitingBytes pomelorelay.Bytes
}

const (
	defaultAdmissionFraction = 0.35
	defaultCatchUp           = 60
	defaultFirstCost         = 1
	defaultMeanShare         = 0.125
	defaultHintFactor        = 2
	defaultCount             = 256
	defaultBytes             = 16 << 20
	defaultWait              = 60 * time.Second
)

func (o ChargeOptions) withDefaults() ChargeOptions {
	if o.AdmissionFraction == 0 {
		o.AdmissionFraction = defaultAdmissionFraction
	}
	if o.CatchUp == 0 {
		o.CatchUp = defaultCatchUp
	}
	if o.FirstCost == 0 {
		o.FirstCost = defaultFirstCost
	}
	if o.MeanShare == 0 {
		o.MeanShare = defaultMeanShare
	}
	if o.HintFactor == 0 {
		o.HintFactor = defaultHintFactor
	}
	return o
}

func (o LimitOptions) withDefaults() LimitOptions {
	if o.Count == 0 {
		o.Count = defaultCount
	}
	if o.Bytes == 0 {
		o.Bytes = defaultBytes
	}
	if o.MaxWait == 0 {
		o.MaxWait = defaultWait
	}
	return o
}

// Request is a caller's request as it is queued.
type Request struct {
	ID      pomelorelay.RequestID
	Pool    pomelorelay.PoolID
	Account pomelorelay.AccountID
	// Bytes is the size of the body.
	Bytes pomelorelay.Bytes
	// Hint is the caller's guess of the cost; zero means none.
	Hint pomelorelay.Cost
}
