package pomeloroom

import (
	"math"
	"time"
)

const (
	// MaxSlots is the number of slots up to which an engine's slot time and reserve are learnt; larger engines lose little by a fixed reserve.
	MaxSlots = 24
	// An engine with n slots reserves at most maxReserveFactor times the square root of n, and at most maxReserveFraction of its slots. The number
	// of unreported requests of other routers varies by about that root, and a small engine would reserve nearly all.
	maxReserveFactor   = 3.0
	maxReserveFraction = 0.4
	minReserve         = 1.0
	// deviations is the number of standard deviations of a Poisson count that the reserve covers.
	deviations = 2.0
	// inShareWindow is the time for which slots are kept for requests within their accounts' shares. A shorter one leaves them refused: the reports
	// then show a free slot, but an over-share request has just taken it.
	inShareWindow = 100 * time.Millisecond
	// maxInShareRefused is the fraction of requests within their accounts' shares refused for lack of a slot from which the reserve is MaxReserve.
	// Over-share requests then take slots that others need, whatever the rates say: placement concentrates requests on the engines that have
	// their prompts cached.
	maxInShareRefused = 0.05
	// rateWindow is the time constant of the measured rates.
	rateWindow = time.Second
	// transitTime is added to the time since a report's arrival: the way between regions and the hold of a relay, which reports do not state.
	transitTime = 20 * time.Millisecond
)

// MaxReserve returns the reserve of an engine whose unreported requests are unknown.
func MaxReserve(slots int) float64 {
	return min(maxReserveFactor*math.Sqrt(float64(slots)), maxReserveFraction*float64(slots))
}

// Rate is a number of events per second over about the last second.
type Rate struct {
	sum float64
	at  time.Time
}

// Add records events.
func (r *Rate) Add(now time.Time, events float64) { r.sum, r.at = r.At(now)+events, now }

// At returns the rate in events per second.
func (r *Rate) At(now time.Time) float64 {
	if passed := now.Sub(r.at); passed > 0 && r.sum > 0 {
		return r.sum * math.Exp(-float64(passed)/float64(rateWindow))
	}
	return r.sum
}

// Reserve measures the requests that arrive at one engine and that leave it.
type Reserve struct {
	reportedSince time.Time
	others        Rate
	ownInShare    Rate
	freed         Rate
}

// RecordReported records requests that other routers reported as sent and as ended since their previous reports.
func (r *Reserve) RecordReported(now time.Time, sent, ended float64) {
	if r.reportedSince.IsZero() {
		r.reportedSince = now
	}
	r.others.Add(now, max(0, sent))
	r.freed.Add(now, max(0, ended))
}

// RecordSent records a request of this router within its account's share.
func (r *Reserve) RecordSent(now time.Time) { r.ownInShare.Add(now, 1) }

// RecordEnded records the end of a request of this router.
func (r *Reserve) RecordEnded(now time.Time) { r.freed.Add(now, 1) }

// Conditions are what the reserve depends on besides the engine's own counts.
type Conditions struct {
	Slots int
	// ReportAge is the mean time since the arrival of the other routers' reports.
	ReportAge time.Duration
	// UntilFree is the expected time until a slot becomes free.
	UntilFree time.Duration
	// InShareFraction is the fraction of other routers' requests that are within their accounts' shares.
	InShareFraction float64
	// InShareRefused is the fraction of requests within their accounts' shares that found no slot lately.
	InShareRefused float64
	// Unreported is set while reports of some routers or all are missing.
	Unreported bool
}

// Outcome is a reserve with the quantities that it was derived from.
type Outcome struct {
	// Slots is the number of slots that a request beyond its account's share leaves free.
	Slots float64
	// SendsPerSecond is the rate of other routers' requests to the engine, Unseen the expected number of them that are not yet reported.
	SendsPerSecond, Unseen float64
	// Upcoming is the expected number of requests within their accounts' shares that will arrive within inShareWindow.
	Upcoming float64
	// Growth is the number of slots per second that requests within their shares took in excess of those that became free.
	Growth    float64
	ReportAge time.Duration
}

// Compute returns the reserve, from 1 to MaxReserve.
func (r *Reserve) Compute(now time.Time, c Conditions) Outcome {
	out := Outcome{Slots: MaxReserve(c.Slots), ReportAge: max(0, c.ReportAge) + transitTime, SendsPerSecond: r.others.At(now)}
	out.Unseen = out.SendsPerSecond * out.ReportAge.Seconds()
	inShare := r.ownInShare.At(now) + c.InShareFraction*out.SendsPerSecond
	out.Growth = max(0, inShare-r.freed.At(now))
	out.Upcoming = inShare * inShareWindow.Seconds()
	if c.Unreported || r.reportedSince.IsZero() || now.Sub(r.reportedSince) < rateWindow {
		return out
	}
	count := out.Unseen + out.Upcoming
	needed := count + deviations*math.Sqrt(count) + out.Growth*c.UntilFree.Seconds()
	// The weighted sum, unlike needed plus a part of the difference, does not fall by a rounding error when needed grows.
	limit, weight := out.Slots, min(1, max(0, c.InShareRefused)/maxInShareRefused)
	needed = max(min(needed, limit), min(minReserve, limit))
	out.Slots = max(min(needed*(1-weight)+limit*weight, limit), min(minReserve, limit))
	return out
}
