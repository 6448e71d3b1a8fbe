package pomeloentry

import (
	"fmt"
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloforward"
	"github.com/pomelorelay/pomelorelay/pomeloquarantine"
)

const (
	// crashConfirmTime is how long after a broken connection the end of the upstream's process is taken as the cause. The entry of an
	// upstream that ended without draining is removed after three of its write intervals and up to a second, read within half a second,
	// and kept for massLapseGrace if many others are missing too.
	crashConfirmTime = 8 * time.Second
	// maxBrokenRuns limits the number of such runs that are kept per upstream.
	maxBrokenRuns = 256
	// maxCrashesPerMessage limits the number of crashes in a message to other routers and in a record in the store.
	maxCrashesPerMessage = 2048
	// crashExpiryInterval is the interval at which expired crashes are dropped.
	crashExpiryInterval = time.Second
)

// crashes holds the upstream crashes that count against requests and prompt parts, and runs that may turn out to be crashes.
type crashes struct {
	log *pomeloquarantine.CrashLog
	// broken holds, by upstream, the runs whose connection broke recently.
	broken map[pomelorelay.UpstreamID][]pomeloforward.BrokenRun
	// processes holds what is known of whether processes of upstreams live.
	processes map[pomelorelay.UpstreamProcess]*processState
	// unsent and unsentPending are confirmed and pending crashes that this router observed or cleared and has not yet sent to the other routers.
	unsent, unsentPending []pomelorelay.RequestCrash
	recordedAt            time.Time
	expiredAt             time.Time
}

func newCrashes(logger pomelorelay.Logger) crashes {
	return crashes{
		log:       pomeloquarantine.NewCrashLog(pomeloquarantine.CrashLogConfig{Logger: logger, PendingFor: crashConfirmTime}),
		broken:    make(map[pomelorelay.UpstreamID][]pomeloforward.BrokenRun),
		processes: make(map[pomelorelay.UpstreamProcess]*processState),
	}
}

// crashGuard implements pomeloforward.CrashGuard. It answers from a snapshot and posts everything else to the control goroutine.
type crashGuard struct{ e *Router }

// QuarantineRemaining returns how long requests with the fingerprints are refused from now on.
func (g crashGuard) QuarantineRemaining(fingerprints []pomelorelay.Fingerprint) time.Duration {
	return g.e.crashSnapshot.Load().QuarantineRemaining(g.e.cfg.Clock.Now(), fingerprints...)
}

// IsSuspect reports whether an upstream crashed under the fingerprint and none has answered a request with it since.
func (g crashGuard) IsSuspect(f pomelorelay.Fingerprint) bool {
	return g.e.crashSnapshot.Load().IsSuspect(f)
}

// MayHaveCrashed reports whether a crash under the fingerprint is confirmed or pending.
func (g crashGuard) MayHaveCrashed(f pomelorelay.Fingerprint) bool {
	return g.e.crashSnapshot.Load().MayHaveCrashed(f)
}

// ConnectionBroke reports that the connection of a run broke.
func (g crashGuard) ConnectionBroke(run pomeloforward.BrokenRun) { g.e.post(&connectionBroke{run}) }

// UpstreamCrashed reports that the upstream of a run whose connection broke refuses connections.
func (g crashGuard) UpstreamCrashed(run pomeloforward.BrokenRun) { g.e.post(&upstreamCrashed{run}) }

// AnswerMayBeCut reports that only the end of the connection showed that the answer of a run was complete.
func (g crashGuard) AnswerMayBeCut(run pomeloforward.BrokenRun) { g.e.post(&answerMayBeCut{run}) }

type connectionBroke struct{ run pomeloforward.BrokenRun }

// apply counts the crash as pending, unless the upstream was leaving as planned, until the end of its process confirms it.
func (b *connectionBroke) apply(c *control, now time.Time) {
	process := b.run.Crashes[0].Process()
	ended := c.crashes.hadEnded(now, process, b.run)
	c.crashes.recordBreak(now, process)
	if ended {
		return
	}
	if entry, present := c.upstreams.present[process.Upstream]; present && !entry.Draining {
		for _, crash := range b.run.Crashes {
			c.crashes.unsentPending = append(c.crashes.unsentPending, c.crashes.log.ObservePending(now, crash)...)
		}
	}
	c.crashes.addBroken(b.run)
}

// addBroken keeps a run whose upstream may have crashed until that is confirmed.
func (k *crashes) addBroken(run pomeloforward.BrokenRun) {
	id := run.Crashes[0].Upstream
	if len(k.broken[id]) < maxBrokenRuns {
		k.broken[id] = append(k.broken[id], run)
	}
}

type upstreamCrashed struct{ run pomeloforward.BrokenRun }

// apply counts the crash unless the upstream was leaving as planned: such an upstream drains, or has removed its entry, before it ends.
func (u *upstreamCrashed) apply(c *control, now time.Time) {
	process := u.run.Crashes[0].Process()
	entry, present := c.upstreams.present[process.Upstream]
	if !present || entry.Draining {
		return
	}
	c.confirmCutAnswers(now, process, pomelorelay.EvidenceRefused)
	if !c.crashes.hadEnded(now, process, u.run) {
		c.observeCrashes(now, u.run.Crashes)
	}
}

// observeCrashes counts crashes that are confirmed, and returns those that are new.
func (c *control) observeCrashes(now time.Time, list []pomelorelay.RequestCrash) []pomelorelay.RequestCrash {
	var changed []pomelorelay.RequestCrash
	for _, crash := range list {
		changed = append(changed, c.crashes.log.Observe(now, crash)...)
	}
	c.crashes.queue(changed)
	return changed
}

