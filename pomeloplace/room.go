package pomeloplace

import (
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloroom"
	"github.com/pomelorelay/pomelorelay/pomelospeed"
)

const (
	// sendRatioHalfLife is the half-life of the sends from which the in-share fraction and the mean prefill work are measured.
	sendRatioHalfLife = 2 * time.Second
	// silentPeerWeight is the weight, in requests per second, of the report of a router that sends nothing in the mean age of the reports.
	silentPeerWeight = 0.01
	// minCountedPrefills is the least prefill with which leavesRoom counts a prompt, in mean prefills of recent sends.
	minCountedPrefills = 3
)

// newSendRatio returns a mean over this router's sends; the prior counts as one send.
func newSendRatio(prior float64) *pomelospeed.DecayingRatio {
	return pomelospeed.NewDecayingRatio(pomelospeed.DecayingRatioConfig{Prior: prior, PriorWeight: 1, HalfLife: sendRatioHalfLife})
}

// hasFewSlots reports whether slot time and reserve are learnt for the upstream.
func (u *upstream) hasFewSlots() bool { return u.engine != nil && u.slots() <= pomeloroom.MaxSlots }

// slotInterval returns the expected time until one of the engine's slots becomes free.
func (u *upstream) slotInterval(now time.Time) time.Duration {
	if !u.hasFewSlots() || u.pool.slotTime == nil {
		return slotFreeInterval
	}
	remaining := time.Duration(0)
	for _, run := range u.runs {
		if run.expected == 0 {
			remaining += u.pool.slotTime.MeanRemaining()
			continue
		}
		remaining += pomeloroom.Remaining(now, run.expectedEnd, run.expected)
	}
	others := max(0, min(u.running(), u.slots())-len(u.runs))
	if interval := u.pool.slotTime.UntilFree(remaining, len(u.runs), others); interval > 0 {
		return interval
	}
	return slotFreeInterval
}

// trackRun records a run that was sent to a small engine.
func (u *upstream) trackRun(now time.Time, run *Run, c candidate, r *Request) {
	if !u.hasFewSlots() {
		return
	}
	inShare := 0.0
	if r.WithinShare {
		inShare = 1
		u.reserve.RecordSent(now)
	}
	u.pool.inShare.Observe(now, pomelospeed.RatioSums{Numerator: inShare, Denominator: 1})
	u.pool.sendTokens.Observe(now, pomelospeed.RatioSums{Numerator: float64(run.prefillTokens), Denominator: 1})
	run.plan = pomeloroom.Plan{Route: r.Route, Estimated: r.OutputTokens, Running: min(u.running(), u.slots()), FirstToken: c.expectedLatency}
	if r.VersionFixed {
		// A resumed stream generates only the rest of the estimated tokens.
		run.plan.Estimated = 0
	}
	if u.pool.slotTime != nil {
		run.expected = u.pool.slotTime.Expected(now, run.plan)
	}
	run.expectedEnd = now.Add(run.expected)
	u.runs = append(u.runs, run)
}

// RecordEvents records the number of stream events that the upstream sent for a run; it precedes RecordEnd.
func (p *Placer) RecordEvents(run *Run, events int) { run.events = events }

// endRun removes a run of a small engine. Only complete answers show how long a request takes, and only runs that found a free slot how long they
// occupy it.
func (u *upstream) endRun(now time.Time, run *Run, result Result) {
	at := slices.Index(u.runs, run)
	if at < 0 {
		return
	}
	u.runs = slices.Delete(u.runs, at, at+1)
	u.reserve.RecordEnded(now)
	if u.engine == nil || u.pool.slotTime == nil || !result.Served() || run.waitedForSlot {
		return
	}
	output := pomelorelay.Tokens(run.events) * max(1, u.engine.TokensPerEvent)
	u.pool.slotTime.Observe(now, pomeloroom.Sample{Plan: run.plan, Output: output, Predicted: run.expected, Duration: now.Sub(run.sent)})
}

// recordReported records the sends and ends in the difference of two reports. A router of an earlier version reports no sends; there, and where a
// relay adds such a router's load, an increase of the running requests shows some of them.
func recordReported(now time.Time, o *peer, u *upstream, before, next load, counted bool) {
	if !counted {
		u.reserve.RecordReported(now, 0, 0)
		return
	}
	started := float64(next.running - before.running)
	sent := max(0, started)
	// A counter that restarts below a relay's baseline wraps around; its unsigned difference would count about 1.8e19 sends.
	if d := int64(next.requests - before.requests); d > 0 {
		sent = max(sent, float64(d))
	}
	o.sends.Add(now, sent)
	u.reserve.RecordReported(now, sent, sent-started)
}

