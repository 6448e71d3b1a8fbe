package pomeloslot_test

import (
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloslot"
)

// newAsker returns an asker in domain a of region north; b is another domain there, z one of another region.
func newAsker() *pomeloslot.Requester {
	a := pomeloslot.NewRequester(pomeloslot.RequesterConfig{
		Node:         "me",
		Domain:       "a",
		Regions:      map[pomelorelay.DomainID]pomelorelay.RegionID{"a": "north", "b": "north", "z": "south"},
		Registration: pomeloslot.RegistrationOptions{Base: 2, Spare: 1, StartSpread: 1},
		Spill:        pomeloslot.SpillOptions{DomainMargin: 10, RegionMargin: 100, RegionIdleWaiting: 5},
	})
	a.Tick(start, nil)
	return a
}

func digest(id pomelorelay.UpstreamID, domain pomelorelay.DomainID, last pomelorelay.Tag, idle pomelorelay.Slots) pomelorelay.SlotDigest {
	return pomelorelay.SlotDigest{Upstream: id, Pool: testPool, Owner: pomelorelay.NodeID("owner-" + id), Domain: domain, LastTag: last, Idle: idle, Limit: 8}
}

func heads(waiting int) []pomeloslot.PoolDemand {
	return []pomeloslot.PoolDemand{{Pool: testPool, Head: 50, Waiting: waiting}}
}

// registered returns the upstreams at which the messages register, without those from which they withdraw.
func registered(out []pomelorelay.Outgoing) map[pomelorelay.UpstreamID]bool {
	at := make(map[pomelorelay.UpstreamID]bool)
	for _, o := range out {
		if m, ok := o.Message.(*pomelorelay.Demand); ok && m.Waiting > 0 {
			at[m.Upstream] = true
		}
	}
	return at
}

func TestWhereDemandGoes(t *testing.T) {
	for _, c := range []struct {
		name    string
		digests []pomelorelay.SlotDigest
		waiting int
		want    []pomelorelay.UpstreamID
	}{
		{"the highest last tags", []pomelorelay.SlotDigest{digest("u1", "a", 10, 0), digest("u2", "a", 90, 0), digest("u3", "a", 80, 0)}, 1, []pomelorelay.UpstreamID{"u2", "u3"}},
		{"idle covers, one to spare", []pomelorelay.SlotDigest{digest("u1", "a", 10, 4), digest("u2", "a", 90, 0), digest("u3", "a", 0, 3), digest("u4", "a", 0, 2)}, 4, []pomelorelay.UpstreamID{"u1", "u3"}},
		{"every idle one when much waits", []pomelorelay.SlotDigest{digest("u1", "a", 10, 4), digest("u2", "a", 90, 1), digest("u3", "a", 0, 3), digest("u4", "a", 0, 2)}, 40, []pomelorelay.UpstreamID{"u1", "u2", "u3", "u4"}},
		{"another domain within the margin", []pomelorelay.SlotDigest{digest("u1", "a", 50, 0), digest("v", "b", 59, 0)}, 1, []pomelorelay.UpstreamID{"u1"}},
		{"another domain past the margin", []pomelorelay.SlotDigest{digest("u1", "a", 50, 0), digest("v", "b", 61, 0)}, 1, []pomelorelay.UpstreamID{"u1", "v"}},
		{"another domain's idle slots", []pomelorelay.SlotDigest{digest("u1", "a", 50, 0), digest("v", "b", 0, 1)}, 1, []pomelorelay.UpstreamID{"v"}},
		{"own idle slots first", []pomelorelay.SlotDigest{digest("u1", "a", 50, 1), digest("v", "b", 0, 9)}, 1, []pomelorelay.UpstreamID{"u1"}},
		{"another region within the margin", []pomelorelay.SlotDigest{digest("u1", "a", 50, 0), digest("w", "z", 140, 0)}, 1, []pomelorelay.UpstreamID{"u1"}},
		{"another region past the margin", []pomelorelay.SlotDigest{digest("u1", "a", 50, 0), digest("w", "z", 151, 0)}, 1, []pomelorelay.UpstreamID{"u1", "w"}},
		{"another region's idle slots, little waits", []pomelorelay.SlotDigest{digest("u1", "a", 50, 0), digest("w", "z", 0, 9)}, 4, []pomelorelay.UpstreamID{"u1"}},
		{"another region's idle slots, much waits", []pomelorelay.SlotDigest{digest("u1", "a", 50, 0), digest("w", "z", 0, 9)}, 20, []pomelorelay.UpstreamID{"u1", "w"}},
		{"own domain lost", []pomelorelay.SlotDigest{digest("v", "b", 10, 0)}, 1, []pomelorelay.UpstreamID{"v"}},
		{"own region lost", []pomelorelay.SlotDigest{digest("w", "z", 10, 0)}, 1, []pomelorelay.UpstreamID{"w"}},
		{"nothing waits", []pomelorelay.SlotDigest{digest("u1", "a", 10, 4)}, 0, nil},
	} {
		a := newAsker()
		a.UpdateDigests(start, c.digests)
		got := registered(a.UpdateDemand(start.Add(time.Millisecond), heads(c.waiting), nil))
		same := len(got) == len(c.want)
		for _, id := range c.want {
			same = same && got[id]
		}
		if !same {
			t.Errorf("%s: registered at %v, want %v", c.name, got, c.want)
		}
	}
}

