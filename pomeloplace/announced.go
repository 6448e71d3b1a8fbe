package pomeloplace

import (
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelofeedback"
	"github.com/pomelorelay/pomelorelay/pomelospeed"
)

// Upstreams announce their load in responses. Announced figures change the order of the candidates but refuse no request, since false ones occur.

// announcedState is what an upstream's announcements and its lasting speed are known to be.
type announcedState struct {
	feedback *pomelofeedback.Upstream
	// momentary is the momentary factor and announcedRunning the announced running and waiting requests, as of the last evaluation.
	momentary        float64
	announcedRunning int
	// lasting is observed for all engines; lastingFactor is its ratio to the median engine, and 1 unless the upstream announces its slowness.
	lasting       pomelospeed.LastingRatio
	lastingFactor float64
	// unreported is the last announcement in a response to this router, if it is still to be reported.
	unreported pomelofeedback.Announcement
}

func newAnnouncedState(info pomelorelay.FleetUpstream) announcedState {
	return announcedState{feedback: pomelofeedback.NewUpstream(info.StartUnixMilli), momentary: 1, lastingFactor: 1}
}

// maxAnnouncedPerSlot bounds the announced requests per slot. With false counts of about a million at an upstream of few slots, the cost of its
// occupancy would overflow, become negative and attract every request.
const maxAnnouncedPerSlot = 64

// refreshAnnounced updates the estimates from announcements to the given time.
func (u *upstream) refreshAnnounced(now time.Time) {
	u.momentary = u.feedback.Slowness(now)
	u.announcedRunning = min(u.feedback.Running(now, 0), maxAnnouncedPerSlot*u.slots())
}

// slowness returns how many times slower than the service's average the engine is now.
func (u *upstream) slowness() float64 { return u.slowdown * u.momentary }

// occupied returns the number of requests that run or wait at the upstream: the announced ones where they are more than the routers account for.
func (u *upstream) occupied() int { return max(u.running(), u.announcedRunning) }

func (u *upstream) expectedServiceTime() time.Duration { return scale(u.momentary, u.serviceTime) }

// momentaryDuring returns the momentary factor that applied to a run whose answer begins now: the mean of the one known at sending and the present
// one.
func (u *upstream) momentaryDuring(now time.Time, r *Run) float64 {
	return (r.momentary + u.feedback.Slowness(now)) / 2
}

// observeSpeed records answers by the sums of their times to first token, divided by the momentary factors, and of the expected ones.
func (u *upstream) observeSpeed(now time.Time, took, expected time.Duration) {
	u.speedFactor.Observe(now, took, expected)
	u.lasting.Observe(now, took, expected)
}

// recordFeedbackEnd records the end of a run. A run that the upstream refused is not among the requests that it announced, if it was sent before.
func (u *upstream) recordFeedbackEnd(now time.Time, run *Run, result Result) {
	if latest, known := u.feedback.Latest(); result.NotRun() && known && !run.sent.After(latest.At) {
		return
	}
	u.feedback.RecordEnd(now)
}

// fullEngineCost is the cost, in engine time, of an engine that announces its slowness and has no slot that the request may use. It exceeds the cost
// of a long prompt at an engine at half speed: otherwise requests would be refused because the fast engines are full while slow ones have free slots.
const fullEngineCost = time.Second

// fullCost returns the cost of an engine without a slot for the request. It leaves out accounts that are ahead: their lower limits hold back requests
// only if these do not move on to the engines that are least occupied.
func (p *Placer) fullCost(now time.Time, u *upstream, r *Request) time.Duration {
	if r.standingAt(u).Limited() || !u.feedback.AnnouncesSlowness() || u.occupied() < p.allowance(now, u, r).maxRunning {
		return 0
	}
	return fullEngineCost
}

// announcement returns the figures that the upstream announced last, their age and the momentary factor.
func (u *upstream) announcement(now time.Time) (pomelorelay.UpstreamFigures, time.Duration, float64) {
	latest, known := u.feedback.Latest()
	if !known {
		return pomelorelay.UpstreamFigures{}, 0, u.momentary
	}
	return latest.Figures, now.Sub(latest.At), u.momentary
}

