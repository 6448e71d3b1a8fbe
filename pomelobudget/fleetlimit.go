package pomelobudget

const (
	// usedFraction is the fraction of a FleetLimit that the routers use. Callers are spread unevenly over the routers, and a router that has
	// just started, or is cut off, counts fewer routers than there are.
	usedFraction = 0.6
	// minRouters is the number of routers that a router assumes at least.
	minRouters = 8
)

// FleetLimit bounds the retries that all routers together send a service in some span of time: to Ratio of the requests for it, plus Slack. Each
// router takes its part of Slack and counts its own requests.
type FleetLimit struct {
	Ratio, Slack float64
}

// PerRequest returns the fraction of a retry that one request allows.
func (l FleetLimit) PerRequest() float64 { return usedFraction * l.Ratio }

// MaxSaved returns how many retries one of the given number of routers may save up, at least one.
func (l FleetLimit) MaxSaved(routers int) float64 {
	return max(1, usedFraction*l.Slack/float64(max(routers, minRouters)))
}
