package pomelonode

import (
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelomember"
)

// applyMemberChanges processes the membership changes since the last call.
func (c *control) applyMemberChanges(now time.Time) {
	c.changes = c.memberView.TakeChanges(c.changes[:0])
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

// memberAlive adds a live router. If the router restarted before it was detected as dead, it has lost the slots that were granted to it.
// These slots are reclaimed immediately; otherwise they would count as taken, although idle, until the router is next asked which requests
// it runs (RunningQuery).
func (c *control) memberAlive(now time.Time, node pomelorelay.NodeID, incarnation pomelorelay.Incarnation) {
	event := pomelorelay.EventMemberUp
	if before := c.incarnations[node]; before != 0 && incarnation > before && !c.dead[node] {
		event = pomelorelay.EventMemberRestarted
		c.reclaimFrom(now, node)
	}
	c.n.log(event, field("Member", string(node)))
	c.incarnations[node] = incarnation
	delete(c.dead, node)
	c.sendSuspects(now, node)
}

// reclaimFrom reclaims the slots granted to a router that died or restarted, and removes the other state kept about that router.
func (c *control) reclaimFrom(now time.Time, node pomelorelay.NodeID) {
	delete(c.generations, node)
	c.outgoing = c.owner.RemoveRouter(now, node, c.outgoing)
	c.ledger.MemberGone(now, node)
	c.arbiter.MemberGone(node)
}

// updateReachable processes failure domains that became unreachable or reachable.
func (c *control) updateReachable(now time.Time) {
	c.reachableNow = c.memberView.ReachableDomains(now, c.reachableNow[:0])
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

// domainReachable notifies the routers of a failure domain that became reachable of the requests that are suspected of crashing upstreams,
// since these routers may have missed the earlier notices.
func (c *control) domainReachable(now time.Time, domain pomelorelay.DomainID) {
	c.n.log(pomelorelay.EventDomainReachable, field("Domain", string(domain)))
	for _, node := range c.members.Members(domain) {
		if node != c.n.self.Node {
			c.sendSuspects(now, node)
		}
	}
}

// sendSuspects sends a router that joined or rejoined the fleet what is known of requests and prompt parts that crash upstreams.
func (c *control) sendSuspects(now time.Time, node pomelorelay.NodeID) {
	c.quarantine.MemberJoined(now, node, &c.suspectOut)
	if crashes := c.crashedParts.log.All(maxCrashesPerNotice); len(crashes) > 0 {
		c.outgoing = append(c.outgoing, pomelorelay.Outgoing{To: node, Message: &pomelorelay.CrashNotice{Crashes: crashes}})
	}
}
