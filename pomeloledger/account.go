package pomeloledger

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// origin is the cumulative service that one router incarnation reported.
type origin struct {
	node        pomelorelay.NodeID
	incarnation pomelorelay.Incarnation
	served      pomelorelay.Cost
	waiting     bool
}

// foreignComponent is an account's service in another failure domain.
type foreignComponent struct {
	domain       pomelorelay.DomainID
	sum          pomelorelay.Cost
	departed     pomelorelay.Cost
	waitingUntil time.Time // when the report that the account is backlogged there expires
	regionSends  int       // remaining exchanges within the region that include the component
	crossSends   int       // remaining exchanges with other regions that include the component
}

// account holds the service that one client account received in one pool.
type account struct {
	key     pomelorelay.LedgerKey
	origins []origin
	// departed is the sum of the service of ended incarnations, whose origins have been removed. residue is the service
	// of routers that were unreachable when this host rebuilt the shard; when such a router reports again, its service
	// is subtracted from residue.
	departed pomelorelay.Cost
	residue  pomelorelay.Cost
	// peerSum and peerDeparted are this domain's total and departed service as known in other domains; used only during
	// a rebuild.
	peerSum           pomelorelay.Cost
	peerDeparted      pomelorelay.Cost
	lift              pomelorelay.Tag
	maxTotal          pomelorelay.Cost
	regionSends       int
	crossSends        int
	foreignComponents []foreignComponent
}

func (a *account) liveServed() pomelorelay.Cost {
	var sum pomelorelay.Cost
	for i := range a.origins {
		sum += a.origins[i].served
	}
	return sum
}

// domainTotal returns the account's service in this domain; it never decreases.
func (a *account) domainTotal(p rebuildPhase) pomelorelay.Cost {
	sum := a.departed + a.residue + a.liveServed()
	if p != rebuilt {
		sum = max(a.departed+a.liveServed(), a.peerSum)
	}
	a.maxTotal = max(a.maxTotal, sum)
	return a.maxTotal
}

// mergeReport merges a router's entry, keeping the maximum of the service, and reports whether anything changed.
func (a *account) mergeReport(node pomelorelay.NodeID, incarnation pomelorelay.Incarnation, rebuiltAt pomelorelay.Incarnation, e *pomelorelay.LedgerEntry) bool {
	liftRaised := e.Lift > a.lift
	a.lift = max(a.lift, e.Lift)
	for i := range a.origins {
		o := &a.origins[i]
		if o.node != node || o.incarnation != incarnation {
			continue
		}
		if e.Served < o.served {
			return liftRaised
		}
		changed := e.Served > o.served || o.waiting != e.Waiting
		o.served = e.Served
		o.waiting = e.Waiting
		return changed || liftRaised
	}
	a.origins = append(a.origins, origin{node: node, incarnation: incarnation, served: e.Served, waiting: e.Waiting})
	if incarnation < rebuiltAt {
		a.residue -= min(a.residue, e.Served)
	}
	return true
}

func (a *account) fold(f pendingFold) {
	kept := a.origins[:0]
	for _, o := range a.origins {
		if o.node == f.node && o.incarnation <= f.upTo {
			a.departed += o.served
			continue
		}
		kept = append(kept, o)
	}
	a.origins = kept
}

func (a *account) clearWaiting(node pomelorelay.NodeID, upTo pomelorelay.Incarnation) bool {
	changed := false
	for i := range a.origins {
		o := &a.origins[i]
		if o.node == node && o.incarnation <= upTo && o.waiting {
			o.waiting = false
			changed = true
		}
	}
	return changed
}

func (a *account) scheduleSends(sends int) {
	a.regionSends = sends
	a.crossSends = sends
}

func (a *account) isWaiting() bool {
	for i := range a.origins {
		if a.origins[i].waiting {
			return true
		}
	}
	return false
}

// foreignComponent returns the account's service in another domain, and adds an empty component if there is none.
func (a *account) foreignComponent(domain pomelorelay.DomainID) *foreignComponent {
	for i := range a.foreignComponents {
		if a.foreignComponents[i].domain == domain {
			return &a.foreignComponents[i]
		}
	}
	a.foreignComponents = append(a.foreignComponents, foreignComponent{domain: domain})
	return &a.foreignComponents[len(a.foreignComponents)-1]
}

// fleetEntry returns the account's service in all domains and whether it is backlogged in any.
func (a *account) fleetEntry(now time.Time, p rebuildPhase) pomelorelay.LedgerEntry {
	e := pomelorelay.LedgerEntry{Pool: a.key.Pool, Account: a.key.Account, Served: a.domainTotal(p), Lift: a.lift, Waiting: a.isWaiting()}
	for i := range a.foreignComponents {
		e.Served += a.foreignComponents[i].sum
		e.Waiting = e.Waiting || now.Before(a.foreignComponents[i].waitingUntil)
	}
	return e
}

// componentEntry returns the entry to send to other hosts: the service in c's domain, or in this domain when c is nil.
func (a *account) componentEntry(now time.Time, p rebuildPhase, c *foreignComponent) pomelorelay.LedgerComponentEntry {
	e := pomelorelay.LedgerComponentEntry{Pool: a.key.Pool, Account: a.key.Account, Lift: a.lift}
	if c == nil {
		e.Served = a.domainTotal(p)
		e.Departed = a.departed
		e.Waiting = a.isWaiting()
		return e
	}
	e.Served = c.sum
	e.Departed = c.departed
	e.Waiting = now.Before(c.waitingUntil)
	return e
}
