package pomeloentry

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// signOfLifeMargin is how much later than an event of a process a sign of life must be to show that the process lived on: bytes that a router
// received before may be handled later.
const signOfLifeMargin = 100 * time.Millisecond

// upstreamProcess identifies one process of an upstream.
type upstreamProcess struct {
	upstream       pomelorelay.UpstreamID
	startUnixMilli int64
}

func processOf(u pomelorelay.FleetUpstream) upstreamProcess {
	return upstreamProcess{u.ID, u.StartUnixMilli}
}

func processOfCrash(crash pomelorelay.RequestCrash) upstreamProcess {
	return upstreamProcess{crash.Upstream, crash.StartUnixMilli}
}

// processState is what a router knows of whether a process of an upstream lives.
type processState struct {
	// aliveAt is when the process last answered this router.
	aliveAt time.Time
	// brokeAt is when this router first knew that a connection to the process had broken, with no sign of life since.
	brokeAt time.Time
}

// livedOn reports whether the process answered after a time.
func (p *processState) livedOn(after time.Time) bool {
	return p.aliveAt.After(after.Add(signOfLifeMargin))
}

func (k *crashes) process(id upstreamProcess) *processState {
	p := k.processes[id]
	if p == nil {
		p = &processState{}
		k.processes[id] = p
	}
	return p
}

// recordBreak records that a connection to the process is known to have broken.
func (k *crashes) recordBreak(now time.Time, id upstreamProcess) {
	if p := k.process(id); p.brokeAt.IsZero() || p.livedOn(p.brokeAt) || now.Sub(p.brokeAt) >= crashConfirmTime {
		p.brokeAt = now
	}
}

// hadEnded reports whether the process had probably ended before a run was sent. A process ends once, so that the run did not cause it.
func (k *crashes) hadEnded(now time.Time, id upstreamProcess, sentAt time.Time) bool {
	p := k.process(id)
	return !p.brokeAt.IsZero() && p.brokeAt.Before(sentAt) && !p.livedOn(p.brokeAt) && now.Sub(p.brokeAt) < crashConfirmTime
}

// recordSignOfLife records that the process answered.
func (c *control) recordSignOfLife(now time.Time, id upstreamProcess) {
	c.crashes.process(id).aliveAt = now
}

// expireProcesses forgets processes of which nothing has been heard for crashConfirmTime.
func (c *control) expireProcesses(now time.Time) {
	for id, p := range c.crashes.processes {
		if now.Sub(p.aliveAt) >= crashConfirmTime && now.Sub(p.brokeAt) >= crashConfirmTime {
			delete(c.crashes.processes, id)
		}
	}
}