func TestGrantUnderWayWhenUpstreamLeaves(t *testing.T) {
	// An owner that has not heard of it grants on a leaving upstream, or the router's claim takes so long that the
	// upstream left, or the grant lapsed, in the meantime. Callers would see work start there after the notice.
	a := newAsker()
	a.UpdateDigests(start, []pomelorelay.SlotDigest{digest("u1", "a", 10, 4)})
	now := start.Add(time.Millisecond)
	a.UpdateDemand(now, heads(3), nil)
	first := &pomelorelay.Grant{ID: 1, Upstream: "u1", Pool: testPool, TTL: 500 * time.Millisecond}
	if !a.AcceptGrant(now, "owner-u1", first) || !a.Usable(now, 1) {
		t.Fatal("a good grant was refused")
	}
	if a.AcceptGrant(now, "owner-u1", first) {
		t.Error("the same grant was taken twice")
	}
	if a.Usable(now.Add(time.Second), 1) {
		t.Error("a lapsed grant is usable")
	}
	a.MarkLeaving("u1")
	if a.Usable(now, 1) {
		t.Error("a grant is usable after its upstream left")
	}
	if a.AcceptGrant(now, "owner-u1", &pomelorelay.Grant{ID: 2, Upstream: "u1", Pool: testPool, TTL: time.Second}) {
		t.Error("a grant on a leaving upstream was taken")
	}
	out := a.SettleGrant(now, 2, pomeloslot.Settlement{State: pomelorelay.GrantReturned, Head: 50, Waiting: 3}, nil)
	if m, ok := out[0].Message.(*pomelorelay.GrantReply); !ok || m.Waiting != 0 {
		t.Errorf("reply %+v asks for more on a leaving upstream", out[0].Message)
	}
	if got := registered(a.Tick(now.Add(time.Second), nil)); len(got) != 0 {
		t.Errorf("registered at %v", got)
	}
	a.ClearLeaving("u1")
	a.UpdateDigests(now, []pomelorelay.SlotDigest{digest("u1", "a", 10, 4)})
	if got := registered(a.Tick(now.Add(time.Second), nil)); !got["u1"] {
		t.Error("not registered after the upstream came back")
	}
}

