package pomeloforward

import (
	"net/http"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Preview is what a request's header tells about it before its body is read.
type Preview struct {
	Account pomelorelay.AccountID
	Route   pomelorelay.RouteID
	Service pomelorelay.ServiceID
	// Cost counts towards the account's share.
	Cost pomelorelay.Cost
	// Priority is the account's priority, or else the route's; 0 is the highest.
	Priority int
	// TimeLeft is how long the caller waits; zero if it does not say so.
	TimeLeft time.Duration
}

// Preview returns what the header tells about a request for a host and path, and false if the request will be refused because it has no
// route, or no account although one is required.
func (h *Handler) Preview(host, path string, head http.Header) (Preview, bool) {
	table := h.cfg.Tables.Current()
	if table == nil {
		return Preview{}, false
	}
	route, ok := table.Route(host, path)
	if !ok {
		return Preview{}, false
	}
	fields := h.cfg.Wire.ParseCallerFields(head)
	p := Preview{Route: route.Name, Priority: route.Priority, TimeLeft: fields.Timeout}
	account, cost := accountCost(table, fields)
	switch {
	case account != nil:
		p.Account, p.Cost = account.Name, cost
		if account.Priority != nil {
			p.Priority = *account.Priority
		}
	case !route.Public && len(table.Config().Accounts) > 0:
		return Preview{}, false
	}
	p.Service, ok = table.PickService(route, fields.RequestID)
	return p, ok
}
