package pomeloentry

import (
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloquarantine"
)

const (
	// crashConfirmTime is how long after a broken connection the end of the upstream's process still explains it. The entry of an
	// upstream that ended without draining is removed after three of its write intervals.
	crashConfirmTime = 6 * time.Second
	// maxBrokenRuns limits the number of broken connections of one upstream that wait for such an explanation.
	maxBrokenRuns = 256
	// maxToldCrashes limits the number of crashes in one message or record.
	maxToldCrashes = 2048
	// crashExpiryInterval is the interval at which expired crashes are dropped.
	crashExpiryInterval = time.Second
)

// crashes holds the upstream crashes that count against requests, and broken connections that may turn out to be crashes.
type crashes struct {
	log *pomeloquarantine.CrashLog
	// broken holds the runs whose connection broke by upstream.
	broken map[pomelorelay.UpstreamID][]brokenRun
	// untold are crashes that this router observed or cleared and has not told the other routers.
	untold     []pomelorelay.RequestCrash
	recordedAt time.Time
	expiredAt  time.Time
}

type brokenRun struct {
	crash pomelorelay.RequestCrash
	at    time.Time
}

func newCrashes(logger pomelorelay.Logger) crashes {
	return crashes{log: pomeloquarantine.NewCrashLog(pomeloquarantine.CrashLogConfig{Logger: logger}), broken: make(map[pomelorelay.UpstreamID][]brokenRun)}
}

// crashGuard implements pomeloforward.CrashGuard. It answers from a snapshot and posts everything else to the control goroutine.
type crashGuard struct{ e *Router }

// QuarantineRemaining returns how long requests with the fingerprint are refused from now on.
func (g crashGuard) QuarantineRemaining(f pomelorelay.Fingerprint) time.Duration {
	return g.e.crashSnapshot.Load().QuarantineRemaining(g.e.cfg.Clock.Now(), f)
}

// IsSuspect reports whether an upstream crashed under the fingerprint and none has answered a request with it since.
func (g crashGuard) IsSuspect(f pomelorelay.Fingerprint) bool {
	return g.e.crashSnapshot.Load().IsSuspect(f)
}

// ConnectionBroke reports that the connection of a run broke.
func (g crashGuard) ConnectionBroke(run pomelorelay.RequestCrash) { g.e.post(&connectionBroke{run}) }

// UpstreamCrashed reports that the upstream of a run takes no connections after the run's connection broke.
func (g crashGuard) UpstreamCrashed(run pomelorelay.RequestCrash) { g.e.post(&upstreamCrashed{run}) }

type connectionBroke struct{ run pomelorelay.RequestCrash }

func (b *connectionBroke) apply(c *control, now time.Time) {
	id := b.run.Upstream
	if len(c.crashes.broken[id]) < maxBrokenRuns {
		c.crashes.broken[id] = append(c.crashes.broken[id], brokenRun{crash: b.run, at: now})
	}
}

type upstreamCrashed struct{ run pomelorelay.RequestCrash }

// apply counts the crash unless the upstream was leaving as planned: such an upstream drains, or has removed its entry, before it ends.
func (u *upstreamCrashed) apply(c *control, now time.Time) {
	if entry, present := c.upstreams.present[u.run.Upstream]; !present || entry.Draining {
		return
	}
	c.crashes.tell(c.crashes.log.Observe(now, u.run))
}

// recordAnswered records that an upstream answered a request completely, so that requests with the fingerprint do not crash upstreams.
func (c *control) recordAnswered(now time.Time, f pomelorelay.Fingerprint) {
	c.crashes.tell(c.crashes.log.Answered(now, f))
}