// reportAges is the mean age of the other routers' reports, weighted by their sends, relative to the time of the last tick.
type reportAges struct {
	base           time.Time
	weight, offset float64
}

func (a *reportAges) add(now time.Time, o *peer) {
	o.weight = silentPeerWeight + o.sends.At(now)
	a.weight += o.weight
	a.offset += o.weight * o.seenAt.Sub(a.base).Seconds()
}

// move accounts for a new report of a router.
func (a *reportAges) move(o *peer, seenAt time.Time) {
	if o.weight > 0 {
		a.offset += o.weight * seenAt.Sub(o.seenAt).Seconds()
	}
}

// mean returns the mean age; zero without reports.
func (a *reportAges) mean(now time.Time) time.Duration {
	if a.weight == 0 {
		return 0
	}
	return max(0, now.Sub(a.base)-time.Duration(a.offset/a.weight*float64(time.Second)))
}

// applyReserve limits the running requests at which an over-share request is admitted.
func (p *Placer) applyReserve(now time.Time, u *upstream, a *allowance) {
	slots := u.slots()
	a.fixedLimit = max(1, int(float64(slots)-pomeloroom.MaxReserve(slots)))
	a.maxRunning = a.fixedLimit
	if !u.hasFewSlots() || p.cfg.DisabledMechanisms.MeasuredReserve {
		return
	}
	a.reserve = p.computeReserve(now, u)
	a.measured = true
	a.maxRunning = max(1, int(float64(slots)-a.reserve.Slots))
}

// computeReserve returns the measured reserve of a small engine.
func (p *Placer) computeReserve(now time.Time, u *upstream) pomeloroom.Outcome {
	return u.reserve.Compute(now, pomeloroom.Conditions{
		Slots: u.slots(), ReportAge: p.reportAges.mean(now), UntilFree: u.slotInterval(now), InShareFraction: u.pool.inShare.Value(now),
		InShareRefused: u.pool.inShareRefused.Value(now),
		Unreported:     u.pool.unreportedRouters > 0 || p.reportAges.weight == 0,
	})
}

// recordInShare records whether an in-share request found a slot at its best candidate.
func (u *upstream) recordInShare(now time.Time, bound Bound) {
	refused := 0.0
	if bound == BoundSlots {
		refused = 1
	}
	u.pool.inShareRefused.Observe(now, pomelospeed.RatioSums{Numerator: refused, Denominator: 1})
}

// leavesRoom reports whether an over-share request beyond the fixed limit is expected on time even after the unreported requests of other
// routers, and leaves the queue short enough that an in-share request that arrives next is admitted.
func (p *Placer) leavesRoom(now time.Time, c candidate, r *Request, a allowance) bool {
	unseen := c.up.prefillTime(a.reserve.Unseen * c.up.pool.sendTokens.Value(now))
	// A prompt counts with several mean prefills at least: otherwise long ones would be admitted far less often than short ones.
	queue := c.queueDelay + c.up.prefillTime(max(float64(c.prefillTokens), minCountedPrefills*c.up.pool.sendTokens.Value(now)))
	return c.expectedLatency+unseen <= scale(onTimeFraction, r.Target) && queue <= a.inShareQueueDelay
}

// SlotTime is the error of the predicted run durations of a service with small engines, and the state of its reserve.
type SlotTime struct {
	Service pomelorelay.ServiceID
	// MedianError and P90Error are quantiles of the ratio of actual to predicted durations; zero while there is none.
	MedianError, P90Error float64
	// MeanRemaining is the mean remaining duration of a run of unknown age.
	MeanRemaining time.Duration
	// ReportAge is the mean time since the arrival of the other routers' reports, weighted by their sends.
	ReportAge time.Duration
	// SendsPerSecond is the mean rate of other routers' sends to an engine.
	SendsPerSecond float64
	// Reserve is the mean number of slots that requests beyond their accounts' shares leave free at an engine.
	Reserve float64
}

// SlotTimes returns the slot time and the reserve of each service with small engines.
func (p *Placer) SlotTimes(now time.Time) []SlotTime {
	var all []SlotTime
	for name, s := range p.pools {
		if len(s.upstreams) == 0 || !s.upstreams[0].hasFewSlots() {
			continue
		}
		t := SlotTime{Service: name, ReportAge: p.reportAges.mean(now)}
		if s.slotTime != nil {
			t.MeanRemaining = s.slotTime.MeanRemaining()
			t.MedianError, t.P90Error, _ = s.slotTime.Errors()
		}
		for _, u := range s.upstreams {
			r := p.computeReserve(now, u)
			t.SendsPerSecond += r.SendsPerSecond / float64(len(s.upstreams))
			t.Reserve += r.Slots / float64(len(s.upstreams))
		}
		all = append(all, t)
	}
	return all
}
