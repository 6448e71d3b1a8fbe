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

// cell is one failure domain's part of an account.
type cell struct {
	domain   pomelorelay.DomainID
	sum      pomelorelay.Cost
	departed pomelorelay.Cost
	waiting  time.Time // until when the word that it waits there holds
	near     int       // exchanges within the region that still carry it
	cross    int       // exchanges with other regions that still carry it
}

// account is what is known of one account in one pool.
type account struct {
	key     pomelorelay.LedgerKey
	origins []origin
	// departed is the service of folded incarnations. residue is that of routers which were gone when this host rebuilt
	// the shard; a router that was only away and reports again takes its part out of it.
	departed pomelorelay.Cost
	residue  pomelorelay.Cost
	// knownSum and knownDeparted are what other domains know of this one, until the rebuild is settled.
	knownSum      pomelorelay.Cost
	knownDeparted pomelorelay.Cost
	lift          pomelorelay.Tag
	sum           pomelorelay.Cost
	near          int
	cross         int
	foreign       []cell
}

func (a *account) live() pomelorelay.Cost {
	var sum pomelorelay.Cost
	for i := range a.origins {
		sum += a.origins[i].served
	}
	return sum
}

// total returns this domain's service; it never falls.
func (a *account) total(p phase) pomelorelay.Cost {
	sum := a.departed + a.residue + a.live()
	if p != settled {
		sum = max(a.departed+a.live(), a.knownSum)
	}
	a.sum = max(a.sum, sum)
	return a.sum
}

// report merges a router's entry by maximum and reports whether it was news.
func (a *account) report(node pomelorelay.NodeID, incarnation pomelorelay.Incarnation, opened pomelorelay.Incarnation, e *pomelorelay.LedgerEntry) bool {
	lifted := e.Lift > a.lift
	a.lift = max(a.lift, e.Lift)
	for i := range a.origins {
		o := &a.origins[i]
		if o.node != node || o.incarnation != incarnation {
			continue
		}
		if e.Served < o.served {
			return lifted
		}
		news := e.Served > o.served || o.waiting != e.Waiting
		o.served = e.Served
		o.waiting = e.Waiting
		return news || lifted
	}
	a.origins = append(a.origins, origin{node: node, incarnation: incarnation, served: e.Served, waiting: e.Waiting})
	if incarnation < opened {
		a.residue -= min(a.residue, e.Served)
	}
	return true
}

func (a *account) fold(f fold) {
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

func (a *account) unwait(node pomelorelay.NodeID, upTo pomelorelay.Incarnation) bool {
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

func (a *account) touch(repeats int) {
	a.near = repeats
	a.cross = repeats
}

func (a *account) waiting() bool {
	for i := range a.origins {
		if a.origins[i].waiting {
			return true
		}
	}
	return false
}

// cell returns another domain's part, and makes it when there is none.
func (a *account) cell(domain pomelorelay.DomainID) *cell {
	for i := range a.foreign {
		if a.foreign[i].domain == domain {
			return &a.foreign[i]
		}
	}
	a.foreign = append(a.foreign, cell{domain: domain})
	return &a.foreign[len(a.foreign)-1]
}

// fleet returns the service of all domains, and whether the account waits in any.
func (a *account) fleet(now time.Time, p phase) pomelorelay.LedgerEntry {
	e := pomelorelay.LedgerEntry{Pool: a.key.Pool, Account: a.key.Account, Served: a.total(p), Lift: a.lift, Waiting: a.waiting()}
	for i := range a.foreign {
		e.Served += a.foreign[i].sum
		e.Waiting = e.Waiting || now.Before(a.foreign[i].waiting)
	}
	return e
}

// component returns a domain's part as it is told to others.
func (a *account) component(now time.Time, p phase, c *cell) pomelorelay.LedgerComponentEntry {
	e := pomelorelay.LedgerComponentEntry{Pool: a.key.Pool, Account: a.key.Account, Lift: a.lift}
	if c == nil {
		e.Sum = a.total(p)
		e.Departed = a.departed
		e.Waiting = a.waiting()
		return e
	}
	e.Sum = c.sum
	e.Departed = c.departed
	e.Waiting = now.Before(c.waiting)
	return e
}
