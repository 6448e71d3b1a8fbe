package pomeloentry

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelooverload"
)

const (
	// limitedNoticeInterval is the interval at which a limited router tells its neighbours so, and limitedTimeout how long a neighbour counts as
	// limited after its last notice: two lost notices do not end it.
	limitedNoticeInterval = 500 * time.Millisecond
	limitedTimeout        = 1500 * time.Millisecond
)

// isLimitedNotice reports whether a report only says whether its sender is limited. Ordinary reports are numbered from 1.
func isLimitedNotice(m *pomelorelay.LoadReport) bool { return m.Seq == 0 }

// sendLimited tells the neighbours directly that this router is limited, or no longer is. Relays sum reports up, and a sum cannot tell which router
// is limited.
func (c *control) sendLimited(now time.Time) {
	w := &c.overload
	limited := c.limitAnnounced()
	if !limited && w.noticeAt.IsZero() {
		return
	}
	if limited && now.Sub(w.noticeAt) < limitedNoticeInterval {
		return
	}
	w.noticeAt = now
	if !limited {
		w.noticeAt = time.Time{}
	}
	for _, p := range c.peers.inDomain(c.e.cfg.Settings.Self.Domain) {
		c.send(p.Node, &pomelorelay.LoadReport{Limited: limited})
	}
}

// markLimited records whether a router says that it is limited.
func (p *peers) markLimited(now time.Time, node pomelorelay.NodeID, limited bool) {
	known := p.byNode[node]
	switch {
	case known == nil:
	case limited:
		known.limitedAt = now
	default:
		known.limitedAt = time.Time{}
	}
}

// domainRouters returns the live routers of this failure domain, this one included. Routers that report through a relay send this router nothing while
// they are not limited, so a registered one counts as live while any router of the domain is heard. A router that hears none knows only itself.
func (c *control) domainRouters(now time.Time) []pomelooverload.Router {
	self := c.e.cfg.Settings.Self
	list := append(c.overload.domain[:0], pomelooverload.Router{Node: self.Node, CPUSpeed: self.CPUSpeed, Limited: c.limitAnnounced()})
	all, heard := !c.reportsDirectly(), false
	for _, p := range c.peers.inDomain(self.Domain) {
		recent := now.Sub(p.seenAt) <= relayTimeout
		heard = heard || recent
		if recent || (all && p.registered) {
			list = append(list, pomelooverload.Router{Node: p.Node, CPUSpeed: p.CPUSpeed, Limited: now.Sub(p.limitedAt) <= limitedTimeout})
		}
	}
	c.overload.domain = list
	if !heard {
		return list[:1]
	}
	return list
}

// limitAnnounced reports whether this router tells others that it is limited.
func (c *control) limitAnnounced() bool {
	return c.overload.last.Announced(time.Duration(c.e.steady()))
}
