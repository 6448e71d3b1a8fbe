package pomeloslot_test

import (
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloslot"
)

// newRequester returns a requester in domain a of region north; b is another domain of north, z a domain of region south.
func newRequester() *pomeloslot.Requester {
	r := pomeloslot.NewRequester(pomeloslot.RequesterConfig{
		Node:         "me",
		Domain:       "a",
		Regions:      map[pomelorelay.DomainID]pomelorelay.RegionID{"a": "north", "b": "north", "z": "south"},
		Registration: pomeloslot.RegistrationOptions{BaseOwners: 2, SpareOwners: 1, StartJitter: 1},
		Spill:        pomeloslot.SpillOptions{DomainMargin: 10, RegionMargin: 100, RegionMinWaiting: 5},
	})
	r.Tick(start, nil)
	return r
}

func digest(id pomelorelay.UpstreamID, domain pomelorelay.DomainID, last pomelorelay.Tag, idle pomelorelay.Slots) pomelorelay.SlotDigest {
	return pomelorelay.SlotDigest{Upstream: id, Pool: testPool, Owner: pomelorelay.NodeID("owner-" + id), Domain: domain, LastTag: last, Idle: idle, Limit: 8}
}

func heads(waiting int) []pomeloslot.PoolDemand {
	return []pomeloslot.PoolDemand{{Pool: testPool, Head: 50, Waiting: waiting}}
}

// registeredAt returns the upstreams of the registrations in the messages, without withdrawals.
func registeredAt(out []pomelorelay.Outgoing) map[pomelorelay.UpstreamID]bool {
	at := make(map[pomelorelay.UpstreamID]bool)
	for _, o := range out {
		if m, ok := o.Message.(*pomelorelay.Demand); ok && m.Waiting > 0 {
			at[m.Upstream] = true
		}
	}
	return at
}

func TestOwnerSelection(t *testing.T) {
	for _, c := range []struct {
		name    string
		digests []pomelorelay.SlotDigest
		waiting int
		want    []pomelorelay.UpstreamID
	}{
		{"upstreams with the highest last tags", []pomelorelay.SlotDigest{digest("u1", "a", 10, 0), digest("u2", "a", 90, 0), digest("u3", "a", 80, 0)}, 1, []pomelorelay.UpstreamID{"u2", "u3"}},
		{"idle slots cover the demand, plus one spare owner", []pomelorelay.SlotDigest{digest("u1", "a", 10, 4), digest("u2", "a", 90, 0), digest("u3", "a", 0, 3), digest("u4", "a", 0, 2)}, 4, []pomelorelay.UpstreamID{"u1", "u3"}},
		{"all upstreams with idle slots under high demand", []pomelorelay.SlotDigest{digest("u1", "a", 10, 4), digest("u2", "a", 90, 1), digest("u3", "a", 0, 3), digest("u4", "a", 0, 2)}, 40, []pomelorelay.UpstreamID{"u1", "u2", "u3", "u4"}},
		{"another domain within the margin", []pomelorelay.SlotDigest{digest("u1", "a", 50, 0), digest("v", "b", 59, 0)}, 1, []pomelorelay.UpstreamID{"u1"}},
		{"another domain beyond the margin", []pomelorelay.SlotDigest{digest("u1", "a", 50, 0), digest("v", "b", 61, 0)}, 1, []pomelorelay.UpstreamID{"u1", "v"}},
		{"idle slots of another domain", []pomelorelay.SlotDigest{digest("u1", "a", 50, 0), digest("v", "b", 0, 1)}, 1, []pomelorelay.UpstreamID{"v"}},
		{"local idle slots first", []pomelorelay.SlotDigest{digest("u1", "a", 50, 1), digest("v", "b", 0, 9)}, 1, []pomelorelay.UpstreamID{"u1"}},
		{"another region within the margin", []pomelorelay.SlotDigest{digest("u1", "a", 50, 0), digest("w", "z", 140, 0)}, 1, []pomelorelay.UpstreamID{"u1"}},
		{"another region beyond the margin", []pomelorelay.SlotDigest{digest("u1", "a", 50, 0), digest("w", "z", 151, 0)}, 1, []pomelorelay.UpstreamID{"u1", "w"}},
		{"idle slots of another region, low demand", []pomelorelay.SlotDigest{digest("u1", "a", 50, 0), digest("w", "z", 0, 9)}, 4, []pomelorelay.UpstreamID{"u1"}},
		{"idle slots of another region, high demand", []pomelorelay.SlotDigest{digest("u1", "a", 50, 0), digest("w", "z", 0, 9)}, 20, []pomelorelay.UpstreamID{"u1", "w"}},
		{"no upstream in the local domain", []pomelorelay.SlotDigest{digest("v", "b", 10, 0)}, 1, []pomelorelay.UpstreamID{"v"}},
		{"no upstream in the local region", []pomelorelay.SlotDigest{digest("w", "z", 10, 0)}, 1, []pomelorelay.UpstreamID{"w"}},
		{"no demand", []pomelorelay.SlotDigest{digest("u1", "a", 10, 4)}, 0, nil},
	} {
		r := newRequester()
		r.UpdateDigests(start, c.digests)
		got := registeredAt(r.UpdateDemand(start.Add(time.Millisecond), heads(c.waiting), nil))
		same := len(got) == len(c.want)
		for _, id := range c.want {
			same = same && got[id]
		}
		if !same {
			t.Errorf("%s: registered at %v, want %v", c.name, got, c.want)
		}
	}
}

