package pomelonode

import (
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelomember"
)

// takeChanges follows routers that came and went.
func (c *control) takeChanges(now time.Time) {
	c.changes = c.view.TakeChanges(c.changes[:0])
	if len(c.changes) == 0 {
		return
	}
	for _, change := range c.changes {
		c.takeChange(now, change)
	}
	c.placeJobs(now)
}

func (c *control) takeChange(now time.Time, change pomelomember.Change) {
	node := change.Peer.Node
	switch change.Status {
	case pomelorelay.MemberDead:
		c.n.log(pomelorelay.EventMemberDead, field("Member", string(node)))
		c.dead[node] = true
		c.forget(now, node)
	case pomelorelay.MemberLeaving:
		c.n.log(pomelorelay.EventMemberLeft, field("Member", string(node)))
	case pomelorelay.MemberAlive:
		c.takeAlive(now, node, change.Incarnation)
	}
}

// takeAlive welcomes a router. One that restarted before it was missed has lost what it held: kept until the next question after
// running requests, its grants would be seen as slots that are taken and idle.
func (c *control) takeAlive(now time.Time, node pomelorelay.NodeID, incarnation pomelorelay.Incarnation) {
	event := pomelorelay.EventMemberUp
	if before := c.incarnations[node]; before != 0 && incarnation > before && !c.dead[node] {
		event = pomelorelay.EventMemberRestarted
		c.forget(now, node)
	}
	c.n.log(event, field("Member", string(node)))
	c.incarnations[node] = incarnation
	delete(c.dead, node)
	c.table.MemberJoined(now, node, &c.suspectOut)
}

// forget reclaims what a router that is no more held.
func (c *control) forget(now time.Time, node pomelorelay.NodeID) {
	delete(c.generations, node)
	c.out = c.owner.RemoveRouter(now, node, c.out)
	c.ledger.MemberGone(now, node)
	c.arbiter.MemberGone(node)
}

// takeReach follows failure domains that were lost or found again.
func (c *control) takeReach(now time.Time) {
	c.reachNow = c.view.ReachableDomains(now, c.reachNow[:0])
	if slices.Equal(c.reachNow, c.reachable) {
		return
	}
	for _, domain := range c.reachable {
		if !slices.Contains(c.reachNow, domain) {
			c.n.log(pomelorelay.EventDomainUnreachable, field("Domain", string(domain)))
		}
	}
	for _, domain := range c.reachNow {
		if !c.reaches(domain) {
			c.meet(now, domain)
		}
	}
	c.placeJobs(now)
}

// meet tells the routers of a failure domain that can be reached again what they missed of crash suspects.
func (c *control) meet(now time.Time, domain pomelorelay.DomainID) {
	c.n.log(pomelorelay.EventDomainReachable, field("Domain", string(domain)))
	for _, node := range c.members.Members(domain) {
		if node != c.n.self.Node {
			c.table.MemberJoined(now, node, &c.suspectOut)
		}
	}
}