func TestReplyAfterUpstreamChangedHands(t *testing.T) {
	// A request runs while its upstream's owner is replaced. If only the first owner heard of its end, the new one would
	// count its slot as taken until it asks.
	a := newAsker()
	a.UpdateDigests(start, []pomelorelay.SlotDigest{digest("u1", "a", 10, 4)})
	a.AcceptGrant(start, "owner-u1", &pomelorelay.Grant{ID: 5, Upstream: "u1", Pool: testPool, TTL: time.Second})
	if m := a.RunningReport("u1"); len(m.Grants) != 1 || m.Grants[0] != 5 || m.Running != 1 {
		t.Errorf("report %+v", m)
	}
	d := digest("u1", "a", 10, 4)
	d.Owner = "successor"
	a.UpdateDigests(start, []pomelorelay.SlotDigest{d})
	out := a.SettleGrant(start, 5, pomeloslot.Settlement{State: pomelorelay.GrantFinished}, nil)
	if len(out) != 2 || out[0].To != "owner-u1" || out[1].To != "successor" {
		t.Errorf("replies %+v", out)
	}
	if m := a.RunningReport("u1"); len(m.Grants) != 0 {
		t.Errorf("report %+v after the end", m)
	}
}

func TestSilentOwnerIsLeftAlone(t *testing.T) {
	// An owner is cut off. Demand that stays with it alone would wait there for ever while other owners have slots.
	a := newAsker()
	a.UpdateDigests(start, []pomelorelay.SlotDigest{digest("u1", "a", 90, 0), digest("u2", "a", 80, 0), digest("u3", "a", 10, 0)})
	a.UpdateDemand(start.Add(time.Millisecond), heads(1), nil)
	now := start.Add(4 * time.Second)
	a.UpdateDigests(now, []pomelorelay.SlotDigest{digest("u2", "a", 80, 0), digest("u3", "a", 10, 0)})
	got := registered(a.Tick(now, nil))
	if got["u1"] || !got["u2"] || !got["u3"] {
		t.Errorf("registered at %v, want u2 and u3", got)
	}
}

func TestVirtualTimeIsTheMiddleOfBusyOwners(t *testing.T) {
	a := newAsker()
	a.UpdateDigests(start, []pomelorelay.SlotDigest{digest("u1", "a", 10, 0), digest("u2", "a", 30, 0), digest("u3", "a", 900, 0), digest("u4", "a", 5000, 3), digest("v", "b", 9000, 0)})
	if got := a.VirtualTime(testPool); got != 30 {
		t.Errorf("virtual time %v, want 30", got)
	}
}

func TestCrestStaysWithinTheMargins(t *testing.T) {
	// Another domain's accounts have had more, as they may up to the margin. Were its level the mark, all accounts here
	// would be lifted to one place and served in no fair order.
	for _, c := range []struct {
		name    string
		digests []pomelorelay.SlotDigest
		age     time.Duration
		want    pomelorelay.Tag
	}{
		{"own domain alone", []pomelorelay.SlotDigest{digest("u", "a", 500, 0)}, 0, 500},
		{"a domain within its margin", []pomelorelay.SlotDigest{digest("u", "a", 500, 0), digest("v", "b", 509, 0)}, 0, 500},
		{"a domain far ahead", []pomelorelay.SlotDigest{digest("u", "a", 500, 0), digest("v", "b", 900, 0)}, 0, 890},
		{"a domain with idle slots", []pomelorelay.SlotDigest{digest("u", "a", 500, 0), digest("v", "b", 900, 0), digest("v2", "b", 900, 1)}, 0, 500},
		{"a region far ahead", []pomelorelay.SlotDigest{digest("u", "a", 500, 0), digest("w", "z", 900, 0)}, 0, 800},
		{"a domain not heard of", []pomelorelay.SlotDigest{digest("u", "a", 500, 0), digest("v", "b", 900, 0)}, time.Minute, 500},
	} {
		a := newAsker()
		a.UpdateDigests(start, c.digests)
		if got := a.MaxVirtualTime(start.Add(c.age), testPool); got != c.want {
			t.Errorf("%s: crest %v, want %v", c.name, got, c.want)
		}
	}
}
