package pomelofair

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// BoundInput holds what the fixed bound of the gap depends on; docs/design/fairness.md derives it.
type BoundInput struct {
	// MaxCost is the most that one request may cost.
	MaxCost pomelorelay.Cost
	// Expected is the largest expected cost that is charged from, hints included.
	Expected pomelorelay.Cost
	// InFlight is the most requests of one account that run at once across the fleet.
	InFlight int
	// SlotRate is the most that one running request accrues in a second.
	SlotRate pomelorelay.Cost
	// MinWeight is the smallest weight of the accounts compared.
	MinWeight pomelorelay.Weight
	// AdmissionFraction is as in ChargeOptions.
	AdmissionFraction float64
	// Ledger, Refresh, Digest and Progress are the periods of totals, registered tags, digests and Progress.
	Ledger, Refresh, Digest, Progress time.Duration
	// Link is the one-way latency between routers.
	Link time.Duration
	// PrefixMargin is as in pomeloslot's GrantOptions.
	PrefixMargin pomelorelay.Tag
}

// The parts of the bound: how many times each period can hide charges, how many messages lie between a charge and the
// decision that ought to know of it, and how many times the admission charges of all running requests can be missed.
const (
	boundLedgers = 4
	boundLinks   = 6
	boundCharges = 3
)

// Bound returns the most by which the normalised service of two accounts can differ that wait without a break since it was equal, in normalised cost.
func Bound(in BoundInput) pomelorelay.Tag {
	flight := pomelorelay.Cost(in.InFlight)
	hidden := boundLedgers*in.Ledger + in.Refresh + in.Digest + in.Progress + boundLinks*in.Link
	running := flight * in.MaxCost
	charges := boundCharges * flight * in.Expected * pomelorelay.Cost(in.AdmissionFraction)
	accrued := flight * in.SlotRate * pomelorelay.Cost(hidden.Seconds())
	return (running + charges + accrued).Normalise(in.MinWeight) + in.PrefixMargin
}
