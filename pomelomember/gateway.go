package pomelomember

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// sendGatewayDigests sends the recent status changes and the slot states of this failure domain to those other domains to which this router
// is a gateway.
func (v *View) sendGatewayDigests(now time.Time, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	return v.sendGatewayStates(now, v.changedStates(), out)
}

func (v *View) sendGatewayStates(now time.Time, states []pomelorelay.MemberState, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	var digest *pomelorelay.Digest
	for _, domain := range v.otherDomains() {
		counterpart, ok := v.counterpart(now, domain)
		if !ok {
			continue
		}
		if digest == nil {
			digest = v.externalDigest(states)
		}
		out = append(out, pomelorelay.Outgoing{To: counterpart, Message: digest})
	}
	return out
}

// externalDigest returns the digest for other failure domains: the given states of this domain's routers, and the SlotDigests (the slot
// state of one upstream) with the most idle slots.
func (v *View) externalDigest(states []pomelorelay.MemberState) *pomelorelay.Digest {
	v.digestSeq++
	digest := &pomelorelay.Digest{Seq: v.digestSeq}
	for _, state := range states {
		if m := v.lookup(state.Node); m == nil || m.peer.Domain == v.cfg.Self.Domain {
			digest.Members = append(digest.Members, state)
		}
	}
	digest.Slots = v.slots.appendBest(v.cfg.Self.Domain, true, v.cfg.Options.MaxAdvertisedSlots, digest.Slots)
	return digest
}

// counterpart returns the router of another failure domain that this router sends digests to, or false if this router is no gateway to
// that domain or knows none of its routers. While the other domain is unreachable, its known routers are tried at random.
func (v *View) counterpart(now time.Time, domain pomelorelay.DomainID) (pomelorelay.NodeID, bool) {
	index := v.gatewayIndex(domain)
	if index < 0 {
		return "", false
	}
	candidates := v.domainMembers(domain)
	if !v.domainReachable(now, domain) || len(candidates) == 0 {
		candidates = v.knownRouters(domain)
		if len(candidates) == 0 {
			return "", false
		}
		return candidates[v.random.IntN(len(candidates))], true
	}
	ranked := Rank(linkKey(v.cfg.Self.Domain, domain), candidates)
	return ranked[index%len(ranked)], true
}

// gatewayIndex returns this router's index among the gateways to a failure domain, or -1 if this router is not one of them.
func (v *View) gatewayIndex(domain pomelorelay.DomainID) int {
	members := v.domainMembers(v.cfg.Self.Domain)
	if v.leaving && len(members) == 0 {
		// All routers of this domain are stopping, so this one must inform the other domains itself.
		return 0
	}
	ranked := Rank(linkKey(v.cfg.Self.Domain, domain), members)
	for index, node := range ranked[:min(len(ranked), v.cfg.Options.Gateways)] {
		if node == v.cfg.Self.Node {
			return index
		}
	}
	return -1
}

// linkKey returns the rendezvous hashing key for a pair of failure domains, the same for both orders of the pair.
func linkKey(a, b pomelorelay.DomainID) string {
	return "gateway/" + string(min(a, b)) + "/" + string(max(a, b))
}

// domainReachable reports whether a router of this domain received a message from the failure domain within DomainSilent.
func (v *View) domainReachable(now time.Time, domain pomelorelay.DomainID) bool {
	if domain == v.cfg.Self.Domain {
		return true
	}
	seen, ok := v.domainSeen[domain]
	return ok && now.Sub(seen) < v.cfg.Options.DomainSilent
}

func (v *View) domainMembers(domain pomelorelay.DomainID) []pomelorelay.NodeID {
	return v.Snapshot().Members(domain)
}

func (v *View) knownRouters(domain pomelorelay.DomainID) []pomelorelay.NodeID {
	var nodes []pomelorelay.NodeID
	for _, m := range v.members {
		if m.addressKnown && m.peer.Domain == domain && (m.listed || m.live()) {
			nodes = append(nodes, m.peer.Node)
		}
	}
	return nodes
}

func (v *View) otherDomains() []pomelorelay.DomainID {
	var domains []pomelorelay.DomainID
	for _, m := range v.members {
		if m.addressKnown && m.peer.Domain != v.cfg.Self.Domain && !containsDomain(domains, m.peer.Domain) {
			domains = append(domains, m.peer.Domain)
		}
	}
	return domains
}