func TestGrantInFlightWhenUpstreamLeaves(t *testing.T) {
	// A request must not start after the leaving notice of its upstream. It could if an owner grants a slot before it
	// knows that the upstream is leaving, or if a claim takes so long that the upstream leaves or the grant expires
	// meanwhile.
	r := newRequester()
	r.UpdateDigests(start, []pomelorelay.SlotDigest{digest("u1", "a", 10, 4)})
	now := start.Add(time.Millisecond)
	r.UpdateDemand(now, heads(3), nil)
	first := &pomelorelay.Grant{ID: 1, Upstream: "u1", Pool: testPool, TTL: 500 * time.Millisecond}
	if !r.AcceptGrant(now, "owner-u1", first) || !r.GrantUsable(now, 1) {
		t.Fatal("a valid grant was refused")
	}
	if r.AcceptGrant(now, "owner-u1", first) {
		t.Error("a duplicate grant was accepted")
	}
	if r.GrantUsable(now.Add(time.Second), 1) {
		t.Error("an expired grant is usable")
	}
	r.MarkLeaving("u1")
	if r.GrantUsable(now, 1) {
		t.Error("a grant is usable although its upstream is leaving")
	}
	if r.AcceptGrant(now, "owner-u1", &pomelorelay.Grant{ID: 2, Upstream: "u1", Pool: testPool, TTL: time.Second}) {
		t.Error("a grant for a leaving upstream was accepted")
	}
	out := r.SettleGrant(now, 2, pomeloslot.GrantOutcome{State: pomelorelay.GrantReturned, Head: 50, Waiting: 3}, nil)
	if m, ok := out[0].Message.(*pomelorelay.GrantReply); !ok || m.Waiting != 0 {
		t.Errorf("reply %+v requests slots of a leaving upstream", out[0].Message)
	}
	if got := registeredAt(r.Tick(now.Add(time.Second), nil)); len(got) != 0 {
		t.Errorf("registered at %v, want none", got)
	}
	r.ClearLeaving("u1")
	r.UpdateDigests(now, []pomelorelay.SlotDigest{digest("u1", "a", 10, 4)})
	if got := registeredAt(r.Tick(now.Add(time.Second), nil)); !got["u1"] {
		t.Error("not registered after the leaving mark was cleared")
	}
}