// confirmCrashes records the runs whose connection broke shortly before the upstream's process turned out to have ended.
func (c *control) confirmCrashes(now time.Time, id pomelorelay.UpstreamID, startUnixMilli int64) {
	for _, b := range c.crashes.broken[id] {
		if now.Sub(b.at) >= crashConfirmTime || b.crash.StartUnixMilli != startUnixMilli {
			continue
		}
		if changed := c.crashes.log.Observe(now, b.crash); len(changed) > 0 {
			c.e.metrics.CountCrash()
			c.e.log(pomelorelay.EventUpstreamCrashed, field("Upstream", id), field("Born", startUnixMilli), field("Fingerprint", b.crash.Fingerprint.String()))
			c.crashes.tell(changed)
		}
	}
	delete(c.crashes.broken, id)
}

// expireCrashes drops crashes and broken connections that no longer count.
func (c *control) expireCrashes(now time.Time) {
	if now.Sub(c.crashes.expiredAt) < crashExpiryInterval {
		return
	}
	c.crashes.expiredAt = now
	for id, runs := range c.crashes.broken {
		if now.Sub(runs[len(runs)-1].at) >= crashConfirmTime {
			delete(c.crashes.broken, id)
		}
	}
	c.crashes.log.Expire(now)
}

// tell adds crashes that this router observed or cleared to those that flushCrashes tells the other routers.
func (k *crashes) tell(changed []pomelorelay.RequestCrash) {
	k.untold = append(k.untold, changed...)
}

// flushCrashes publishes the crash log's state to the goroutines that handle requests, and records and tells the other routers what this
// router observed. It runs once a tick, since one crash ends many requests within milliseconds.
func (c *control) flushCrashes(now time.Time) {
	c.e.crashSnapshot.Store(c.crashes.log.Snapshot())
	c.forwardCrashes(now, c.e.cfg.Settings.Self, c.crashes.untold)
	c.crashes.untold = nil
	if c.crashes.log.RecordChanged() && now.Sub(c.crashes.recordedAt) >= crashRecordInterval {
		c.crashes.recordedAt = now
		c.e.crashRecorder.set(c.crashes.log.Record(maxToldCrashes))
	}
}

// mergeCrashes merges crashes that other routers observed, and returns those that changed anything. It tells the other routers which of them
// do not count because this router's requests with the fingerprint were answered.
func (c *control) mergeCrashes(now time.Time, list []pomelorelay.RequestCrash) []pomelorelay.RequestCrash {
	changed, cleared := c.crashes.log.Merge(now, list)
	c.crashes.tell(cleared)
	return changed
}

// receiveCrashes merges the crashes of a notice and forwards what was new.
func (c *control) receiveCrashes(now time.Time, from pomelorelay.NodeID, m *pomelorelay.CrashNotice) {
	changed := c.mergeCrashes(now, m.Crashes)
	if p := c.peers.byNode[from]; p != nil && !c.reportsDirectly() && c.isRelay(now) {
		c.forwardCrashes(now, p.Peer, changed)
	}
}

// forwardCrashes sends crashes on their way to all routers: in a small fleet from the observer to each router, in a large one through the relays
// of the failure domains, as load reports go.
func (c *control) forwardCrashes(now time.Time, from pomelorelay.Peer, list []pomelorelay.RequestCrash) {
	for part := range slices.Chunk(list, maxToldCrashes) {
		c.forwardNotice(now, from, &pomelorelay.CrashNotice{Crashes: part})
	}
}

func (c *control) forwardNotice(now time.Time, from pomelorelay.Peer, m *pomelorelay.CrashNotice) {
	self := c.e.cfg.Settings.Self
	direct := c.reportsDirectly()
	if !direct && !c.isRelay(now) {
		if node, ok := c.relayOf(now, self.Domain); ok {
			c.send(node, m)
		}
		return
	}
	for node, p := range c.peers.byNode {
		if node != from.Node && (direct || p.Domain == self.Domain) {
			c.send(node, m)
		}
	}
	if direct || from.Domain != self.Domain {
		return
	}
	for _, domain := range c.domains() {
		if node, ok := c.relayOf(now, domain); ok && domain != self.Domain {
			c.send(node, m)
		}
	}
}
