package pomeloslot_test

import (
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloslot"
)

func TestDemandSpillsWhenOwnerDoesNotAnswer(t *testing.T) {
	// An owner in the local domain is paused just after it published idle slots. A request would wait almost 2 s, until
	// that owner is declared dead, although another domain of the region has idle slots.
	for _, c := range []struct {
		name   string
		answer func(r *pomeloslot.Requester, at time.Time)
		want   bool
	}{
		{"no message", func(*pomeloslot.Requester, time.Time) {}, true},
		{"a new digest", func(r *pomeloslot.Requester, at time.Time) {
			r.UpdateDigests(at, []pomelorelay.SlotDigest{digest("u1", "a", 50, 1)})
		}, false},
		{"a grant", func(r *pomeloslot.Requester, at time.Time) {
			r.AcceptGrant(at, "owner-u1", &pomelorelay.Grant{ID: 1, Upstream: "u1", Pool: testPool, TTL: time.Second})
		}, false},
	} {
		r := newRequester()
		r.UpdateDigests(start, []pomelorelay.SlotDigest{digest("u1", "a", 50, 1), digest("v", "b", 0, 9)})
		if got := registeredAt(r.UpdateDemand(start.Add(time.Millisecond), heads(1), nil)); got["v"] || !got["u1"] {
			t.Fatalf("%s: first registered at %v, want u1 and not v", c.name, got)
		}
		if got := registeredAt(r.Tick(start.Add(290*time.Millisecond), nil)); got["v"] {
			t.Errorf("%s: registered at %v before the timeout, want not at v", c.name, got)
		}
		c.answer(r, start.Add(290*time.Millisecond))
		if got := registeredAt(r.Tick(start.Add(310*time.Millisecond), nil)); got["v"] != c.want {
			t.Errorf("%s: registered at %v after the timeout", c.name, got)
		}
	}
}
