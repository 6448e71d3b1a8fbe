package pomeloslot_test

import (
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloslot"
)

func TestDemandGoesPastAnOwnerThatDoesNotAnswer(t *testing.T) {
	// The owner next door is paused just after it told of idle slots. A request would wait there until the owner is taken for
	// dead, almost two seconds, beside idle slots of the region's other domain.
	for _, c := range []struct {
		name string
		sign func(a *pomeloslot.Requester, at time.Time)
		want bool
	}{
		{"no sign", func(*pomeloslot.Requester, time.Time) {}, true},
		{"a fresh digest", func(a *pomeloslot.Requester, at time.Time) {
			a.UpdateDigests(at, []pomelorelay.SlotDigest{digest("u1", "a", 50, 1)})
		}, false},
		{"a grant", func(a *pomeloslot.Requester, at time.Time) {
			a.AcceptGrant(at, "owner-u1", &pomelorelay.Grant{ID: 1, Upstream: "u1", Pool: testPool, TTL: time.Second})
		}, false},
	} {
		a := newAsker()
		a.UpdateDigests(start, []pomelorelay.SlotDigest{digest("u1", "a", 50, 1), digest("v", "b", 0, 9)})
		if got := registered(a.UpdateDemand(start.Add(time.Millisecond), heads(1), nil)); got["v"] || !got["u1"] {
			t.Fatalf("%s: registered at %v first", c.name, got)
		}
		if got := registered(a.Tick(start.Add(290*time.Millisecond), nil)); got["v"] {
			t.Errorf("%s: registered at %v before the wait was over", c.name, got)
		}
		c.sign(a, start.Add(290*time.Millisecond))
		if got := registered(a.Tick(start.Add(310*time.Millisecond), nil)); got["v"] != c.want {
			t.Errorf("%s: registered at %v after the wait", c.name, got)
		}
	}
}
