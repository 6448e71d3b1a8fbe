package pomeloentry

import (
	"maps"
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloforward"
	"github.com/pomelorelay/pomelorelay/pomelooverload"
	"github.com/pomelorelay/pomelorelay/pomeloplace"
	"github.com/pomelorelay/pomelorelay/pomelopromise"
)

const (
	// reasonUnread is the metric label of requests that a full router refused unread, reasonOverload of those that the overload control refused.
	reasonUnread   = "Unread"
	reasonOverload = "Overload"
)

// regions returns the regions of the fleet; one may occur several times.
func (c *control) regions() []pomelorelay.RegionID {
	return slices.Collect(maps.Values(c.e.cfg.Settings.Regions))
}

// countAccount counts a request of an account by the decision on it.
func (c *control) countAccount(req *pomeloforward.PlacementRequest, d *pomeloplace.Decision, withinShare bool) {
	if req.Account == "" {
		return
	}
	if !req.Retry {
		c.e.metrics.CountAccountRequests(req.Account, 1)
		if withinShare {
			c.e.metrics.CountAccountWithinShare(req.Account)
		}
	}
	if d.Reason != pomeloplace.ReasonNone {
		c.e.metrics.CountAccountRefused(req.Account, string(d.Reason), 1)
	}
}

// countPromise counts a return to this router after a refusal for the account's share, and a caller that is told to return.
func (c *control) countPromise(now time.Time, req *pomeloforward.PlacementRequest, d *pomeloplace.Decision) {
	if req.Retry || req.Account == "" {
		return
	}
	if outcome := c.promises.RecordReturn(now, req.Fingerprint, d.Reason == pomeloplace.ReasonNone); outcome != pomelopromise.OutcomeNone {
		c.e.metrics.CountPromise(string(outcome))
	}
	if d.Reason == pomeloplace.ReasonOverShare {
		c.promises.RecordRefusal(now, req.Fingerprint, d.RetryAfter)
		c.e.metrics.CountPromise(string(pomelopromise.OutcomeMade))
	}
}

// unreadRequests sums the requests of an account that the overload control refused before their body was read.
type unreadRequests struct {
	cost                    pomelorelay.Cost
	overloaded, fullService int
}

func (u *unreadRequests) add(cost pomelorelay.Cost, class pomelooverload.Class) {
	u.cost += cost
	if class == classNoFreeSlot {
		u.fullService++
		return
	}
	u.overloaded++
}

// countUnread counts the requests of an account that were refused unread.
func (c *control) countUnread(account pomelorelay.AccountID, u unreadRequests) {
	if account == "" {
		return
	}
	c.e.metrics.CountAccountRequests(account, u.overloaded+u.fullService)
	c.e.metrics.CountAccountRefused(account, reasonOverload, u.overloaded)
	c.e.metrics.CountAccountRefused(account, string(pomeloplace.ReasonOverShare), u.fullService)
}
