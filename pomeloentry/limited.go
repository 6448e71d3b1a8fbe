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
	limited := w.last.Limited
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
	for node, p := range c.peers.byNode {
		if p.Domain == c.e.cfg.Settings.Self.Domain {
			c.send(node, &pomelorelay.LoadReport{Limited: limited})
		}
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

// neighbours counts the live routers of this failure domain. Routers that report through a relay send this router nothing while they are not
// limited, so a registered one counts as live while any router of the domain is heard.
func (c *control) neighbours(now time.Time) pomelooverload.Neighbours {
	var n pomelooverload.Neighbours
	self := c.e.cfg.Settings.Self
	heard, silent := 0, 0
	for node, p := range c.peers.byNode {
		if p.Domain != self.Domain {
			continue
		}
		switch {
		case now.Sub(p.seenAt) <= relayTimeout:
			heard++
		case p.registered:
			silent++
		}
		if now.Sub(p.limitedAt) <= limitedTimeout {
			n.Limited++
			if node < self.Node {
				n.LimitedBefore++
			}
		}
	}
	if heard > 0 {
		n.Known = heard
		if !c.reportsDirectly() {
			n.Known += silent
		}
	}
	return n
}
