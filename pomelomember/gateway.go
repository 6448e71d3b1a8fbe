package pomelomember

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// gatewayDigests sends the state of this failure domain to the others, if this router is one of their gateways.
func (v *View) gatewayDigests(now time.Time, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	return v.gatewayDigestsWith(now, v.news(), out)
}

func (v *View) gatewayDigestsWith(now time.Time, news []pomelorelay.MemberState, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	var digest *pomelorelay.Digest
	for _, domain := range v.otherDomains() {
		counterpart, ok := v.counterpart(now, domain)
		if !ok {
			continue
		}
		if digest == nil {
			digest = v.outward(news)
		}
		out = append(out, pomelorelay.Outgoing{To: counterpart, Message: digest})
	}
	return out
}

// outward returns the digest for other failure domains: news of this one's routers and its most useful slots.
func (v *View) outward(news []pomelorelay.MemberState) *pomelorelay.Digest {
	v.digestSeq++
	digest := &pomelorelay.Digest{Seq: v.digestSeq}
	for _, state := range news {
		if m := v.lookup(state.Node); m == nil || m.peer.Domain == v.cfg.Self.Domain {
			digest.Members = append(digest.Members, state)
		}
	}
	digest.Slots = v.slots.useful(v.cfg.Self.Domain, true, v.cfg.Options.OutwardSlots, digest.Slots)
	return digest
}

// counterpart returns the router of another failure domain to which this one keeps a link, or false when others do.
// While the other domain is silent, its listed routers are tried at random.
func (v *View) counterpart(now time.Time, domain pomelorelay.DomainID) (pomelorelay.NodeID, bool) {
	place := v.gatewayPlace(domain)
	if place < 0 {
		return "", false
	}
	theirs := v.domainMembers(domain)
	if !v.domainReached(now, domain) || len(theirs) == 0 {
		theirs = v.listedIn(domain)
		if len(theirs) == 0 {
			return "", false
		}
		return theirs[v.random.IntN(len(theirs))], true
	}
	ranked := Rank(linkKey(v.cfg.Self.Domain, domain), theirs)
	return ranked[place%len(ranked)], true
}

// gatewayPlace returns this router's place among the gateways to a failure domain, or -1 when it is none.
func (v *View) gatewayPlace(domain pomelorelay.DomainID) int {
	members := v.domainMembers(v.cfg.Self.Domain)
	if v.leaving && len(members) == 0 {
		// All routers of the domain stop; somebody has to tell the others.
		return 0
	}
	ranked := Rank(linkKey(v.cfg.Self.Domain, domain), members)
	for place, node := range ranked[:min(len(ranked), v.cfg.Options.Gateways)] {
		if node == v.cfg.Self.Node {
			return place
		}
	}
	return -1
}

// linkKey names the pair of failure domains, the same from both sides.
func linkKey(a, b pomelorelay.DomainID) string {
	return "gateway/" + string(min(a, b)) + "/" + string(max(a, b))
}

// domainReached reports whether a failure domain was heard lately, here or by a router of this domain.
func (v *View) domainReached(now time.Time, domain pomelorelay.DomainID) bool {
	if domain == v.cfg.Self.Domain {
		return true
	}
	heard, ok := v.reached[domain]
	return ok && now.Sub(heard) < v.cfg.Options.DomainSilent
}

func (v *View) domainMembers(domain pomelorelay.DomainID) []pomelorelay.NodeID {
	return v.Snapshot().Members(domain)
}

func (v *View) listedIn(domain pomelorelay.DomainID) []pomelorelay.NodeID {
	var nodes []pomelorelay.NodeID
	for _, m := range v.members {
		if m.located && m.peer.Domain == domain && (m.listed || m.live()) {
			nodes = append(nodes, m.peer.Node)
		}
	}
	return nodes
}

func (v *View) otherDomains() []pomelorelay.DomainID {
	var domains []pomelorelay.DomainID
	for _, m := range v.members {
		if m.located && m.peer.Domain != v.cfg.Self.Domain && !containsDomain(domains, m.peer.Domain) {
			domains = append(domains, m.peer.Domain)
		}
	}
	return domains
}
