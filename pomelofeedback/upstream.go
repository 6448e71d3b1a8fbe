package pomelofeedback

import (
	"math"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

const (
	// MaxAge is the age from which an announcement is not used; hosts change speed several times a second.
	MaxAge = time.Second
	// fadeStart is the age from which the weight falls linearly to nothing at MaxAge.
	fadeStart = 400 * time.Millisecond
	// runningMaxAge is the age up to which announced counts are used. Requests of other routers begin and end meanwhile, and their reports, which
	// are about 100 ms old, then show the load better.
	runningMaxAge = 300 * time.Millisecond
	// repeatWindow is the time around an announcement within which an equal one counts as the same: after a change of the relay an announcement may
	// arrive twice, with ages that differ by the time for which the reports were under way. With a window of 50 ms, equal figures in quick succession
	// would not count, and only those that changed would enter the errors.
	repeatWindow = 5 * time.Millisecond
	// maxFactor bounds the factor and minFactor its inverse, because a single false figure can be as high as 100 times the usual one. Hosts are known
	// to become 2.5 times slower.
	maxFactor = 4.0
	minFactor = 1.0
	// maxDeviation bounds the logarithm of a figure's ratio to the usual one before it enters the means and errors.
	maxDeviation = 2.0
)

// Announcement is the load that a process of an upstream announced.
type Announcement struct {
	Figures pomelorelay.UpstreamFigures
	// StartUnixMilli is the start time of the process; zero if unknown.
	StartUnixMilli int64
	// At is when the announcement was made, by this router's clock.
	At time.Time
}

// Outcome tells how an announcement was used.
type Outcome int

// Outcomes of an announcement.
const (
	// OutcomeNewest is an announcement that is now the newest one.
	OutcomeNewest Outcome = iota
	// OutcomeRepeated is an announcement that is known already.
	OutcomeRepeated
	// OutcomeStale is an announcement that is older than the newest one, too old to be used, or from an earlier process.
	OutcomeStale
)

// Comparison is the comparison of a new announcement with what was expected from the earlier ones.
type Comparison struct {
	Outcome Outcome
	// Ratio is the expected slowness over the announced one; zero if there was nothing to compare.
	Ratio float64
}

// Upstream holds the announcements of one upstream.
type Upstream struct {
	start  int64
	latest Announcement
	known  bool
	// latestDeviation is deviation of the latest figures.
	latestDeviation float64
	mean            decayingMean
	errors          [ageClasses]errorSums
	own             recentRuns
	// ownDelta is the number of this router's sends after the latest announcement, minus that of the ends.
	ownDelta int
}

// NewUpstream returns the state of an upstream whose process started at the given time in Unix milliseconds; zero if unknown.
func NewUpstream(startUnixMilli int64) *Upstream { return &Upstream{start: startUnixMilli} }

// Observe records an announcement.
func (u *Upstream) Observe(now time.Time, a Announcement) Comparison {
	if a.At.After(now) {
		a.At = now
	}
	if !a.Figures.Known() || now.Sub(a.At) > MaxAge || (a.StartUnixMilli != 0 && a.StartUnixMilli < u.start) {
		return Comparison{Outcome: OutcomeStale}
	}
	u.followProcess(a.StartUnixMilli)
	if u.known {
		since := a.At.Sub(u.latest.At)
		if a.Figures == u.latest.Figures && since < repeatWindow && since > -repeatWindow {
			return Comparison{Outcome: OutcomeRepeated}
		}
		if since <= 0 {
			return Comparison{Outcome: OutcomeStale}
		}
	}
	c := Comparison{Ratio: u.compare(a)}
	u.latest, u.known, u.latestDeviation = a, true, deviation(a.Figures)
	u.ownDelta = u.own.deltaSince(a.At)
	return c
}

// followProcess drops everything that an earlier process announced.
func (u *Upstream) followProcess(start int64) {
	if start <= u.start {
		return
	}
	if u.start != 0 {
		*u = Upstream{own: u.own}
	}
	u.start = start
}

// compare updates the mean and the errors by a newer announcement and returns the expected slowness over the announced one.
func (u *Upstream) compare(a Announcement) float64 {
	if a.Figures.SlownessPercent <= 0 {
		return 0
	}
	next, mean, ratio := deviation(a.Figures), u.mean.value(), 0.0
	if u.AnnouncesSlowness() {
		age := a.At.Sub(u.latest.At)
		ratio = math.Exp(mean + u.weight(age)*(u.latestDeviation-mean) - next)
		if age <= MaxAge {
			u.errors[ageClass(age)].add(a.At, square(next-u.latestDeviation), square(next-mean))
		}
	}
	u.mean.add(a.At, next)
	return ratio
}

// deviation returns the logarithm of the announced slowness relative to the usual one.
func deviation(f pomelorelay.UpstreamFigures) float64 {
	if f.SlownessPercent <= 0 {
		return 0
	}
	return min(max(math.Log(float64(f.SlownessPercent)/100), -maxDeviation), maxDeviation)
}

func square(x float64) float64 { return x * x }

// Latest returns the newest announcement; false if there is none.
func (u *Upstream) Latest() (Announcement, bool) { return u.latest, u.known }

// AnnouncesSlowness reports whether the upstream's newest announcement has a slowness.
func (u *Upstream) AnnouncesSlowness() bool { return u.known && u.latest.Figures.SlownessPercent > 0 }

// Slowness returns the momentary factor: how many times longer than on average work takes on the upstream's host now. It is 1 where the announcements
// do not predict it.
func (u *Upstream) Slowness(now time.Time) float64 {
	if !u.AnnouncesSlowness() {
		return 1
	}
	w := u.weight(now.Sub(u.latest.At))
	if w <= 0 {
		return 1
	}
	return min(max(math.Exp(w*(u.latestDeviation-u.mean.value())), minFactor), maxFactor)
}

// weight returns the weight, from 0 to 1, of an announcement of the given age.
func (u *Upstream) weight(age time.Duration) float64 {
	if age >= MaxAge {
		return 0
	}
	fade := min(1, float64(MaxAge-age)/float64(MaxAge-fadeStart))
	return fade * u.errors[ageClass(age)].weight()
}

// Error returns the root mean square error of the logarithm of announcements as old as the newest one, as predictions of the next one.
func (u *Upstream) Error(now time.Time) float64 {
	return math.Sqrt(u.errors[ageClass(now.Sub(u.latest.At))].predictionError())
}

// RecordSend records that this router sends a request to the upstream.
func (u *Upstream) RecordSend(now time.Time) { u.record(now, 1) }

// RecordEnd records the end of a request that this router sent and the upstream ran.
func (u *Upstream) RecordEnd(now time.Time) { u.record(now, -1) }

func (u *Upstream) record(now time.Time, delta int) {
	u.own.add(now, delta)
	if u.known && now.After(u.latest.At) {
		u.ownDelta += delta
	}
}

// Running returns the number of requests that run or wait at the upstream, and at least the number that is known from reports and this router's own
// runs. The sum counts no request twice: what this router sent before the announcement is in the announced counts only.
func (u *Upstream) Running(now time.Time, known int) int {
	if !u.known || now.Sub(u.latest.At) > runningMaxAge {
		return known
	}
	return max(known, u.latest.Figures.Running+u.latest.Figures.Waiting+u.ownDelta)
}