// recordAnswered records that upstreams live on after they answered a request with the fingerprints, which rules out that these crash upstreams.
// An upstream that fails may answer with an error before it runs such a request.
func (c *control) recordAnswered(now time.Time, fingerprints ...pomelorelay.Fingerprint) {
	for _, f := range fingerprints {
		c.crashes.queue(c.crashes.log.Answered(now, f))
	}
}

// confirmCrashes counts a crash for each run whose connection broke shortly before it became known that the upstream's process had ended.
func (c *control) confirmCrashes(now time.Time, id pomelorelay.UpstreamID, startUnixMilli int64, evidence pomelorelay.CrashEvidence) {
	c.confirmCutAnswers(now, pomelorelay.UpstreamProcess{Upstream: id, StartUnixMilli: startUnixMilli}, evidence)
	for _, b := range c.crashes.broken[id] {
		if now.Sub(b.EndedAt) >= crashConfirmTime || b.Crashes[0].StartUnixMilli != startUnixMilli {
			continue
		}
		if changed := c.observeCrashes(now, b.Crashes); len(changed) > 0 {
			c.e.metrics.CountCrash(evidence)
			c.e.log(pomelorelay.EventUpstreamCrashed, field("Upstream", id), field("Born", startUnixMilli), field("Evidence", evidence), field("AfterMS", now.Sub(b.EndedAt).Milliseconds()), field("Fingerprint", b.Crashes[0].Fingerprint.String()), field("Parts", partsOf(b.Crashes)))
		}
	}
	delete(c.crashes.broken, id)
}

// partsOf returns the fingerprints of the prompt parts under which an upstream crashed, as text for logs.
func partsOf(list []pomelorelay.RequestCrash) string {
	var parts []pomelorelay.Fingerprint
	for _, crash := range list {
		if crash.Part {
			parts = append(parts, crash.Fingerprint)
		}
	}
	return fmt.Sprint(parts)
}

// expireCrashes drops crashes and broken connections that no longer count.
func (c *control) expireCrashes(now time.Time) {
	if now.Sub(c.crashes.expiredAt) < crashExpiryInterval {
		return
	}
	c.crashes.expiredAt = now
	for id, runs := range c.crashes.broken {
		if now.Sub(runs[len(runs)-1].EndedAt) >= crashConfirmTime {
			delete(c.crashes.broken, id)
		}
	}
	c.expireProcesses(now)
	c.crashes.log.Expire(now)
}

// queue adds crashes to those that flushCrashes sends to the other routers.
func (k *crashes) queue(changed []pomelorelay.RequestCrash) {
	k.unsent = append(k.unsent, changed...)
}

// flushCrashes publishes the crash log's state to the goroutines that handle requests, sends the other routers what this router observed, and
// records what led to quarantines. It runs at each tick instead of at each change, because one crash ends many requests within milliseconds.
func (c *control) flushCrashes(now time.Time) {
	c.e.crashSnapshot.Store(c.crashes.log.Snapshot())
	c.forwardCrashes(now, c.e.cfg.Settings.Self, latestOf(c.crashes.unsent), latestOf(c.crashes.unsentPending))
	c.crashes.unsent, c.crashes.unsentPending = nil, nil
	if c.crashes.log.RecordChanged() && now.Sub(c.crashes.recordedAt) >= crashRecordInterval {
		c.crashes.recordedAt = now
		c.e.crashRecorder.set(c.crashes.log.Record(maxCrashesPerMessage))
	}
}

// latestOf returns the latest report of each crash in a list; later ones hold what earlier ones do.
func latestOf(list []pomelorelay.RequestCrash) []pomelorelay.RequestCrash {
	type crashID struct {
		fingerprint pomelorelay.Fingerprint
		process     pomelorelay.UpstreamProcess
	}
	seen := make(map[crashID]bool, len(list))
	var latest []pomelorelay.RequestCrash
	for _, crash := range slices.Backward(list) {
		id := crashID{crash.Fingerprint, crash.Process()}
		if !seen[id] {
			seen[id] = true
			latest = append(latest, crash)
		}
	}
	return latest
}

// mergeCrashes merges crashes that other routers observed, and returns those that were new or newly cleared. It also queues those that do not
// count because upstreams have answered requests with their fingerprint through this router.
func (c *control) mergeCrashes(now time.Time, list []pomelorelay.RequestCrash) []pomelorelay.RequestCrash {
	changed, cleared := c.crashes.log.Merge(now, list)
	c.crashes.queue(cleared)
	return changed
}

// receiveCrashes merges the crashes of a notice and forwards what was new.
func (c *control) receiveCrashes(now time.Time, from pomelorelay.NodeID, m *pomelorelay.CrashNotice) {
	for _, crash := range slices.Concat(m.Crashes, m.Pending) {
		c.crashes.recordBreak(now, crash.Process())
	}
	changed := c.mergeCrashes(now, m.Crashes)
	pending, cleared := c.crashes.log.MergePending(now, m.Pending)
	c.crashes.queue(cleared)
	if p := c.peers.byNode[from]; p != nil && !c.reportsDirectly() && c.isRelay(now) {
		c.forwardCrashes(now, p.Peer, changed, pending)
	}
}

// forwardCrashes sends crashes on their way to all routers: in a small fleet from the observer to each router, in a large one through the relays
// of the failure domains, as load reports go.
func (c *control) forwardCrashes(now time.Time, from pomelorelay.Peer, crashes, pending []pomelorelay.RequestCrash) {
	for part := range slices.Chunk(crashes, maxCrashesPerMessage) {
		c.forwardNotice(now, from, &pomelorelay.CrashNotice{Crashes: part})
	}
	for part := range slices.Chunk(pending, maxCrashesPerMessage) {
		c.forwardNotice(now, from, &pomelorelay.CrashNotice{Pending: part})
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
