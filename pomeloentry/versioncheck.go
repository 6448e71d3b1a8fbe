package pomeloentry

import (
	"context"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloplace"
)

// A resumed stream of unknown origin may continue if its service has had only one version. A router that is cut off from the store, or that was paused,
// may lack a newer one. Such requests therefore wait for a read of the store that begins after they arrive. One read serves all waiting requests; while
// the store cannot be read, they are refused at once.

const (
	// minCheckInterval is the minimum time between the starts of two reads, and checkIntervalPerRouter that for each router of the fleet, because all
	// routers may have streams to resume at the same time.
	minCheckInterval       = 100 * time.Millisecond
	checkIntervalPerRouter = 2 * time.Millisecond
)

// versionCheck holds the requests that wait for a read of the store.
type versionCheck struct {
	waiting []*placementRequested
	// failing is set from a read that fails until this router has read the store again.
	failing bool
	// skippedAskedAt is when a read of skipped changes was last asked for.
	skippedAskedAt time.Time
}

// awaitVersionCheck makes a request wait for a read of the store. It returns false if the store cannot be read.
func (c *control) awaitVersionCheck(r *placementRequested) bool {
	c.askVersions()
	check := &c.streams.check
	if check.failing {
		return false
	}
	check.waiting = append(check.waiting, r)
	return true
}

// askVersions asks for a read of the store, unless one is due already.
func (c *control) askVersions() {
	select {
	case c.e.versionsAsked <- struct{}{}:
	default:
	}
}

// readSkippedVersions reads the changes that this router skipped, as after a missed update. While the store has their history, the read leaves no gap in
// its knowledge of versions; otherwise, or if the read fails, the versions are known from now on.
func (c *control) readSkippedVersions(now time.Time) {
	s := &c.streams
	if s.coverage.UpTo() >= c.e.cursor.get() || now.Sub(s.check.skippedAskedAt) < streamRequestInterval {
		return
	}
	s.check.skippedAskedAt = now
	c.askVersions()
}

// answerWaiting places or refuses the requests that wait, when the router is closed.
func (c *control) answerWaiting() {
	waiting := c.streams.check.waiting
	c.streams.check.waiting = nil
	for _, r := range waiting {
		c.decide(c.now(), r)
	}
}

// decide places or refuses a request by what is known now.
func (c *control) decide(now time.Time, r *placementRequested) {
	if r.ctx.Err() != nil {
		r.answer <- pomeloplace.Decision{}
		return
	}
	r.answer <- c.place(now, r.request, c.resumeEvidence(now, time.Duration(r.askedAt), &r.request))
}

// checkVersions reads the store whenever requests wait for it.
func (e *Router) checkVersions(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.versionsAsked:
		}
		began := time.Now()
		e.post(e.readVersions(ctx))
		interval := max(minCheckInterval, time.Duration(e.peers.Load()+1)*checkIntervalPerRouter)
		sleep(ctx, interval-time.Since(began))
	}
}

// readVersions reads the changes of the store since the router's knowledge of versions ends.
func (e *Router) readVersions(ctx context.Context) *versionsRead {
	ctx, cancel := context.WithTimeout(ctx, e.scaledChangeWait(readTimeoutFraction))
	defer cancel()
	r := &versionsRead{began: e.cfg.Steady(), after: pomelorelay.Revision(e.versionsUpTo.Load())}
	if r.after == 0 {
		r.err = pomelorelay.NewError(pomelorelay.CodeNotReady, "the store has not been read", nil)
		return r
	}
	r.change, r.err = e.cfg.Platform.Watch(ctx, r.after, 0)
	e.metrics.CountStoreCall("watch", "versions", pomelorelay.CodeOf(r.err))
	return r
}

// versionsRead is posted for each read of the store by readVersions.
type versionsRead struct {
	began  time.Duration
	after  pomelorelay.Revision
	change pomelorelay.FleetChange
	err    error
}

func (r *versionsRead) apply(c *control, now time.Time) {
	check, s := &c.streams.check, &c.streams
	compacted := pomelorelay.IsErrCode(r.err, pomelorelay.CodeStoreCompacted)
	if failing := r.err != nil && !compacted; failing != check.failing {
		check.failing = failing
		c.logVersionCheck(r)
	}
	if r.err == nil {
		c.mergeVersions(now, &r.change)
		s.coverage.Advance(r.after, r.change.Revision)
		s.coverage.Read(r.began)
	}
	if skipped := s.coverage.UpTo() < c.e.cursor.get(); compacted || r.err != nil && skipped {
		// The router's own state is complete at its cursor. Skipped changes that are not answered in time are not read again: their number only grows.
		s.coverage.Restart(now, c.e.cursor.get())
	}
	c.storeVersionsUpTo()
	// Requests that came after the read began wait for the next one.
	waiting := check.waiting
	check.waiting = nil
	for _, w := range waiting {
		if r.err == nil && time.Duration(w.askedAt) > r.began {
			check.waiting = append(check.waiting, w)
			continue
		}
		c.decide(now, w)
	}
}

// storeVersionsUpTo sets the revision from which readVersions reads.
func (c *control) storeVersionsUpTo() {
	c.e.versionsUpTo.Store(uint64(c.streams.coverage.UpTo()))
}

func (c *control) logVersionCheck(r *versionsRead) {
	if !c.streams.check.failing {
		c.e.log(pomelorelay.EventPlatformBack, field("What", "versions"))
		return
	}
	c.e.log(pomelorelay.EventPlatformLost, field("What", "versions"), field("Code", int(pomelorelay.CodeOf(r.err))), field("Fault", r.err.Error()), field("Waiting", len(c.streams.check.waiting)))
}

// mergeVersions records the versions in a change of the store, whether its upstreams are applied or not.
func (c *control) mergeVersions(now time.Time, change *pomelorelay.FleetChange) {
	for _, u := range change.Upstreams {
		c.streams.versions.Merge(now, change.Revision, []pomelorelay.VersionSeen{{Service: u.Service, Version: u.Version}})
	}
	c.streams.versions.Merge(now, change.Revision, change.VersionsPassed)
}

// recordVersions extends the span in which the router knows all versions by a change of the store.
func (c *control) recordVersions(now time.Time, after pomelorelay.Revision, change *pomelorelay.FleetChange) {
	c.mergeVersions(now, change)
	if change.Full {
		c.streams.coverage.Begin(now, change.Revision)
	} else {
		c.streams.coverage.Advance(after, change.Revision)
	}
	c.storeVersionsUpTo()
}