func TestReplyAfterOwnerChange(t *testing.T) {
	// A request runs while its upstream's owner is replaced. If only the previous owner learned that the request ended,
	// the new one would count the slot as taken until its next query.
	r := newRequester()
	r.UpdateDigests(start, []pomelorelay.SlotDigest{digest("u1", "a", 10, 4)})
	r.AcceptGrant(start, "owner-u1", &pomelorelay.Grant{ID: 5, Upstream: "u1", Pool: testPool, TTL: time.Second})
	if m := r.RunningReport("u1"); len(m.Grants) != 1 || m.Grants[0] != 5 || m.Running != 1 {
		t.Errorf("report %+v, want grant 5", m)
	}
	d := digest("u1", "a", 10, 4)
	d.Owner = "successor"
	r.UpdateDigests(start, []pomelorelay.SlotDigest{d})
	out := r.SettleGrant(start, 5, pomeloslot.GrantOutcome{State: pomelorelay.GrantFinished}, nil)
	if len(out) != 2 || out[0].To != "owner-u1" || out[1].To != "successor" {
		t.Errorf("replies %+v, want one to each owner", out)
	}
	if m := r.RunningReport("u1"); len(m.Grants) != 0 {
		t.Errorf("report %+v after the request finished, want no grants", m)
	}
}

func TestDemandMovesFromOwnerWithoutDigests(t *testing.T) {
	// An owner is partitioned. Demand registered only there would wait forever while other owners have slots.
	r := newRequester()
	r.UpdateDigests(start, []pomelorelay.SlotDigest{digest("u1", "a", 90, 0), digest("u2", "a", 80, 0), digest("u3", "a", 10, 0)})
	r.UpdateDemand(start.Add(time.Millisecond), heads(1), nil)
	now := start.Add(4 * time.Second)
	r.UpdateDigests(now, []pomelorelay.SlotDigest{digest("u2", "a", 80, 0), digest("u3", "a", 10, 0)})
	got := registeredAt(r.Tick(now, nil))
	if got["u1"] || !got["u2"] || !got["u3"] {
		t.Errorf("registered at %v, want u2 and u3", got)
	}
}

func TestVirtualTimeIsMedianOfBusyUpstreams(t *testing.T) {
	r := newRequester()
	r.UpdateDigests(start, []pomelorelay.SlotDigest{digest("u1", "a", 10, 0), digest("u2", "a", 30, 0), digest("u3", "a", 900, 0), digest("u4", "a", 5000, 3), digest("v", "b", 9000, 0)})
	if got := r.VirtualTime(testPool); got != 30 {
		t.Errorf("virtual time %v, want 30", got)
	}
}

func TestMaxVirtualTimeSubtractsMargins(t *testing.T) {
	// Accounts of another domain have received more service, by less than the spill margin. If the margin were not
	// subtracted from that domain's virtual time, all local accounts would be lifted to the same tag and served in
	// arbitrary order.
	for _, c := range []struct {
		name    string
		digests []pomelorelay.SlotDigest
		age     time.Duration
		want    pomelorelay.Tag
	}{
		{"local domain only", []pomelorelay.SlotDigest{digest("u", "a", 500, 0)}, 0, 500},
		{"another domain within its margin", []pomelorelay.SlotDigest{digest("u", "a", 500, 0), digest("v", "b", 509, 0)}, 0, 500},
		{"another domain far ahead", []pomelorelay.SlotDigest{digest("u", "a", 500, 0), digest("v", "b", 900, 0)}, 0, 890},
		{"another domain with idle slots", []pomelorelay.SlotDigest{digest("u", "a", 500, 0), digest("v", "b", 900, 0), digest("v2", "b", 900, 1)}, 0, 500},
		{"another region far ahead", []pomelorelay.SlotDigest{digest("u", "a", 500, 0), digest("w", "z", 900, 0)}, 0, 800},
		{"another domain with expired digests", []pomelorelay.SlotDigest{digest("u", "a", 500, 0), digest("v", "b", 900, 0)}, time.Minute, 500},
	} {
		r := newRequester()
		r.UpdateDigests(start, c.digests)
		if got := r.MaxVirtualTime(start.Add(c.age), testPool); got != c.want {
			t.Errorf("%s: maximum virtual time %v, want %v", c.name, got, c.want)
		}
	}
}