// updateLasting compares the lasting speeds of the engines that announce their slowness with their median. Those of other engines contain their
// momentary slowness, too.
func (s *pool) updateLasting(now time.Time) {
	s.speedFactors = s.speedFactors[:0]
	for _, u := range s.upstreams {
		if u.feedback.AnnouncesSlowness() {
			s.speedFactors = append(s.speedFactors, u.lasting.Ratio(now))
		}
	}
	slices.Sort(s.speedFactors)
	for _, u := range s.upstreams {
		u.lastingFactor = 1
		if u.feedback.AnnouncesSlowness() {
			u.lastingFactor = u.lasting.RelativeTo(now, s.speedFactors[len(s.speedFactors)/2])
		}
	}
}

// RecordAnnounced records the load that the upstream of a run announced at the given time in the run's response, and compares it with what was
// expected.
func (p *Placer) RecordAnnounced(now time.Time, run *Run, at time.Time, figures pomelorelay.UpstreamFigures) pomelofeedback.Comparison {
	if p.cfg.DisabledMechanisms.Feedback {
		return pomelofeedback.Comparison{Outcome: pomelofeedback.OutcomeRepeated}
	}
	u := run.up
	a := pomelofeedback.Announcement{Figures: figures, StartUnixMilli: u.info.StartUnixMilli, At: at}
	c := u.feedback.Observe(now, a)
	if c.Outcome == pomelofeedback.OutcomeNewest {
		u.unreported, u.changed = a, true
	}
	return c
}

// FillAnnounced adds what this router heard from upstreams since the last report to the entries of a load report.
func (p *Placer) FillAnnounced(now time.Time, m *pomelorelay.LoadReport) {
	for i := range m.Upstreams {
		l := &m.Upstreams[i]
		u := p.upstreams[l.Upstream]
		if u == nil || !u.unreported.Figures.Known() {
			continue
		}
		if age := now.Sub(u.unreported.At); age <= pomelofeedback.MaxAge {
			l.Announced, l.AnnouncedAge, l.AnnouncedStart = u.unreported.Figures, max(0, age), u.unreported.StartUnixMilli
		}
		u.unreported = pomelofeedback.Announcement{}
	}
}

// applyAnnounced records the announcement in another router's report.
func (p *Placer) applyAnnounced(now time.Time, u *upstream, l *pomelorelay.UpstreamLoad) {
	if l.Announced.Known() && l.AnnouncedAge >= 0 && !p.cfg.DisabledMechanisms.Feedback {
		u.feedback.Observe(now, pomelofeedback.Announcement{Figures: l.Announced, StartUnixMilli: l.AnnouncedStart, At: now.Add(-l.AnnouncedAge)})
	}
}

// typicalPrefillAlpha is the weight of a request in the typical prefill, which so covers about the last hundred requests of this router.
const typicalPrefillAlpha = 0.01

// typicalPrefill estimates the prefill that a stream meets: the mean over prefill work, in which a long prefill counts as often as it is long.
type typicalPrefill struct{ work, squares float64 }

func (t *typicalPrefill) add(tokens pomelorelay.Tokens) {
	w := float64(tokens)
	t.work += typicalPrefillAlpha * (w - t.work)
	t.squares += typicalPrefillAlpha * (w*w - t.squares)
}

func (t *typicalPrefill) tokens() float64 {
	if t.work <= 0 {
		return 0
	}
	return t.squares / t.work
}

// slowPauseCost returns the cost of the pauses that the request's own stream is expected to have because its host is slow now: the next prefill there
// makes it pause for longer than at the usual speed.
func (u *upstream) slowPauseCost(r *Request) time.Duration {
	if u.momentary <= 1 || u.pool.maxPause <= 0 || r.OutputTokens < minStreamEvents*max(1, u.engine.TokensPerEvent) {
		return 0
	}
	slow := u.prefillTime(u.pool.typicalPrefill.tokens())
	more := u.pausedFraction(slow) - u.pausedFraction(scale(1/u.momentary, slow))
	return scale(u.pool.pauseWeight*more, longPauseCost)
}
