package pomelofair

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// GapBoundInput holds the parameters of GapBound; docs/design/fairness.md derives the bound.
type GapBoundInput struct {
	// MaxCost is the maximum cost of one request.
	MaxCost pomelorelay.Cost
	// MaxExpectedCost is the maximum expected cost on which an admission charge is based, including hints.
	MaxExpectedCost pomelorelay.Cost
	// MaxInFlight is the maximum number of concurrently running requests of one account across the fleet.
	MaxInFlight int
	// CostPerSecond is the maximum cost that one running request accrues per second.
	CostPerSecond pomelorelay.Cost
	// MinWeight is the smallest weight of the compared accounts.
	MinWeight pomelorelay.Weight
	// AdmissionFraction is ChargeOptions.AdmissionFraction.
	AdmissionFraction float64
	// LedgerInterval, DemandInterval, DigestInterval and ProgressInterval are the periods at which a router receives
	// fleet totals, owners receive demand, routers receive slot digests, and running requests are charged for progress.
	LedgerInterval, DemandInterval, DigestInterval, ProgressInterval time.Duration
	// LinkLatency is the one-way latency between routers.
	LinkLatency time.Duration
	// PrefixMargin is GrantOptions.PrefixMargin of package pomeloslot.
	PrefixMargin pomelorelay.Tag
}

const (
	// ledgerIntervals is the number of ledger intervals during which charges can be unknown to a grant decision.
	ledgerIntervals = 4
	// linkTraversals is the number of messages between a charge and a grant decision that takes the charge into
	// account.
	linkTraversals = 6
	// admissionCharges is the maximum number of sets of admission charges that can be unknown to a grant decision; a
	// set is one charge for each running request of an account.
	admissionCharges = 3
)

// GapBound returns the maximum difference of normalised service between two accounts that have been backlogged without
// interruption since their service was equal.
func GapBound(in GapBoundInput) pomelorelay.Tag {
	inFlight := pomelorelay.Cost(in.MaxInFlight)
	staleness := ledgerIntervals*in.LedgerInterval + in.DemandInterval + in.DigestInterval + in.ProgressInterval + linkTraversals*in.LinkLatency
	running := inFlight * in.MaxCost
	charges := admissionCharges * inFlight * in.MaxExpectedCost * pomelorelay.Cost(in.AdmissionFraction)
	accrued := inFlight * in.CostPerSecond * pomelorelay.Cost(staleness.Seconds())
	return (running + charges + accrued).Normalise(in.MinWeight) + in.PrefixMargin
}
