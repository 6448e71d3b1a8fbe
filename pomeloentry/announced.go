package pomeloentry

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelofeedback"
	"github.com/pomelorelay/pomelorelay/pomeloforward"
)

// invalidLogInterval is the time between two log lines on malformed announcements of an upstream, which may come with each response.
const invalidLogInterval = time.Minute

// Outcomes of an announced load, as metric labels.
const (
	announcementUsed     = "used"
	announcementRepeated = "repeated"
	announcementStale    = "stale"
	announcementInvalid  = "invalid"
)

var announcementOutcomes = map[pomelofeedback.Outcome]string{
	pomelofeedback.OutcomeNewest:   announcementUsed,
	pomelofeedback.OutcomeRepeated: announcementRepeated,
	pomelofeedback.OutcomeStale:    announcementStale,
}

// recordAnnounced records what an upstream announced in its response.
func (c *control) recordAnnounced(now time.Time, r reservation, load pomeloforward.AnnouncedLoad) {
	if load.Invalid {
		c.recordInvalidLoad(now, r.upstream.ID)
		return
	}
	if !load.Figures.Known() {
		return
	}
	compared := c.placer.RecordAnnounced(now, r.run, load.ReadAt, load.Figures)
	c.e.metrics.CountAnnouncement(announcementOutcomes[compared.Outcome], compared.Ratio)
}

// recordInvalidLoad counts a malformed announcement and logs it at most once in invalidLogInterval for each upstream.
func (c *control) recordInvalidLoad(now time.Time, id pomelorelay.UpstreamID) {
	c.e.metrics.CountAnnouncement(announcementInvalid, 0)
	if at, logged := c.loggedInvalid[id]; logged && now.Sub(at) < invalidLogInterval {
		return
	}
	for other, at := range c.loggedInvalid {
		if now.Sub(at) >= invalidLogInterval {
			delete(c.loggedInvalid, other)
		}
	}
	c.loggedInvalid[id] = now
	c.e.log(pomelorelay.EventLoadInvalid, field("Upstream", id))
}

// announcedLoad is the newest load that an upstream announced to any source of an aggregate.
type announcedLoad struct {
	figures pomelorelay.UpstreamFigures
	start   int64
	at      time.Time
	// source reported it; it is not sent back there.
	source string
	// unsent reports whether it arrived after the last flush.
	unsent bool
}

// addAnnounced keeps the announcement in a source's entry if it is newer than the one known, and of the same or a later process.
// An announcement older than MaxAge is replaced by any other, since nobody uses it any longer.
func (a *aggregate) addAnnounced(now time.Time, key string, l *pomelorelay.UpstreamLoad) {
	if !l.Announced.Known() {
		return
	}
	known, at := &a.upstreams[l.Upstream].announced, now.Add(-max(0, l.AnnouncedAge))
	if now.Sub(known.at) <= pomelofeedback.MaxAge && (l.AnnouncedStart < known.start || (l.AnnouncedStart == known.start && !at.After(known.at))) {
		return
	}
	*known = announcedLoad{figures: l.Announced, start: l.AnnouncedStart, at: at, source: key, unsent: true}
}

// fill adds the announcement to an entry for the source named key, with its age increased by the time for which it was held.
func (l *announcedLoad) fill(now time.Time, key string, to *pomelorelay.UpstreamLoad) {
	if l.unsent && l.source != key {
		to.Announced, to.AnnouncedAge, to.AnnouncedStart = l.figures, now.Sub(l.at), l.start
	}
}
