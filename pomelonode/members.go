package pomelonode

import (
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelomember"
)

// applyMemberChanges follows routers that came and went.
func (c *control) applyMemberChanges(now time.Time) {
	c.changes = c.memberView.Changes(c.changes[:0])
	if len(c.changes) == 0 {
		return
	}
	for _, change := range c.changes {
		c.applyMemberChange(now, change)
	}
	c.placeJobs(now)
}

func (c *control) applyMemberChange(now time.Time, change pomelomember.Change) {
	node := change.Peer.Node
	switch change.Status {
	case pomelorelay.MemberDead:
		c.n.log(pomelorelay.EventMemberDead, field("Member", string(node)))
		c.dead[node] = true
		c.reclaimFrom(now, node)
	case pomelorelay.MemberLeaving:
		c.n.log(pomelorelay.EventMemberLeft, field("Member", string(node)))
	case pomelorelay.MemberAlive:
		c.memberAlive(now, node, change.Incarnation)
	}
}

// memberAlive welcomes a router. One that restarted before it was missed has lost what it held: kept until the next question after
// running requests, its grants would be seen as slots that are taken and idle.
func (c *control) memberAlive(now time.Time, node pomelorelay.NodeID, incarnation pomelorelay.Incarnation) {
	event := pomelorelay.EventMemberUp
	if before := c.incarnations[node]; before != 0 && incarnation > before && !c.dead[node] {
		event = pomelorelay.EventMemberRestarted
		c.reclaimFrom(now, node)
	}
	c.n.log(event, field("Member", string(node)))
	c.incarnations[node] = incarnation
	delete(c.dead, node)
	c.quarantine.Joined(now, node, &c.suspectOut)
}

// reclaimFrom reclaims what a router that is no more held.
func (c *control) reclaimFrom(now time.Time, node pomelorelay.NodeID) {
	delete(c.generations, node)
	c.out = c.owner.MemberGone(now, node, c.out)
	c.ledger.MemberGone(now, node)
	c.arbiter.MemberGone(node)
}

// updateReachable follows failure domains that were lost or found again.
func (c *control) updateReachable(now time.Time) {
	c.reachableNow = c.memberView.Reachable(now, c.reachableNow[:0])
	if slices.Equal(c.reachableNow, c.reachable) {
		return
	}
	for _, domain := range c.reachable {
		if !slices.Contains(c.reachableNow, domain) {
			c.n.log(pomelorelay.EventDomainUnreachable, field("Domain", string(domain)))
		}
	}
	for _, domain := range c.reachableNow {
		if !c.isReachable(domain) {
			c.domainReachable(now, domain)
		}
	}
	c.placeJobs(now)
}

// domainReachable tells the routers of a failure domain that can be reached again what they missed of crash suspects.
func (c *control) domainReachable(now time.Time, domain pomelorelay.DomainID) {
	c.n.log(pomelorelay.EventDomainReachable, field("Domain", string(domain)))
	for _, node := range c.members.Members(domain) {
		if node != c.n.self.Node {
			c.quarantine.Joined(now, node, &c.suspectOut)
		}
	}
}
