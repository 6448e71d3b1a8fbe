package pomelooverload

import "time"

// Config holds the settings of a Control; zero values select the defaults.
type Config struct {
	// Threshold is the delay above which requests count as late.
	Threshold time.Duration
	// Interval is how long all requests must be late until the limit begins, and the time between two adjustments of the limit.
	Interval time.Duration
	// Hold is how long the limit must have refused nothing until it ends.
	Hold time.Duration
}

const (
	// defaultThreshold is a tenth of the callers' shortest latency target; a request delayed by it can still be served on time.
	defaultThreshold = 20 * time.Millisecond
	defaultInterval  = 100 * time.Millisecond
	// defaultHold leaves a tenth of the 0.5 s within which the limit must end for the last interval.
	defaultHold = 400 * time.Millisecond
	// onsetFraction is the fraction of an interval for which all requests must be late until the limit begins. The rest is for the time until the first
	// requests are late, so that the limit begins within an interval.
	onsetFraction = 0.8
	// minLate is the minimum number of late requests in an interval that begin the limit. A caller that connects long before it sends its request
	// looks like a late request, and at low rates a few of them could be all requests of an interval.
	minLate = 5
	// minLateTicks is minLate for the timer, which ticks a few times an interval at most when it is late. One late tick may be a pause of the
	// host that is already over.
	minLateTicks = 2
	// minRate is the lowest limit in requests per second. A router that admits nothing would not notice that its delay has another cause.
	minRate = 5.0
	// initialFraction is the first limit as a fraction of the rate at which requests were admitted while none was refused: refusing the others and
	// the standing queue take the rest of the processor's time.
	initialFraction = 0.4
	// limitDecrease multiplies the limit after an interval in which all requests were late.
	limitDecrease = 0.8
	// limitIncrease is added to the limit after an interval with a delay below half of the threshold, as a fraction of the limit at the start.
	limitIncrease = 0.02
	// stepGrowth multiplies the addition with each one in a row up to maxStepFraction of the limit, so that a limit that began far below the capacity
	// reaches it within seconds.
	stepGrowth      = 1.2
	maxStepFraction = 0.05
	// rateDecay is the fraction of the admitted rate that remains after an interval in which less was admitted, and maxIntervals the length from
	// which an interval was stalled, in intervals.
	rateDecay    = 0.9
	maxIntervals = 2
	// minBurst is the minimum size of the token bucket, and burstTime the time in which the limit fills it.
	minBurst  = 4.0
	burstTime = 100 * time.Millisecond
	// closeUnreadDelay is the delay from which connections are closed unread: half of the time after which callers abandon an unread request. While
	// the router keeps up with refusing, the delay stays far below.
	closeUnreadDelay = 500 * time.Millisecond
)

func (c *Config) setDefaults() {
	if c.Threshold <= 0 {
		c.Threshold = defaultThreshold
	}
	if c.Interval <= 0 {
		c.Interval = defaultInterval
	}
	if c.Hold <= 0 {
		c.Hold = defaultHold
	}
}
