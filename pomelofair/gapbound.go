package pomelofair

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// GapBoundInput holds what the fixed bound of the gap depends on; docs/design/fairness.md derives it.
type GapBoundInput struct {
	// MaxCost is the most that one request may cost.
	MaxCost pomelorelay.Cost
	// MaxExpectedCost is the largest expected cost that is charged from, hints included.
	MaxExpectedCost pomelorelay.Cost
	// MaxInFlight is the most requests of one account that run at once across the fleet.
	MaxInFlight int
	// CostPerSecond is the most that one running request accrues in a second.
	CostPerSecond pomelorelay.Cost
	// MinWeight is the smallest weight of the accounts compared.
	MinWeight pomelorelay.Weight
	// AdmissionFraction is as in ChargeOptions.
	AdmissionFraction float64
	// LedgerInterval, Refresh, Digest and Progress are the periods of totals, registered tags, digests and Progress.
	LedgerInterval, DemandInterval, DigestInterval, ProgressInterval time.Duration
	// LinkLatency is the one-way latency between routers.
	LinkLatency time.Duration
	// PrefixMargin is as in pomeloslot's GrantOptions.
	PrefixMargin pomelorelay.Tag
}

// The parts of the bound: how many times each period can hide charges, how many messages lie between a charge and the
// decision that ought to know of it, and how many times the admission charges of all running requests can be missed.
const (
	ledgerIntervals  = 4
	linkTraversals   = 6
	admissionCharges = 3
)

// GapBound returns the most by which the normalised service of two accounts can differ that wait without a break since it was equal, in normalised cost.
func GapBound(in GapBoundInput) pomelorelay.Tag {
	inFlight := pomelorelay.Cost(in.MaxInFlight)
	staleness := ledgerIntervals*in.LedgerInterval + in.DemandInterval + in.DigestInterval + in.ProgressInterval + linkTraversals*in.LinkLatency
	running := inFlight * in.MaxCost
	charges := admissionCharges * inFlight * in.MaxExpectedCost * pomelorelay.Cost(in.AdmissionFraction)
	accrued := inFlight * in.CostPerSecond * pomelorelay.Cost(staleness.Seconds())
	return (running + charges + accrued).Normalise(in.MinWeight) + in.PrefixMargin
}
