package pomeloentry

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloforward"
)

const (
	// endedSendTime is how long a request to an upstream that has ended already takes to fail at most, where something else listens at its
	// address and closes the connection: two round trips to another region. A request that crashes its upstream takes longer.
	endedSendTime = 100 * time.Millisecond
	// signOfLifeMargin is how long after an event an upstream must answer to show that it outlived the event; what it had sent before may be
	// handled a little later.
	signOfLifeMargin = 100 * time.Millisecond
)

// processState is what a router knows of whether a process of an upstream lives.
type processState struct {
	// aliveAt is when the process last answered this router.
	aliveAt time.Time
	// brokeAt is when this router first knew that a connection to the process had broken, with no sign of life since.
	brokeAt time.Time
	// undelimited are the runs whose answer was complete unless the process ended meanwhile.
	undelimited []pomeloforward.BrokenRun
}

// livedOn reports whether the process answered after a time.
func (p *processState) livedOn(after time.Time) bool {
	return p.aliveAt.After(after.Add(signOfLifeMargin))
}

func (k *crashes) process(id pomelorelay.UpstreamProcess) *processState {
	p := k.processes[id]
	if p == nil {
		p = &processState{}
		k.processes[id] = p
	}
	return p
}

// recordBreak records that a connection to the process is known to have broken.
func (k *crashes) recordBreak(now time.Time, id pomelorelay.UpstreamProcess) {
	if p := k.process(id); p.brokeAt.IsZero() || p.livedOn(p.brokeAt) || now.Sub(p.brokeAt) >= crashConfirmTime {
		p.brokeAt = now
	}
}

// hadEnded reports whether the process had probably ended before a run was sent. A process ends once, so that the run did not cause it.
func (k *crashes) hadEnded(now time.Time, id pomelorelay.UpstreamProcess, run pomeloforward.BrokenRun) bool {
	if run.EndedAt.Sub(run.SentAt) >= endedSendTime {
		return false
	}
	p := k.process(id)
	return !p.brokeAt.IsZero() && p.brokeAt.Before(run.SentAt) && !p.livedOn(p.brokeAt) && now.Sub(p.brokeAt) < crashConfirmTime
}

// recordSignOfLife records that the process answered. Earlier answers without length were then complete.
func (c *control) recordSignOfLife(now time.Time, id pomelorelay.UpstreamProcess) {
	p := c.crashes.process(id)
	p.aliveAt = now
	if len(p.undelimited) > 0 {
		c.proveAnswers(p, now, func(run pomeloforward.BrokenRun) bool { return p.livedOn(run.EndedAt) })
	}
}

// proveAnswers records the answers without length that were complete.
func (c *control) proveAnswers(p *processState, now time.Time, complete func(pomeloforward.BrokenRun) bool) {
	var left []pomeloforward.BrokenRun
	for _, run := range p.undelimited {
		if !complete(run) {
			left = append(left, run)
			continue
		}
		for _, crash := range run.Crashes {
			c.recordAnswered(now, crash.Fingerprint)
		}
	}
	p.undelimited = left
}

type answerMayBeCut struct{ run pomeloforward.BrokenRun }

func (a *answerMayBeCut) apply(c *control, now time.Time) {
	p := c.crashes.process(a.run.Crashes[0].Process())
	if len(p.undelimited) < maxBrokenRuns {
		run := a.run
		// Signs of life are timed when this goroutine handles them, which may be late.
		run.EndedAt = now
		p.undelimited = append(p.undelimited, run)
	}
}

// confirmCutAnswers counts a crash for each answer without length whose process turned out to have ended. A removed entry alone does not show
// that: some upstreams remove it and serve on for a while.
func (c *control) confirmCutAnswers(now time.Time, id pomelorelay.UpstreamProcess, evidence pomelorelay.CrashEvidence) {
	p := c.crashes.processes[id]
	if p == nil || evidence == pomelorelay.EvidenceRemoved && p.brokeAt.IsZero() {
		return
	}
	for _, run := range p.undelimited {
		c.observeCrashes(now, run.Crashes)
	}
	p.undelimited = nil
}

// expireProcesses forgets processes of which nothing has been heard for crashConfirmTime. An answer without length was complete if its
// process is not known to have ended by then.
func (c *control) expireProcesses(now time.Time) {
	for id, p := range c.crashes.processes {
		c.proveAnswers(p, now, func(run pomeloforward.BrokenRun) bool { return now.Sub(run.EndedAt) >= crashConfirmTime })
		if now.Sub(p.aliveAt) >= crashConfirmTime && now.Sub(p.brokeAt) >= crashConfirmTime && len(p.undelimited) == 0 {
			delete(c.crashes.processes, id)
		}
	}
}
